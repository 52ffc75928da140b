#include "plantainhaven/policy/placing/server_registry.h"
#include "policy/placing/placing_support.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace plantainhaven::placing {
namespace {

using std::chrono::milliseconds;

bool
Lists(const std::optional<std::vector<BackendServer>>& aServers, const std::string& aId)
{
  return aServers && std::any_of(aServers->begin(), aServers->end(), [&aId](const auto& aServer) {
           return aServer.id == aId;
         });
}

// Reads the table anew after the store has come back, without the row of "s".
ServerRegistry
AfterOutage()
{
  ServerRegistry registry;
  registry.OnReport(MakeServer("s"));
  registry.OnReport(MakeServer("other"));
  registry.TakeChanges(false, At(milliseconds(0)));
  registry.OnStoreReachable(At(milliseconds(0)));
  registry.BeginRead();
  registry.OnReport(MakeServer("other"));
  return registry;
}

TEST_CASE("A removed report counts at once while the store answers")
{
  ServerRegistry registry;
  registry.OnReport(MakeServer("s"));
  CHECK(Lists(registry.TakeChanges(false, At(milliseconds(0))), "s"));
  registry.OnRemoved("s");
  const auto servers = registry.TakeChanges(false, At(milliseconds(1)));
  REQUIRE(servers);
  CHECK(servers->empty());
}

TEST_CASE("A report that lapsed while the store was away has time to come back")
{
  ServerRegistry registry = AfterOutage();
  CHECK(Lists(registry.TakeChanges(false, At(milliseconds(10))), "s"));

  SECTION("it comes back")
  {
    registry.OnReport(MakeServer("s"));
    CHECK(Lists(registry.TakeChanges(false, At(milliseconds(2500))), "s"));
  }
  SECTION("it stays away")
  {
    CHECK_FALSE(registry.TakeChanges(false, At(milliseconds(2000))));
    const auto servers = registry.TakeChanges(false, At(milliseconds(2101)));
    REQUIRE(servers);
    CHECK_FALSE(Lists(servers, "s"));
  }
}

// A VM that was cut off from the store for 12 s kept a server that had left long ago for
// another 2.3 s, because it took the cut for an outage of the store.
TEST_CASE("A report that is missing after a cut of this VM alone has gone")
{
  ServerRegistry registry = AfterOutage();
  const auto servers = registry.TakeChanges(true, At(milliseconds(10)));
  REQUIRE(servers);
  CHECK_FALSE(Lists(servers, "s"));
}

TEST_CASE("What can't be read names no server")
{
  ServerRegistry registry;
  registry.OnReport(MakeServer("s"));
  registry.OnUnreadable("s");
  const auto servers = registry.TakeChanges(false, At(milliseconds(0)));
  REQUIRE(servers);
  CHECK(servers->empty());
}

// One server and what an older copy of the store shows of it.
struct CopyCase
{
  const char* name;
  // The server's newest state before the store came back.
  bool isDraining;
  bool hasLeft;
  // What the copy shows: the number of the report, and how much earlier the process started.
  std::int64_t reportNumber;
  milliseconds startedEarlier;
  bool isReadyAfterwards;
};

TEST_CASE("An older copy of the store brings back no server that drains or has left")
{
  const CopyCase cases[] = {
    { "ready and still ready", false, false, 4, milliseconds(0), true },
    { "draining", true, false, 4, milliseconds(0), false },
    { "draining, written again", true, false, 6, milliseconds(0), true },
    { "left", false, true, 4, milliseconds(0), false },
    { "left, the same report", false, true, 5, milliseconds(0), false },
    { "left and started again", false, true, 1, milliseconds(-500), true },
    { "process before the one that runs", false, false, 9, milliseconds(500), false },
  };
  for (const CopyCase& entry : cases) {
    CAPTURE(entry.name);
    ServerRegistry registry;
    BackendServer newest = MakeServer("s");
    newest.startedAt += milliseconds(10000);
    newest.reportNumber = 5;
    newest.isDraining = entry.isDraining;
    registry.OnReport(newest);
    registry.TakeChanges(false, At(milliseconds(0)));
    if (entry.hasLeft) {
      registry.OnRemoved("s");
      registry.TakeChanges(true, At(milliseconds(1)));
    }
    registry.OnStoreRolledBack(At(milliseconds(100)));
    registry.BeginRead();
    BackendServer shown = newest;
    shown.reportNumber = entry.reportNumber;
    shown.isDraining = false;
    shown.startedAt -= entry.startedEarlier;
    registry.OnReport(shown);
    const auto servers = registry.TakeChanges(true, At(milliseconds(200)));
    REQUIRE(servers);
    const bool isReady =
      std::any_of(servers->begin(), servers->end(), [&shown](const BackendServer& aServer) {
        return !aServer.isDraining && aServer.startedAt == shown.startedAt;
      });
    CHECK(isReady == entry.isReadyAfterwards);
    // What the store still shows when all have written again is the truth.
    const auto later =
      registry.TakeChanges(true, At(milliseconds(100) + ServerRegistry::kStaleCopyPeriod));
    CHECK(Lists(later ? later : servers, "s"));
  }
}

TEST_CASE("A server that an older copy doesn't show has time to report again")
{
  ServerRegistry registry;
  registry.OnReport(MakeServer("s"));
  registry.TakeChanges(true, At(milliseconds(0)));
  registry.OnStoreRolledBack(At(milliseconds(100)));
  registry.BeginRead();
  CHECK(Lists(registry.TakeChanges(true, At(milliseconds(2100))), "s"));
  const auto gone = registry.TakeChanges(true, At(milliseconds(2300)));
  REQUIRE(gone);
  CHECK(gone->empty());
}

} // namespace
} // namespace plantainhaven::placing
