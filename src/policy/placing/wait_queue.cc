#include "plantainhaven/policy/placing/wait_queue.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

namespace plantainhaven::placing {
namespace {

using Seconds = std::chrono::duration<double>;

// Time constant of the completions' moving average: some service times, short against a
// burst.
constexpr Seconds kRateTime{ 1.0 };
// Rates taken as the least, so that the first requests may wait: of a service, and of the
// regions to which some of its requests are bound.
constexpr double kLeastRate = 10.0;
constexpr double kLeastBoundRate = 2.0;
constexpr std::chrono::milliseconds kShortestRetryAfter{ 100 };
// Overload lasts at least this much longer once a line stands.
constexpr std::chrono::milliseconds kOverloadRetryAfter{ 500 };
constexpr std::chrono::milliseconds kLongestRetryAfter{ 2000 };

BootClock::duration
TimeFor(double aRequests, double aRate)
{
  return std::chrono::duration_cast<BootClock::duration>(Seconds(aRequests / aRate));
}

// What waiters that may run in the same regions share.
struct Group
{
  // Empty for all.
  std::vector<std::string> regions;
  std::size_t size = 0;
  // Since when one of them has waited without a break.
  BootTime standingSince{};
  // Completions a second in these regions.
  double rate = 0;
  BootTime rateAt{};

  bool IsBound() const { return !this->regions.empty(); }
  bool Allows(const std::string& aRegion) const
  {
    return !this->IsBound() ||
           std::find(this->regions.begin(), this->regions.end(), aRegion) != this->regions.end();
  }
  double RateAt(BootTime aNow) const
  {
    const double passed = std::max(0.0, Seconds(aNow - this->rateAt) / kRateTime);
    const double least = this->IsBound() ? kLeastBoundRate : kLeastRate;
    return std::max(least, this->rate * std::exp(-passed));
  }
  bool IsStanding(BootTime aNow) const
  {
    return this->size > 0 && aNow - this->standingSince > WaitQueue::kStandingQueueTime;
  }
  // Whether a waiter of the other group takes what one of this group waits for.
  bool CompetesWith(const Group& aOther) const { return !this->IsBound() || this == &aOther; }
};

} // namespace

struct WaitQueue::Impl
{
  struct Entry
  {
    QueuedRequest waiter;
    Group* group = nullptr;
  };

  Group& GroupOf(const QueuedRequest& aWaiter);
  // Waiters that take what this one waits for and are offered it first, if it came now.
  std::size_t Ahead(const QueuedRequest& aWaiter, const Group& aGroup, BootTime aNow) const;
  // Calls `aVisit` for each entry in the order in which room is to be offered.
  template<typename Visit>
  void InOrder(BootTime aNow, const Visit& aVisit) const;

