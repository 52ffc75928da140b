#include "plantainhaven/policy/placing/wait_queue.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

namespace plantainhaven::placing {
namespace {

using Seconds = std::chrono::duration<double>;

// Time constant of the exponential moving average of the completion rate: several service
// times, but short compared with a burst.
constexpr Seconds kRateTimeConstant{ 1.0 };
// Lower bounds of the completion rate per second, so that the first requests are admitted: for a
// service, and for the regions to which some of its requests are restricted.
constexpr double kMinRate = 10.0;
constexpr double kMinRestrictedRate = 2.0;
constexpr std::chrono::milliseconds kMinRetryAfter{ 100 };
// Minimum retry delay while there is a standing queue, since overload doesn't end sooner.
constexpr std::chrono::milliseconds kOverloadRetryAfter{ 500 };
constexpr std::chrono::milliseconds kMaxRetryAfter{ 2000 };

BootClock::duration
TimeFor(double aRequests, double aRate)
{
  return std::chrono::duration_cast<BootClock::duration>(Seconds(aRequests / aRate));
}

// The queued requests that may run in the same regions.
struct Group
{
  // Empty for all regions.
  std::vector<std::string> regions;
  std::size_t size = 0;
  // Since when the group hasn't been empty.
  BootTime nonEmptySince{};
  // Completions per second in these regions.
  double rate = 0;
  BootTime rateAt{};

  bool IsRestricted() const { return !this->regions.empty(); }
  bool Allows(const std::string& aRegion) const
  {
    return !this->IsRestricted() ||
           std::find(this->regions.begin(), this->regions.end(), aRegion) != this->regions.end();
  }
  double RateAt(BootTime aNow) const
  {
    const double elapsed = std::max(0.0, Seconds(aNow - this->rateAt) / kRateTimeConstant);
    const double least = this->IsRestricted() ? kMinRestrictedRate : kMinRate;
    return std::max(least, this->rate * std::exp(-elapsed));
  }
  bool IsStandingQueue(BootTime aNow) const
  {
    return this->size > 0 && aNow - this->nonEmptySince > WaitQueue::kStandingQueueTime;
  }
  // Whether a request of the other group can take a slot that one of this group waits for.
  bool CompetesWith(const Group& aOther) const { return !this->IsRestricted() || this == &aOther; }
};

} // namespace

struct WaitQueue::Impl
{
  struct Entry
  {
    QueuedRequest request;
    Group* group = nullptr;
  };

  Group& GroupOf(const QueuedRequest& aRequest);
  // The number of queued requests that compete with this one and would be offered a free slot
  // before it if it were queued now.
  std::size_t CountAhead(const QueuedRequest& aRequest, const Group& aGroup, BootTime aNow) const;
  // Calls `aVisit` for each entry in the order in which free slots are offered.
  template<typename Visit>
  void ForEachInOrder(BootTime aNow, const Visit& aVisit) const;

