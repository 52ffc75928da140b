#include "policy/view/schedule.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <string>

namespace plantainhaven {

namespace {

constexpr std::uint64_t kDefaultSeeds = 500;
constexpr Nanoseconds kFreshness = 3s;
constexpr Nanoseconds kFaultTime = 25s;
constexpr Nanoseconds kHealTime = 12s;

// The environment variable PLANTAINHAVEN_SEEDS overrides the number of schedules.
std::uint64_t
Seeds()
{
  const char* text = std::getenv("PLANTAINHAVEN_SEEDS");
  return text == nullptr ? kDefaultSeeds : std::stoull(text);
}

// Checks the invariants of a schedule after each event. `failure` describes the first
// violation.
class InvariantChecker
{
public:
  explicit InvariantChecker(const Schedule& aSchedule)
    : schedule(aSchedule)
    , lastObserved(aSchedule.Vms().size())
    , acceptedAt{ Nanoseconds(0) }
  {
  }

  bool Check()
  {
    for (std::size_t i = 0; i < this->lastObserved.size(); ++i) {
      CheckMonotonic(this->schedule.Vms()[i], this->lastObserved[i]);
    }
    for (const ScheduledVm& vm : this->schedule.Vms()) {
      CheckFreshness(vm);
    }
    return this->failure.empty();
  }

  // After all faults have ended, every VM is fresh at the head and the head is accepted.
  void CheckHealed()
  {
    const Revision head = this->schedule.Head();
    for (const ScheduledVm& vm : this->schedule.Vms()) {
      const bool fresh = vm.view->FreshUntil() > this->schedule.ClockOf(vm);
      if (!fresh || vm.applied != head || vm.view->AcceptedRevision() != head) {
        RecordFailure(vm,
                      "expected to be fresh at accepted head " + std::to_string(head) + ", is " +
                        (fresh ? "fresh" : "stale") + ", knows " +
                        std::to_string(vm.view->KnownHead()) + " and accepted " +
                        std::to_string(vm.view->AcceptedRevision()));
      }
    }
  }

  std::string failure;

private:
  struct Observed
  {
    std::uint64_t incarnation = 0;
    Revision head = 0;
    Revision accepted = 0;
    BootTime freshUntil{};
  };

  void RecordFailure(const ScheduledVm& aVm, const std::string& aWhat)
  {
    if (this->failure.empty()) {
      this->failure = "VM " + aVm.name + " at revision " + std::to_string(aVm.applied) + ", " +
                      std::to_string(this->schedule.Now() / 1ms) + " ms: " + aWhat;
    }
  }

  void CheckMonotonic(const ScheduledVm& aVm, Observed& aObserved)
  {
    const FleetView& view = *aVm.view;
    const Observed current{
      aVm.incarnation, view.KnownHead(), view.AcceptedRevision(), view.FreshUntil()
    };
    if (current.head > this->schedule.Head() || current.accepted > this->schedule.Head()) {
      RecordFailure(aVm, "knows a revision that isn't committed");
      return;
    }
    const bool same = aObserved.incarnation == current.incarnation;
    if (same && (current.head < aObserved.head || current.accepted < aObserved.accepted ||
                 current.freshUntil < aObserved.freshUntil)) {
      RecordFailure(aVm, "known head, accepted revision or freshness went down");
    }
    aObserved = current;
    while (this->acceptedAt.size() <= current.accepted) {
      this->acceptedAt.push_back(this->schedule.Now());
    }
  }

  // Once the next revision is accepted on any VM, the applied one must stop being fresh
  // within T.
  void CheckFreshness(const ScheduledVm& aVm)
  {
    const BootTime freshUntil = aVm.view->FreshUntil();
    const Revision next = aVm.applied + 1;
    if (freshUntil == BootTime{} || next >= this->acceptedAt.size()) {
      return;
    }
    const Nanoseconds since = this->schedule.Now() - this->acceptedAt[next];
    const Nanoseconds ahead = freshUntil - this->schedule.ClockOf(aVm);
    const Nanoseconds left = ahead - ahead / 1000000 * aVm.driftPpm;
    const Nanoseconds late = since + left - kFreshness;
    if (late > 0ns) {
      RecordFailure(aVm,
                    "fresh " + std::to_string(late / 1us) + " us longer than T after " +
                      std::to_string(next) + " was accepted");
    }
  }

  const Schedule& schedule;
  std::vector<Observed> lastObserved;
  // Simulated time at which a VM first knew each revision to be accepted.
  std::vector<Nanoseconds> acceptedAt;
};

std::string
FirstFailure(std::uint64_t aSeed)
{
  Schedule schedule(aSeed);
  InvariantChecker checker(schedule);
  const auto check = [&checker] { return checker.Check(); };
  schedule.Run(kFaultTime, true, check);
  if (checker.failure.empty()) {
    schedule.Heal();
    schedule.Run(kFaultTime + kHealTime, false, check);
  }
  if (checker.failure.empty()) {
    checker.CheckHealed();
  }
  return checker.failure;
}

TEST_CASE("No VM stays fresh for longer than T after a later revision is accepted", "[schedule]")
{
  for (std::uint64_t seed = 1; seed <= Seeds(); ++seed) {
    const std::string failure = FirstFailure(seed);
    INFO("seed " << seed << ": " << failure);
    REQUIRE(failure.empty());
  }
}

} // namespace

} // namespace plantainhaven
