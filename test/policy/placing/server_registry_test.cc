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

// Returns a registry that has read all reports again after a store outage, without that of "s".
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

TEST_CASE("A removed report takes effect at once while the store responds")
{
  ServerRegistry registry;
  registry.OnReport(MakeServer("s"));
  CHECK(Lists(registry.TakeChanges(false, At(milliseconds(0))), "s"));
  registry.OnRemoved("s");
  const auto servers = registry.TakeChanges(false, At(milliseconds(1)));
  REQUIRE(servers);
  CHECK(servers->empty());
}

TEST_CASE("A server whose report expired during a store outage has time to report again")
{
  ServerRegistry registry = AfterOutage();
  CHECK(Lists(registry.TakeChanges(false, At(milliseconds(10))), "s"));

  SECTION("it reports again")
  {
    registry.OnReport(MakeServer("s"));
    CHECK(Lists(registry.TakeChanges(false, At(milliseconds(2500))), "s"));
  }
  SECTION("it doesn't report again")
  {
    CHECK_FALSE(registry.TakeChanges(false, At(milliseconds(2000))));
    const auto servers = registry.TakeChanges(false, At(milliseconds(2101)));
    REQUIRE(servers);
    CHECK_FALSE(Lists(servers, "s"));
  }
}

// A VM that had lost its connection to the store for 12 s kept a server that had left long ago
// for another 2.3 s, because it mistook the lost connection for an outage of the store.
TEST_CASE("A report that is missing after only this VM lost the store is dropped at once")
{
  ServerRegistry registry = AfterOutage();
  const auto servers = registry.TakeChanges(true, At(milliseconds(10)));
  REQUIRE(servers);
  CHECK_FALSE(Lists(servers, "s"));
}

TEST_CASE("An unreadable report removes its server")
{
  ServerRegistry registry;
  registry.OnReport(MakeServer("s"));
  registry.OnUnreadable("s");
  const auto servers = registry.TakeChanges(false, At(milliseconds(0)));
  REQUIRE(servers);
  CHECK(servers->empty());
}

// The newest state of a server and its report in an older copy of the store.
struct CopyCase
{
  const char* name;
  // The server's newest state before the store was restored.
  bool isDraining;
  bool hasLeft;
  // The report in the copy: its number, and how much earlier its process started.
  std::int64_t reportNumber;
  milliseconds startedEarlier;
  bool isReadyAfterwards;
};

TEST_CASE("An older copy of the store doesn't bring back a server that drains or has left")
{
  const CopyCase cases[] = {
    { "ready and still ready", false, false, 4, milliseconds(0), true },
    { "draining", true, false, 4, milliseconds(0), false },
    { "draining, reported again", true, false, 6, milliseconds(0), true },
    { "left", false, true, 4, milliseconds(0), false },
    { "left, the same report", false, true, 5, milliseconds(0), false },
    { "left and restarted", false, true, 1, milliseconds(-500), true },
    { "earlier process than the running one", false, false, 9, milliseconds(500), false },
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
    BackendServer copied = newest;
    copied.reportNumber = entry.reportNumber;
    copied.isDraining = false;
    copied.startedAt -= entry.startedEarlier;
    registry.OnReport(copied);
    const auto servers = registry.TakeChanges(true, At(milliseconds(200)));
    REQUIRE(servers);
    const bool isReady =
      std::any_of(servers->begin(), servers->end(), [&copied](const BackendServer& aServer) {
        return !aServer.isDraining && aServer.startedAt == copied.startedAt;
      });
    CHECK(isReady == entry.isReadyAfterwards);
    // Reports that are still in the store after all servers had time to report are accepted.
    const auto later =
      registry.TakeChanges(true, At(milliseconds(100) + ServerRegistry::kStaleCopyPeriod));
    CHECK(Lists(later ? later : servers, "s"));
  }
}

TEST_CASE("A server that is missing in an older copy has time to report again")
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