  // Sorted by priority, then by arrival.
  std::vector<Entry> entries;
  std::map<std::vector<std::string>, Group> groups;
};

Group&
WaitQueue::Impl::GroupOf(const QueuedRequest& aRequest)
{
  Group& group = this->groups[aRequest.regions];
  group.regions = aRequest.regions;
  return group;
}

std::size_t
WaitQueue::Impl::CountAhead(const QueuedRequest& aRequest, const Group& aGroup, BootTime aNow) const
{
  const bool isLate = aRequest.objectiveAt < aNow;
  return static_cast<std::size_t>(
    std::count_if(this->entries.begin(), this->entries.end(), [&](const Entry& aOther) {
      const QueuedRequest& other = aOther.request;
      const bool goesFirst =
        other.priority < aRequest.priority ||
        (other.priority == aRequest.priority && (isLate || other.objectiveAt >= aNow));
      return goesFirst && aGroup.CompetesWith(*aOther.group);
    }));
}

template<typename Visit>
void
WaitQueue::Impl::ForEachInOrder(BootTime aNow, const Visit& aVisit) const
{
  auto block = this->entries.begin();
  while (block != this->entries.end()) {
    const int priority = block->request.priority;
    auto end = block;
    for (; end != this->entries.end() && end->request.priority == priority; ++end) {
      if (end->request.objectiveAt >= aNow) {
        aVisit(*end);
      }
    }
    for (; block != end; ++block) {
      if (block->request.objectiveAt < aNow) {
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
WaitQueue::TryEnqueue(const QueuedRequest& aRequest, BootTime aNow)
{
  Group& group = this->impl->GroupOf(aRequest);
  const double rate = group.RateAt(aNow);
  const auto ahead = static_cast<double>(this->impl->CountAhead(aRequest, group, aNow));
  const std::size_t competing = group.IsRestricted() ? group.size : this->impl->entries.size();
  const auto size = static_cast<double>(competing);
  const auto wait = TimeFor(ahead + 1, rate);
  const bool isStandingQueue = group.IsStandingQueue(aNow);
  const bool meetsObjective = aNow + wait <= aRequest.objectiveAt;
  const bool isInTime = aNow + TimeFor(size + 1, rate) <= aRequest.latestStart;
  if (meetsObjective || (isInTime && !isStandingQueue)) {
    if (group.size == 0) {
      group.nonEmptySince = aNow;
    }
    ++group.size;
    const auto position =
      std::upper_bound(this->impl->entries.begin(),
                       this->impl->entries.end(),
                       std::pair(aRequest.priority, aRequest.arrivedAt),
                       [](const auto& aNew, const Impl::Entry& aEntry) {
                         return aNew < std::pair(aEntry.request.priority, aEntry.request.arrivedAt);
                       });
    this->impl->entries.insert(position, { aRequest, &group });
    return { .admitted = true };
  }
  const auto minRetryAfter = isStandingQueue ? kOverloadRetryAfter : kMinRetryAfter;
  const auto retryAfter = std::chrono::ceil<std::chrono::milliseconds>(wait);
  return { .admitted = false, .retryAfter = std::clamp(retryAfter, minRetryAfter, kMaxRetryAfter) };
}

void
WaitQueue::Dequeue(std::uint64_t aId)
{
  std::erase_if(this->impl->entries, [aId](const Impl::Entry& aEntry) {
    if (aEntry.request.id == aId) {
      --aEntry.group->size;
    }
    return aEntry.request.id == aId;
  });
}

void
WaitQueue::OnCompletion(const std::string& aRegion, BootTime aNow)
{
  this->impl->GroupOf(QueuedRequest());
  for (auto& [regions, group] : this->impl->groups) {
    if (group.Allows(aRegion)) {
      const double elapsed = std::max(0.0, Seconds(aNow - group.rateAt) / kRateTimeConstant);
      group.rate = group.rate * std::exp(-elapsed) + 1.0 / kRateTimeConstant.count();
      group.rateAt = aNow;
    }
  }
}

std::vector<std::uint64_t>
WaitQueue::DequeueOrder(BootTime aNow) const
{
  std::vector<std::uint64_t> ids;
  ids.reserve(this->impl->entries.size());
  this->impl->ForEachInOrder(
    aNow, [&ids](const Impl::Entry& aEntry) { ids.push_back(aEntry.request.id); });
  return ids;
}

std::vector<std::uint64_t>
WaitQueue::RequestsToReject(BootTime aNow) const
{
  std::vector<std::uint64_t> ids;
  double ahead = 0;
  std::map<const Group*, double> aheadInGroup;
  this->impl->ForEachInOrder(aNow, [&](const Impl::Entry& aEntry) {
    const Group& group = *aEntry.group;
    const double before = group.IsRestricted() ? aheadInGroup[&group] : ahead;
    const bool isLate = group.IsStandingQueue(aNow) && aNow > aEntry.request.objectiveAt;
    if (isLate || aNow + TimeFor(before, group.RateAt(aNow)) > aEntry.request.latestStart) {
      ids.push_back(aEntry.request.id);
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
