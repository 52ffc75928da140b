#include "edge/context.h"
#include "edge/fleet.h"
#include "edge/store_follower.h"
#include "plantainhaven/standin/free_port.h"
#include "plantainhaven/standin/store_standin.h"
#include "platform/names.h"

#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace plantainhaven::edge {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTimeout{ 300 };
constexpr milliseconds kLook{ 20 };

std::string
ConfigurationText(int aVersion)
{
  return R"({"version":)" + std::to_string(aVersion) +
         R"(,"services":[],"limits":{"max_header_bytes":8192,"max_body_bytes":1000,)"
         R"("header_timeout_ms":3000,"idle_timeout_ms":15000},"hosts":[]})";
}

// A follower of the operator's table and what it made of it.
class Follower
{
public:
  Follower(asio::io_context& aContext, const std::string& aStore)
    : client(aContext, aStore, kTimeout, {})
    , listener{
      .onRouting = [this](RoutingPtr aRouting) { this->versions.push_back(aRouting->version); },
      .onAvoidedDomains =
        [this](std::vector<std::string> aDomains) { this->avoided = std::move(aDomains); },
      .onServers = {}
    }
    , rows(listener)
    , follower(aContext,
               client,
               { .table = platform::kOperatorTable, .wait = milliseconds(100), .self = "vm-1" },
               rows.MakeReader(),
               { .send = [](const TableNews&) {},
                 .readers = [] { return std::size_t{ 1 }; },
                 .onEra = [this](std::uint64_t aEra) { this->era = aEra; } })
  {
    asio::co_spawn(aContext, this->follower.Run(), asio::detached);
  }

  std::vector<std::uint64_t> versions;
  std::vector<std::string> avoided;
  std::uint64_t era = 0;
  platform::StoreClient client;
  StoreListener listener;
  OperatorRows rows;
  TableFollower follower;
};

// One VM's part of the fleet; its end is that of a killed process.
class Vm
{
public:
  Vm(asio::io_context& aContext, const std::string& aStore, const std::string& aName, int aPort)
    : settings(MakeSettings(aName, aPort))
    , client(aContext, aStore, kTimeout, {})
    , fleet(aContext,
            this->settings,
            this->client,
            this->metrics,
            { .onView = [](FleetView) {},
              .onQuotaRange = [this](QuotaRange aRange) { this->range = aRange; },
              .onNearReport = [](VmReport) {},
              .onNews = [](const std::string&, const TableNews&) {},
              .onTokenMessage = [](Envelope) {} })
  {
    REQUIRE(IsOk(this->fleet.Start()));
  }

  static EdgedSettings MakeSettings(const std::string& aName, int aPort)
  {
    EdgedSettings settings;
    settings.mutable_vm()->set_name(aName);
    settings.mutable_vm()->set_address("127.0.0.1");
    settings.mutable_vm()->set_region("north");
    settings.mutable_vm()->set_failure_domain("north-a");
    settings.mutable_listen()->set_callers("127.0.0.1:1");
    settings.mutable_listen()->set_peers(static_cast<std::uint32_t>(aPort));
    return settings;
  }

  EdgedSettings settings;
  Metrics metrics;
  platform::StoreClient client;
  QuotaRange range;
  Fleet fleet;
};

bool
Overlap(const QuotaRange& aLeft, const QuotaRange& aRight)
{
  return !aLeft.IsEmpty() && !aRight.IsEmpty() && aLeft.begin < aRight.end &&
         aRight.begin < aLeft.end;
}

// VMs on a store; each has a context of its own so that it can be killed.
class Site
{
public:
  Site()
    : store(this->storeContext, "127.0.0.1", 0)
  {
  }
  ~Site()
  {
    this->Kill("a");
    this->Kill("b");
    this->storeContext.End();
  }

  void Start(const std::string& aName)
  {
    Place& place = this->places[aName];
    if (place.port == 0) {
      place.port = FreePort();
    }
    place.context = std::make_unique<Context>();
    place.vm = std::make_unique<Vm>(*place.context, this->store.Address(), aName, place.port);
  }
  void Kill(const std::string& aName)
  {
    Place& place = this->places[aName];
    if (place.context != nullptr) {
      place.context->End();
    }
    place.vm.reset();
    place.context.reset();
  }
  // Lets all run; fails as soon as two ranges overlap.
  void RunFor(milliseconds aTime)
  {
    for (milliseconds passed{ 0 }; passed < aTime; passed += kLook) {
      for (auto& [name, place] : this->places) {
        if (place.vm != nullptr) {
          place.vm->fleet.Report(VmReport());
          place.context->restart();
          place.context->run_for(kLook / 4);
        }
      }
      this->storeContext.restart();
      this->storeContext.run_for(kLook / 4);
      this->Check();
    }
  }
  QuotaRange RangeOf(const std::string& aName) const { return this->places.at(aName).vm->range; }
  standin::StoreStandin& Store() { return this->store; }

private:
  struct Place
  {
    int port = 0;
    std::unique_ptr<Context> context;
    std::unique_ptr<Vm> vm;
  };

