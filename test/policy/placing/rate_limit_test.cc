#include "plantainhaven/policy/placing/placement.h"

#include "policy/placing/placing_support.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace plantainhaven::placing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kTick{ 5 };
constexpr milliseconds kWork{ 100 };
constexpr milliseconds kReportInterval{ 500 };
constexpr milliseconds kReactionTime{ 500 };
constexpr seconds kWindow{ 4 };
constexpr milliseconds kNamedAt{ 2000 };

enum class Trouble
{
  kNone,
  kAllCutOff, // No VM hears another one.
  kSplit,     // Two halves that don't hear each other.
  kRestarts,  // One VM after the other restarts and knows no limit.
  kFreezes,   // Two VMs after the others stand still and then go on.
};

struct Case
{
  std::string name;
  int vms;
  int regions;
  int servers;
  int limitedServers;
  double rate;
  // Requests per second and server.
  double demand;
  Trouble trouble;
};

// Plays VMs with a manual clock against backend servers, some of which name a rate limit.
class LimitedFleet
{
public:
  LimitedFleet(const Case& aCase, unsigned aSeed)
    : entry(aCase)
    , random(aSeed)
  {
    for (int i = 0; i < aCase.servers; ++i) {
      BackendServer server = MakeServer("s" + std::to_string(i), RegionOf(i));
      server.slots = 9;
      this->servers.push_back(server);
    }
    for (int i = 0; i < aCase.vms; ++i) {
      this->peers.push_back({ "vm-" + std::to_string(i), RegionOf(i) });
    }
    for (int i = 0; i < aCase.vms; ++i) {
      this->vms.push_back(nullptr);
      this->Start(i);
    }
  }

  void Run(milliseconds aTime)
  {
    for (; this->now < aTime; this->now += kTick) {
      this->Disturb();
      while (!this->responses.empty() && this->responses.begin()->first <= this->now) {
        this->responses.begin()->second();
        this->responses.erase(this->responses.begin());
      }
      if (this->now % kReportInterval < kTick) {
        this->Report();
      }
      const double expected =
        this->entry.demand * this->entry.servers * std::chrono::duration<double>(kTick).count();
      std::poisson_distribution<int> count(expected);
      for (int i = count(this->random); i > 0; --i) {
        this->Request();
      }
    }
  }

  // The most requests in any window that a server which names a limit got from VMs that had
  // received it in time.
  std::size_t MostInWindow(int aServer) const
  {
    std::size_t most = 0;
    const auto found = this->arrivals.find(aServer);
    if (found == this->arrivals.end()) {
      return 0;
    }
    const std::vector<milliseconds>& times = found->second;
    for (auto first = times.begin(), last = first; last != times.end(); ++last) {
      while (*last - *first > kWindow) {
        ++first;
      }
      most = std::max(most, static_cast<std::size_t>(last - first) + 1);
    }
    return most;
  }
  std::size_t ArrivalCount(int aServer) const
  {
    const auto found = this->arrivals.find(aServer);
    return found == this->arrivals.end() ? 0 : found->second.size();
  }

  int LimitedCount() const { return this->limited; }
  int ServedCount() const { return this->served; }

private:
  std::string RegionOf(int aNumber) const
  {
    return "region-" + std::to_string(aNumber % this->entry.regions);
  }

  void Start(int aVm)
  {
    const PlacingPeer& self = this->peers[static_cast<std::size_t>(aVm)];
    auto placement = std::make_unique<Placement>(self.name, self.region);
    placement->SetServers(this->servers, At(this->now));
    placement->SetPeers(this->peers);
    placement->SetPlan("portal", { { self.region, 1.0 } });
    placement->SetFleet(this->peers);
    this->vms[static_cast<std::size_t>(aVm)] = std::move(placement);
    ++this->incarnations[aVm];
    std::erase_if(this->toldAt, [aVm](const auto& aEntry) { return aEntry.first.first == aVm; });
  }

