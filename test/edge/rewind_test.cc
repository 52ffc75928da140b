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
constexpr milliseconds kRunStep{ 20 };

std::string
ConfigurationText(int aVersion)
{
  return R"({"version":)" + std::to_string(aVersion) +
         R"(,"services":[],"limits":{"max_header_bytes":8192,"max_body_bytes":1000,)"
         R"("header_timeout_ms":3000,"idle_timeout_ms":15000},"hosts":[]})";
}

// A follower of the operator's table and the values that it has published.
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
                 .sendTo = [](const std::string&, Envelope) {},
                 .readerCount = [] { return std::size_t{ 1 }; },
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

// The fleet membership of one VM. Destroying it has the effect of killing the process.
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
              .onQuota =
                [this](const QuotaGrant& aGrant, const std::function<void()>& aOnApplied) {
                  this->grant = aGrant;
                  aOnApplied();
                },
              .onServerNews = [](VmReport) {},
              .onTableMessage = [](const Envelope&) {},
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
  // What the VM may grant now.
  QuotaRanges Granted() const
  {
    return BootClock::Now() < this->grant.validUntil ? this->grant.ranges : QuotaRanges();
  }

  QuotaGrant grant;
  Fleet fleet;
};

// VMs that share a store; each has its own context so that it can be killed separately.
class Site
{
public:
  Site()
    : store(this->storeContext, "127.0.0.1", 0)
  {
  }
  ~Site()
  {
    for (const char* name : { "a", "b", "c" }) {
      this->Kill(name);
    }
    this->storeContext.Shutdown();
  }

  void Start(const std::string& aName)
  {
    VmSlot& slot = this->slots[aName];
    if (slot.port == 0) {
      slot.port = FreePort();
    }
    slot.context = std::make_unique<Context>();
    slot.vm = std::make_unique<Vm>(*slot.context, this->store.Address(), aName, slot.port);
  }
  void Kill(const std::string& aName)
  {
    VmSlot& slot = this->slots[aName];
    if (slot.context != nullptr) {
      slot.context->Shutdown();
    }
    slot.vm.reset();
    slot.context.reset();
  }
  // Runs all VMs and the store; fails as soon as two ranges overlap.
  void RunFor(milliseconds aTime)
  {
    for (milliseconds passed{ 0 }; passed < aTime; passed += kRunStep) {
      for (auto& [name, slot] : this->slots) {
        if (slot.vm != nullptr) {
          slot.vm->fleet.Report(VmReport());
          slot.context->restart();
          slot.context->run_for(kRunStep / 4);
        }
      }
      this->storeContext.restart();
      this->storeContext.run_for(kRunStep / 4);
      this->CheckDisjoint();
    }
  }
  std::uint32_t LengthOf(const std::string& aName) const
  {
    return placing::TotalLength(this->slots.at(aName).vm->Granted());
  }
  bool IsHandedOver(const std::string& aName) const
  {
    return this->slots.at(aName).vm->fleet.IsHandedOver();
  }
  // Stops the VM as planned work does.
  void Stop(const std::string& aName) { this->slots.at(aName).vm->fleet.BeginHandOver(); }
  standin::StoreStandin& Store() { return this->store; }

private:
  struct VmSlot
  {
    int port = 0;
    std::unique_ptr<Context> context;
    std::unique_ptr<Vm> vm;
  };

  void CheckDisjoint() const
  {
    QuotaRanges all;
    std::uint32_t sum = 0;
    for (const auto& [name, slot] : this->slots) {
      if (slot.vm != nullptr) {
        const QuotaRanges granted = slot.vm->Granted();
        all.insert(all.end(), granted.begin(), granted.end());
        sum += placing::TotalLength(granted);
      }
    }
    if (sum != placing::TotalLength(placing::Merged(std::move(all)))) {
      FAIL("two VMs grant the same part of the quota");
    }
  }

  Context storeContext;
  standin::StoreStandin store;
  std::map<std::string, VmSlot> slots;
};

} // namespace

// The store is restored from a copy and passes the follower's version before the follower's
// next read. The change feed alone would then omit rows rewritten below that version.
TEST_CASE("A follower reads rows that are rewritten below its version after a restore")
{
  Context context;
  standin::StoreStandin store(context, "127.0.0.1", 0);
  store.Put(platform::kOperatorTable, platform::kConfigurationKey, ConfigurationText(1));
  const std::uint64_t copyVersion = store.Rows().Version();
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
  store.RewindTo(copyVersion);
  store.Put(platform::kOperatorTable, platform::kConfigurationKey, ConfigurationText(2));
  for (int i = 0; i < 5; ++i) {
    store.Put(platform::kOperatorTable, "other/" + std::to_string(i), "y");
  }
  store.SetFaults({});
  context.restart();
  context.run_for(milliseconds(1500));
  CHECK(follower.versions == std::vector<std::uint64_t>{ 1, 2 });
  CHECK(follower.era == 2);
  context.Shutdown();
}

