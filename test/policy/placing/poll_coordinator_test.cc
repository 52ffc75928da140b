#include "plantainhaven/policy/placing/poll_coordinator.h"
#include "policy/placing/placing_support.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <string>
#include <vector>

namespace plantainhaven::placing {
namespace {

using std::chrono::milliseconds;

constexpr PollCoordinator::Timing kTiming{ milliseconds(700),
                                           milliseconds(100),
                                           milliseconds(300) };
constexpr milliseconds kStoreResponseTime{ 5 };
constexpr milliseconds kPeerDelay{ 2 };

struct Vm
{
  std::string name;
  PollCoordinator coordinator;
  bool isStopped = false;
  bool isPolling = false;
  BootTime respondsAt{};
  // When the VM last received the contents of the table.
  BootTime updatedAt{};
};

// A response that a VM forwards to the others.
struct Update
{
  BootTime arrivesAt{};
  std::string from;
};

// VMs of one region that poll a table whose rows never change.
class Region
{
public:
  Region(std::size_t aVms, std::uint64_t aSeed)
    : random(aSeed)
  {
    std::uniform_real_distribution<double> draw(0, 1);
    for (std::size_t i = 0; i < aVms; ++i) {
      const std::string name = "vm-" + std::to_string(i);
      this->vms.push_back({ name,
                            PollCoordinator(name, kTiming, draw(this->random)),
                            false,
                            false,
                            {},
                            At(milliseconds(0)) });
    }
  }

  void Run(milliseconds aTime)
  {
    for (int step = 0; step < aTime.count(); ++step) {
      this->now += milliseconds(1);
      this->Deliver();
      for (Vm& vm : this->vms) {
        if (!vm.isStopped) {
          this->Step(vm);
        }
      }
    }
  }

  // Stops each VM that is polling.
  void StopPoller()
  {
    for (Vm& vm : this->vms) {
      vm.isStopped = vm.isStopped || vm.isPolling;
    }
  }
  void SetStoreUnavailable(bool aIsUnavailable) { this->isStoreUnavailable = aIsUnavailable; }
  int Polls() const { return this->polls; }
  milliseconds MaxStaleness() const { return this->maxStaleness; }

private:
  void Step(Vm& aVm)
  {
    if (aVm.isPolling && this->now >= aVm.respondsAt) {
      aVm.isPolling = false;
      this->EndPoll(aVm);
    }
    if (!aVm.isPolling && this->now >= aVm.coordinator.NextPollAt()) {
      ++this->polls;
      aVm.isPolling = true;
      const auto wait =
        this->isStoreUnavailable ? milliseconds(0) : aVm.coordinator.LongPollWait(this->now);
      aVm.respondsAt = this->now + wait + kStoreResponseTime;
    }
    const auto staleness = std::chrono::duration_cast<milliseconds>(this->now - aVm.updatedAt);
    this->maxStaleness = std::max(this->maxStaleness, staleness);
  }

  void EndPoll(Vm& aVm)
  {
    if (this->isStoreUnavailable) {
      aVm.coordinator.OnOwnFailure(this->vms.size(), this->now);
      return;
    }
    aVm.coordinator.OnOwnResponse(this->now);
    aVm.updatedAt = this->now;
    this->updates.push_back({ this->now + kPeerDelay, aVm.name });
  }

  void Deliver()
  {
    std::uniform_real_distribution<double> draw(0, 1);
    for (const Update& update : this->updates) {
      for (Vm& vm : this->vms) {
        if (update.arrivesAt == this->now && vm.name != update.from) {
          vm.coordinator.OnPeerResponse(update.from, draw(this->random), this->now);
          vm.updatedAt = this->now;
        }
      }
    }
    std::erase_if(this->updates,
                  [this](const Update& aUpdate) { return aUpdate.arrivesAt <= this->now; });
  }

  std::mt19937_64 random;
  BootTime now = At(milliseconds(0));
  std::vector<Vm> vms;
  std::vector<Update> updates;
  bool isStoreUnavailable = false;
  int polls = 0;
  milliseconds maxStaleness{ 0 };
};

// Guards against every VM polling for itself: 90 VMs sent 11,433 requests to the store in 50 s.
TEST_CASE("The number of polls of a region doesn't grow with its number of VMs")
{
  for (const std::size_t vms : { 1, 3, 30, 100 }) {
    CAPTURE(vms);
    Region region(vms, vms);
    region.Run(std::chrono::seconds(30));
    // Each VM polls once at the start; then one VM polls, with a margin for a few duplicate polls.
    CHECK(region.Polls() <= static_cast<int>(vms) + 30000 / 700 + 10);
    CHECK(region.Polls() >= 30000 / 700);
  }
}

TEST_CASE("Another VM takes over from a stopped poller within wait, margin and stagger")
{
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    CAPTURE(seed);
    Region region(30, seed);
    for (int round = 0; round < 8; ++round) {
      region.Run(milliseconds(1500 + 37 * seed + 11 * round));
      region.StopPoller();
    }
    region.Run(std::chrono::seconds(2));
    const auto maxStaleness =
      kTiming.wait + kTiming.margin + kTiming.stagger + kStoreResponseTime + kPeerDelay;
    CHECK(region.MaxStaleness() <= maxStaleness + milliseconds(5));
  }
}

TEST_CASE("An unavailable store is polled at a bounded rate")
{
  Region region(30, 1);
  region.Run(std::chrono::seconds(3));
  region.SetStoreUnavailable(true);
  region.Run(std::chrono::seconds(2));
  const int before = region.Polls();
  region.Run(std::chrono::seconds(10));
  CHECK(region.Polls() - before <= 10 * 25);
}

TEST_CASE(
  "A missed update is fetched immediately, but not before the backoff after a failure has passed")
{
  PollCoordinator coordinator("vm-2", kTiming, 0);
  const BootTime now = At(milliseconds(1000));
  coordinator.OnPeerResponse("vm-1", 0.5, now);
  CHECK(coordinator.NextPollAt() == now + milliseconds(950));
  coordinator.OnMissedUpdate();
  CHECK(coordinator.NextPollAt() <= now);
  coordinator.OnOwnFailure(1, now);
  CHECK(coordinator.NextPollAt() == now + milliseconds(200));
  coordinator.OnOwnResponse(now + milliseconds(210));
  // The missed update has been fetched, and the other VM continues to poll.
  CHECK(coordinator.NextPollAt() > now + milliseconds(900));
}

} // namespace
} // namespace plantainhaven::placing