  // Restarts or freezes VMs in turn, each second.
  void Disturb()
  {
    if (this->now % seconds(1) != milliseconds(0)) {
      return;
    }
    const int vm = static_cast<int>(this->now / seconds(1)) % this->entry.vms;
    if (this->entry.trouble == Trouble::kRestarts) {
      this->Start(vm);
    } else if (this->entry.trouble == Trouble::kFreezes) {
      this->frozen = { vm, (vm + 1) % this->entry.vms };
    }
  }

  bool CanHear(int aFrom, int aTo) const
  {
    const bool isSplit = this->entry.trouble == Trouble::kSplit && aFrom % 2 != aTo % 2;
    return this->entry.trouble != Trouble::kAllCutOff && !isSplit && aFrom != aTo &&
           !this->frozen.contains(aFrom) && !this->frozen.contains(aTo);
  }

  void Report()
  {
    for (int from = 0; from < this->entry.vms; ++from) {
      const auto limits = this->vms[static_cast<std::size_t>(from)]->KnownLimits(At(this->now));
      for (int to = 0; to < this->entry.vms; ++to) {
        for (const KnownLimit& limit : limits) {
          if (this->CanHear(from, to)) {
            this->vms[static_cast<std::size_t>(to)]->OnPeerLimit(limit, At(this->now));
          }
        }
      }
    }
  }

  std::optional<double> RateOf(int aServer) const
  {
    const bool isNamed = aServer < this->entry.limitedServers && this->now >= kNamedAt;
    return isNamed ? std::optional(this->entry.rate) : std::nullopt;
  }

  void Request()
  {
    const int vm = static_cast<int>(this->random() % static_cast<unsigned>(this->entry.vms));
    if (this->frozen.contains(vm)) {
      return;
    }
    Placement& placement = *this->vms[static_cast<std::size_t>(vm)];
    const std::uint64_t object = this->random() % 5000;
    const Placing placing = placement.Choose(MakeRequest(object), At(this->now));
    this->limited += placing.state == PlacingState::kLimited ? 1 : 0;
    if (placing.state == PlacingState::kLimited) {
      CHECK(placing.retryAfter > milliseconds(0));
    }
    if (placing.state != PlacingState::kSend) {
      return;
    }
    ++this->served;
    const std::string id = placing.server->id;
    placement.OnSent(id, At(this->now));
    const int server = std::stoi(id.substr(1));
    const auto told = this->toldAt.find({ vm, server });
    if (told != this->toldAt.end() && this->now - told->second >= kReactionTime) {
      this->arrivals[server].push_back(this->now);
    }
    const int incarnation = this->incarnations[vm];
    this->responses.emplace(this->now + kWork, [this, vm, server, id, incarnation] {
      if (this->incarnations[vm] != incarnation) {
        return;
      }
      const std::optional<double> rate = this->RateOf(server);
      Placement& sender = *this->vms[static_cast<std::size_t>(vm)];
      sender.OnEnded(id, SendOutcome::kServed, kWork, At(this->now));
      sender.OnLimit(id, rate, At(this->now));
      if (rate) {
        this->toldAt.try_emplace({ vm, server }, this->now);
      }
    });
  }

  const Case& entry;
  std::mt19937 random;
  milliseconds now{ 0 };
  std::vector<BackendServer> servers;
  std::vector<PlacingPeer> peers;
  std::vector<std::unique_ptr<Placement>> vms;
  std::map<int, int> incarnations;
  std::set<int> frozen;
  std::multimap<milliseconds, std::function<void()>> responses;
  // When a VM received the limit of a server.
  std::map<std::pair<int, int>, milliseconds> toldAt;
  std::map<int, std::vector<milliseconds>> arrivals;
  int limited = 0;
  int served = 0;
};