  // By priority, then by arrival.
  std::vector<Entry> entries;
  std::map<std::vector<std::string>, Group> groups;
};

Group&
WaitQueue::Impl::GroupOf(const QueuedRequest& aWaiter)
{
  Group& group = this->groups[aWaiter.regions];
  group.regions = aWaiter.regions;
  return group;
}

std::size_t
WaitQueue::Impl::Ahead(const QueuedRequest& aWaiter, const Group& aGroup, BootTime aNow) const
{
  const bool isLate = aWaiter.objectiveAt < aNow;
  return static_cast<std::size_t>(
    std::count_if(this->entries.begin(), this->entries.end(), [&](const Entry& aOther) {
      const QueuedRequest& other = aOther.waiter;
      const bool goesFirst =
        other.priority < aWaiter.priority ||
        (other.priority == aWaiter.priority && (isLate || other.objectiveAt >= aNow));
      return goesFirst && aGroup.CompetesWith(*aOther.group);
    }));
}

template<typename Visit>
void
WaitQueue::Impl::InOrder(BootTime aNow, const Visit& aVisit) const
{
  auto block = this->entries.begin();
  while (block != this->entries.end()) {
    const int priority = block->waiter.priority;
    auto end = block;
    for (; end != this->entries.end() && end->waiter.priority == priority; ++end) {
      if (end->waiter.objectiveAt >= aNow) {
        aVisit(*end);
      }
    }
    for (; block != end; ++block) {
      if (block->waiter.objectiveAt < aNow) {
        aVisit(*block);
      }
    }
  }
}

WaitQueue::WaitQueue()
  : impl(std::make_unique<Impl>())
{
}

WaitQueue::~WaitQueue() = default;
WaitQueue::WaitQueue(WaitQueue&&) noexcept = default;
WaitQueue&
WaitQueue::operator=(WaitQueue&&) noexcept = default;

Admission
WaitQueue::TryEnqueue(const QueuedRequest& aWaiter, BootTime aNow)
{
  Group& group = this->impl->GroupOf(aWaiter);
  const double rate = group.RateAt(aNow);
  const auto ahead = static_cast<double>(this->impl->Ahead(aWaiter, group, aNow));
  const std::size_t competing = group.IsBound() ? group.size : this->impl->entries.size();
  const auto size = static_cast<double>(competing);
  const auto wait = TimeFor(ahead + 1, rate);
  const bool isStanding = group.IsStanding(aNow);
  const bool meetsObjective = aNow + wait <= aWaiter.objectiveAt;
  const bool isInTime = aNow + TimeFor(size + 1, rate) <= aWaiter.latestStart;
  if (meetsObjective || (isInTime && !isStanding)) {
    if (group.size == 0) {
      group.standingSince = aNow;
    }
    ++group.size;
    const auto place =
      std::upper_bound(this->impl->entries.begin(),
                       this->impl->entries.end(),
                       std::pair(aWaiter.priority, aWaiter.arrivedAt),
                       [](const auto& aNew, const Impl::Entry& aEntry) {
                         return aNew < std::pair(aEntry.waiter.priority, aEntry.waiter.arrivedAt);
                       });
    this->impl->entries.insert(place, { aWaiter, &group });
    return { .admitted = true };
  }
  const auto shortest = isStanding ? kOverloadRetryAfter : kShortestRetryAfter;
  const auto back = std::chrono::ceil<std::chrono::milliseconds>(wait);
  return { .admitted = false, .retryAfter = std::clamp(back, shortest, kLongestRetryAfter) };
}

void
WaitQueue::Dequeue(std::uint64_t aId)
{
  std::erase_if(this->impl->entries, [aId](const Impl::Entry& aEntry) {
    if (aEntry.waiter.id == aId) {
      --aEntry.group->size;
    }
    return aEntry.waiter.id == aId;
  });
}

void
WaitQueue::OnCompletion(const std::string& aRegion, BootTime aNow)
{
  this->impl->GroupOf(QueuedRequest());
  for (auto& [regions, group] : this->impl->groups) {
    if (group.Allows(aRegion)) {
      const double passed = std::max(0.0, Seconds(aNow - group.rateAt) / kRateTime);
      group.rate = group.rate * std::exp(-passed) + 1.0 / kRateTime.count();
      group.rateAt = aNow;
    }
  }
}

std::vector<std::uint64_t>
WaitQueue::DequeueOrder(BootTime aNow) const
{
  std::vector<std::uint64_t> ids;
  ids.reserve(this->impl->entries.size());
  this->impl->InOrder(aNow, [&ids](const Impl::Entry& aEntry) { ids.push_back(aEntry.waiter.id); });
  return ids;
}

std::vector<std::uint64_t>
WaitQueue::RequestsToReject(BootTime aNow) const
{
  std::vector<std::uint64_t> ids;
  double ahead = 0;
  std::map<const Group*, double> aheadInGroup;
  this->impl->InOrder(aNow, [&](const Impl::Entry& aEntry) {
    const Group& group = *aEntry.group;
    const double before = group.IsBound() ? aheadInGroup[&group] : ahead;
    const bool isLate = group.IsStanding(aNow) && aNow > aEntry.waiter.objectiveAt;
    if (isLate || aNow + TimeFor(before, group.RateAt(aNow)) > aEntry.waiter.latestStart) {
      ids.push_back(aEntry.waiter.id);
    } else {
      ahead += 1;
      aheadInGroup[&group] += 1;
    }
  });
  return ids;
}

std::size_t
WaitQueue::Size() const
{
  return this->impl->entries.size();
}

} // namespace plantainhaven::placing
