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

constexpr PollCoordinator::Timing kPace{ milliseconds(700), milliseconds(100), milliseconds(300) };
constexpr milliseconds kStoreTime{ 5 };
constexpr milliseconds kDelay{ 2 };

struct Vm
{
  std::string name;
  PollCoordinator turn;
  bool isStopped = false;
  bool isCalling = false;
  BootTime answerAt{};
  // When it last learnt what the store holds.
  BootTime knowsAt{};
};

struct News
{
  BootTime arrivesAt{};
  std::string from;
};

// VMs of one region that read a table whose rows never change.
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
                            PollCoordinator(name, kPace, draw(this->random)),
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

  // Stops the VM that reads now.
  void StopReader()
  {
    for (Vm& vm : this->vms) {
      vm.isStopped = vm.isStopped || vm.isCalling;
    }
  }
  void SetStoreAway(bool aIsAway) { this->isStoreAway = aIsAway; }
  int Calls() const { return this->calls; }
  milliseconds LongestIgnorance() const { return this->longestIgnorance; }

private:
  void Step(Vm& aVm)
  {
    if (aVm.isCalling && this->now >= aVm.answerAt) {
      aVm.isCalling = false;
      this->EndCall(aVm);
    }
    if (!aVm.isCalling && this->now >= aVm.turn.NextPollAt()) {
      ++this->calls;
      aVm.isCalling = true;
      const auto wait = this->isStoreAway ? milliseconds(0) : aVm.turn.LongPollWait(this->now);
      aVm.answerAt = this->now + wait + kStoreTime;
    }
    const auto ignorance = std::chrono::duration_cast<milliseconds>(this->now - aVm.knowsAt);
    this->longestIgnorance = std::max(this->longestIgnorance, ignorance);
  }

  void EndCall(Vm& aVm)
  {
    if (this->isStoreAway) {
      aVm.turn.OnOwnFailure(this->vms.size(), this->now);
      return;
    }
    aVm.turn.OnOwnResponse(this->now);
    aVm.knowsAt = this->now;
    this->news.push_back({ this->now + kDelay, aVm.name });
  }

  void Deliver()
  {
    std::uniform_real_distribution<double> draw(0, 1);
    for (const News& item : this->news) {
      for (Vm& vm : this->vms) {
        if (item.arrivesAt == this->now && vm.name != item.from) {
          vm.turn.OnPeerResponse(item.from, draw(this->random), this->now);
          vm.knowsAt = this->now;
        }
      }
    }
    std::erase_if(this->news, [this](const News& aItem) { return aItem.arrivesAt <= this->now; });
  }

  std::mt19937_64 random;
  BootTime now = At(milliseconds(0));
  std::vector<Vm> vms;
  std::vector<News> news;
  bool isStoreAway = false;
  int calls = 0;
  milliseconds longestIgnorance{ 0 };
};

// Each VM reading for itself made 90 VMs call the store 11,433 times in 50 s.
TEST_CASE("The calls of a region don't grow with its VMs")
{
  for (const std::size_t vms : { 1, 3, 30, 100 }) {
    CAPTURE(vms);
    Region region(vms, vms);
    region.Run(std::chrono::seconds(30));
    // One call each at the start; then one VM reads, with room for a few double reads.
    CHECK(region.Calls() <= static_cast<int>(vms) + 30000 / 700 + 10);
    CHECK(region.Calls() >= 30000 / 700);
  }
}

TEST_CASE("Another VM follows a reader that stops, within wait and stagger")
{
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    CAPTURE(seed);
    Region region(30, seed);
    for (int round = 0; round < 8; ++round) {
      region.Run(milliseconds(1500 + 37 * seed + 11 * round));
      region.StopReader();
    }
    region.Run(std::chrono::seconds(2));
    const auto most = kPace.wait + kPace.margin + kPace.stagger + kStoreTime + kDelay;
    CHECK(region.LongestIgnorance() <= most + milliseconds(5));
  }
}

TEST_CASE("A store that is away is called at a bounded rate")
{
  Region region(30, 1);
  region.Run(std::chrono::seconds(3));
  region.SetStoreAway(true);
  region.Run(std::chrono::seconds(2));
  const int before = region.Calls();
  region.Run(std::chrono::seconds(10));
  CHECK(region.Calls() - before <= 10 * 25);
}

TEST_CASE("A gap is read at once, but not before a failure's pause has passed")
{
  PollCoordinator turn("vm-2", kPace, 0);
  const BootTime now = At(milliseconds(1000));
  turn.OnPeerResponse("vm-1", 0.5, now);
  CHECK(turn.NextPollAt() == now + milliseconds(950));
  turn.OnMissedUpdate();
  CHECK(turn.NextPollAt() <= now);
  turn.OnOwnFailure(1, now);
  CHECK(turn.NextPollAt() == now + milliseconds(200));
  turn.OnOwnResponse(now + milliseconds(210));
  // The gap is closed, and the other VM goes on reading.
  CHECK(turn.NextPollAt() > now + milliseconds(900));
}

} // namespace
} // namespace plantainhaven::placing