// A VM whose region isn't that of the servers has no part of their limits.
TEST_CASE("One VM in turn finds out whether a limit still applies about which nothing is heard")
{
  Placement placement("vm-1", "south");
  placement.SetFleet({ { "vm-1", "south" }, { "vm-2", "north" }, { "vm-3", "north" } });
  placement.SetServers({ MakeServer("only") }, At(milliseconds(0)));
  REQUIRE(placement.OnLimit("only", 2.0, At(milliseconds(1000))));
  const auto stateAt = [&placement](milliseconds aTime) {
    return placement.Choose(MakeRequest(1), At(aTime)).state;
  };
  CHECK(stateAt(milliseconds(1100)) == PlacingState::kLimited);
  // The two VMs of the server's region come first.
  CHECK(stateAt(milliseconds(9900)) == PlacingState::kLimited);
  CHECK(stateAt(milliseconds(10100)) == PlacingState::kSend);
  placement.OnSent("only", At(milliseconds(10100)));
  CHECK(stateAt(milliseconds(10200)) == PlacingState::kLimited);
  CHECK(placement.OnLimit("only", std::nullopt, At(milliseconds(10300))));
  CHECK(stateAt(milliseconds(10300)) == PlacingState::kSend);
}

TEST_CASE("A limit from before a server's restart doesn't bind its new process")
{
  Placement placement("vm-1", "south");
  placement.SetFleet({ { "vm-1", "south" }, { "vm-2", "north" } });
  BackendServer server = MakeServer("only");
  placement.SetServers({ server }, At(milliseconds(0)));
  REQUIRE(placement.OnLimit("only", 2.0, At(milliseconds(1000))));
  const KnownLimit known = placement.KnownLimits(At(milliseconds(1000))).front();
  server.startedAt += milliseconds(1500);
  placement.SetServers({ server }, At(milliseconds(2000)));
  CHECK_FALSE(placement.LimitOf("only"));
  CHECK_FALSE(placement.OnPeerLimit(known, At(milliseconds(2100))));
  CHECK(placement.Choose(MakeRequest(1), At(milliseconds(2100))).state == PlacingState::kSend);
}

TEST_CASE("The sends of all VMs stay within a server's rate limit in any window")
{
  const Case cases[] = {
    { "small region", 11, 3, 20, 2, 11, 25, Trouble::kNone },
    { "small limit", 11, 3, 20, 2, 3.4, 25, Trouble::kNone },
    { "many VMs", 90, 3, 90, 6, 3.4, 25, Trouble::kNone },
    { "large limit", 30, 1, 6, 2, 60, 200, Trouble::kNone },
    { "limit above the demand", 11, 3, 20, 4, 50, 10, Trouble::kNone },
    { "no request allowed", 11, 3, 20, 2, 0, 25, Trouble::kNone },
    { "all servers", 11, 3, 12, 12, 4, 25, Trouble::kNone },
    { "cut off", 11, 3, 20, 2, 3.4, 25, Trouble::kAllCutOff },
    { "cut off, many VMs", 90, 3, 90, 6, 3.4, 25, Trouble::kAllCutOff },
    { "cut off, all servers", 11, 3, 12, 12, 4, 25, Trouble::kAllCutOff },
    { "split", 11, 3, 20, 2, 3.4, 25, Trouble::kSplit },
    { "restarts", 11, 3, 20, 2, 3.4, 25, Trouble::kRestarts },
    { "restarts, many VMs", 90, 3, 90, 6, 3.4, 25, Trouble::kRestarts },
    { "freezes", 11, 3, 20, 2, 3.4, 25, Trouble::kFreezes },
  };
  for (const Case& entry : cases) {
    for (const unsigned seed : { 1U, 2U, 3U }) {
      CAPTURE(entry.name, seed);
      LimitedFleet fleet(entry, seed);
      fleet.Run(seconds(25));
      for (int server = 0; server < entry.limitedServers; ++server) {
        CAPTURE(server, fleet.ArrivalCount(server));
        CHECK(static_cast<double>(fleet.MostInWindow(server)) <=
              1.5 * entry.rate * static_cast<double>(kWindow.count()) + 5);
      }
      // What the limits don't admit runs at servers with room.
      const bool hasOtherServers = entry.limitedServers < entry.servers;
      CHECK((fleet.LimitedCount() == 0) == hasOtherServers);
      CHECK(fleet.ServedCount() > 0);
    }
  }
}

} // namespace
} // namespace plantainhaven::placing