TEST_CASE("Restoring an older copy of the store reverts neither configuration nor drain")
{
  Context context;
  standin::StoreStandin store(context, "127.0.0.1", 0);
  store.Put(platform::kOperatorTable, platform::kConfigurationKey, ConfigurationText(1));
  const std::uint64_t copyVersion = store.Rows().Version();
  store.Put(platform::kOperatorTable, platform::kConfigurationKey, ConfigurationText(2));
  store.Put(platform::kOperatorTable, std::string(platform::kEvacuationPrefix) + "north-a", "{}");
  Follower follower(context, store.Address());
  context.run_for(milliseconds(500));
  REQUIRE(follower.avoided == std::vector<std::string>{ "north-a" });
  store.RewindTo(copyVersion);
  context.restart();
  context.run_for(milliseconds(1500));
  CHECK(follower.versions == std::vector<std::uint64_t>{ 2 });
  CHECK(follower.avoided == std::vector<std::string>{ "north-a" });
  store.Put(platform::kOperatorTable, platform::kConfigurationKey, ConfigurationText(2));
  context.restart();
  context.run_for(milliseconds(1500));
  // The drain ends after the grace period because the operator didn't write it again.
  CHECK(follower.avoided.empty());
  context.Shutdown();
}

// VM a has transferred half of the quota to VM b, and the store is restored from a copy that
// precedes the transfer.
TEST_CASE("Quota ranges stay disjoint when a restored store lacks a transfer")
{
  // VMs of the older era that aren't heard may go on until their leases end.
  constexpr milliseconds kEraBound = placing::QuotaOwnership::kTakeOverDelay + milliseconds(8000);
  Site site;
  site.Start("a");
  site.RunFor(milliseconds(700));
  const std::uint64_t copyVersion = site.Store().Rows().Version();
  REQUIRE(site.LengthOf("a") == kQuotaRingSize);
  site.Start("b");
  site.RunFor(milliseconds(6000));
  REQUIRE(site.LengthOf("b") == kQuotaRingSize / 2);
  site.Store().RewindTo(copyVersion);

  SECTION("both VMs stay alive")
  {
    site.RunFor(milliseconds(3000));
    CHECK(site.LengthOf("a") == kQuotaRingSize / 2);
    CHECK(site.LengthOf("b") == kQuotaRingSize / 2);
    site.RunFor(milliseconds(14000));
  }
  SECTION("the giver is killed, restarts and reads a row that assigns it the whole quota")
  {
    site.Kill("a");
    site.Start("a");
    site.RunFor(milliseconds(8000));
    CHECK(site.LengthOf("b") == kQuotaRingSize / 2);
    site.RunFor(kEraBound - milliseconds(8000));
    CHECK(site.LengthOf("a") == kQuotaRingSize / 2);
  }
  SECTION("the receiver is killed and restarts")
  {
    site.Kill("b");
    site.Start("b");
    site.RunFor(milliseconds(8000));
    CHECK(site.LengthOf("a") == kQuotaRingSize / 2);
    site.RunFor(kEraBound - milliseconds(8000));
    CHECK(site.LengthOf("b") == kQuotaRingSize / 2);
  }
}

// A VM that ended took its part of the limits with it.
TEST_CASE("A VM that stops as planned hands its part of the limits to another one")
{
  Site site;
  site.Start("a");
  site.RunFor(milliseconds(700));
  site.Start("b");
  site.RunFor(milliseconds(6000));
  REQUIRE(site.LengthOf("b") == kQuotaRingSize / 2);
  site.Stop("a");
  site.RunFor(milliseconds(1000));
  CHECK(site.IsHandedOver("a"));
  CHECK(site.LengthOf("a") == 0);
  site.Kill("a");
  site.RunFor(milliseconds(1000));
  CHECK(site.LengthOf("b") == kQuotaRingSize);
  site.Start("c");
  site.RunFor(milliseconds(6000));
  CHECK(site.LengthOf("c") == kQuotaRingSize / 2);
}

} // namespace plantainhaven::edge