  void Check() const
  {
    std::vector<QuotaRange> ranges;
    for (const auto& [name, place] : this->places) {
      if (place.vm != nullptr) {
        ranges.push_back(place.vm->range);
      }
    }
    if (ranges.size() == 2 && Overlap(ranges[0], ranges[1])) {
      FAIL("ranges overlap: [" << ranges[0].begin << "," << ranges[0].end << ") and ["
                               << ranges[1].begin << "," << ranges[1].end << ")");
    }
  }

  Context storeContext;
  standin::StoreStandin store;
  std::map<std::string, Place> places;
};

} // namespace

// The store is back from a copy and has passed the follower's version before its next read, so
// that the feed alone would leave out what was written again below that version.
TEST_CASE("A follower reads what was written again below its version")
{
  Context context;
  standin::StoreStandin store(context, "127.0.0.1", 0);
  store.Put(platform::kOperatorTable, platform::kConfigurationKey, ConfigurationText(1));
  const std::uint64_t copied = store.Rows().Version();
  store.Put(platform::kOperatorTable, "other/1", "x");
  store.Put(platform::kOperatorTable, "other/2", "x");
  Follower follower(context, store.Address());
  context.run_for(milliseconds(400));
  REQUIRE(follower.versions == std::vector<std::uint64_t>{ 1 });
  standin::StoreFaults away;
  away.outage = standin::StoreOutage::kReset;
  store.SetFaults(away);
  context.restart();
  context.run_for(milliseconds(400));
  store.RewindTo(copied);
  store.Put(platform::kOperatorTable, platform::kConfigurationKey, ConfigurationText(2));
  for (int i = 0; i < 5; ++i) {
    store.Put(platform::kOperatorTable, "other/" + std::to_string(i), "y");
  }
  store.SetFaults({});
  context.restart();
  context.run_for(milliseconds(1500));
  CHECK(follower.versions == std::vector<std::uint64_t>{ 1, 2 });
  CHECK(follower.era == 2);
  context.End();
}

TEST_CASE("A store's older copy takes back neither a configuration nor a drained domain")
{
  Context context;
  standin::StoreStandin store(context, "127.0.0.1", 0);
  store.Put(platform::kOperatorTable, platform::kConfigurationKey, ConfigurationText(1));
  const std::uint64_t copied = store.Rows().Version();
  store.Put(platform::kOperatorTable, platform::kConfigurationKey, ConfigurationText(2));
  store.Put(platform::kOperatorTable, std::string(platform::kEvacuationPrefix) + "north-a", "{}");
  Follower follower(context, store.Address());
  context.run_for(milliseconds(500));
  REQUIRE(follower.avoided == std::vector<std::string>{ "north-a" });
  store.RewindTo(copied);
  context.restart();
  context.run_for(milliseconds(1500));
  CHECK(follower.versions == std::vector<std::uint64_t>{ 2 });
  CHECK(follower.avoided == std::vector<std::string>{ "north-a" });
  store.Put(platform::kOperatorTable, platform::kConfigurationKey, ConfigurationText(2));
  context.restart();
  context.run_for(milliseconds(1500));
  // The operator didn't write the drain again, so it has ended.
  CHECK(follower.avoided.empty());
  context.End();
}

// A gave half of the limits to B, and the store's copy knows nothing of it.
TEST_CASE("Ranges of the limits stay disjoint when the store forgets a transfer")
{
  Site site;
  site.Start("a");
  site.RunFor(milliseconds(700));
  const std::uint64_t copied = site.Store().Rows().Version();
  REQUIRE(site.RangeOf("a").Length() == kQuotaRingSize);
  site.Start("b");
  site.RunFor(milliseconds(6000));
  const QuotaRange given = site.RangeOf("b");
  REQUIRE(given.Length() == kQuotaRingSize / 2);
  site.Store().RewindTo(copied);

  SECTION("both live")
  {
    site.RunFor(milliseconds(17000));
  }
  SECTION("the giver is killed and reads the whole as its own")
  {
    site.Kill("a");
    site.Start("a");
    site.RunFor(milliseconds(8000));
    CHECK(site.RangeOf("a").Length() == kQuotaRingSize / 2);
  }
  SECTION("the receiver is killed")
  {
    site.Kill("b");
    site.Start("b");
    site.RunFor(milliseconds(8000));
  }
}

} // namespace plantainhaven::edge
