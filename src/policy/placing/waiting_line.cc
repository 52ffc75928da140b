#include "plantainhaven/policy/placing/waiting_line.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace plantainhaven::placing {
namespace {

using Seconds = std::chrono::duration<double>;

// Time constant of the completions' moving average: some service times, short against a
// burst.
constexpr Seconds kRateTime{ 1.0 };
// Rate taken as the least, so that the first requests of a service may wait.
constexpr double kLeastRate = 10.0;
constexpr std::chrono::milliseconds kShortestRetryAfter{ 100 };
// Overload lasts at least this much longer once a line stands.
constexpr std::chrono::milliseconds kOverloadRetryAfter{ 500 };
constexpr std::chrono::milliseconds kLongestRetryAfter{ 2000 };

BootClock::duration
TimeFor(double aRequests, double aRate)
{
  return std::chrono::duration_cast<BootClock::duration>(Seconds(aRequests / aRate));
}

// True when `aLeft` is offered room before `aRight`.
bool
GoesFirst(const Waiter& aLeft, const Waiter& aRight, BootTime aNow)
{
  const bool leftLate = aLeft.objectiveAt < aNow;
  const bool rightLate = aRight.objectiveAt < aNow;
  if (aLeft.priority != aRight.priority) {
    return aLeft.priority < aRight.priority;
  }
  if (leftLate != rightLate) {
    return rightLate;
  }
  return std::pair(aLeft.arrivedAt, aLeft.id) < std::pair(aRight.arrivedAt, aRight.id);
}

} // namespace

struct WaitingLine::Impl
{
  std::size_t Ahead(const Waiter& aWaiter, BootTime aNow) const;
  std::vector<Waiter> Sorted(BootTime aNow) const;
  bool IsStanding(BootTime aNow) const;

  std::vector<Waiter> waiters;
  // Since when somebody has waited without a break.
  BootTime standingSince{};
  double rate = 0;
  BootTime rateAt{};
};

std::size_t
WaitingLine::Impl::Ahead(const Waiter& aWaiter, BootTime aNow) const
{
  return static_cast<std::size_t>(
    std::count_if(this->waiters.begin(), this->waiters.end(), [&](const Waiter& aOther) {
      return aOther.id != aWaiter.id && GoesFirst(aOther, aWaiter, aNow);
    }));
}

std::vector<Waiter>
WaitingLine::Impl::Sorted(BootTime aNow) const
{
  std::vector<Waiter> sorted = this->waiters;
  std::sort(sorted.begin(), sorted.end(), [aNow](const Waiter& aLeft, const Waiter& aRight) {
    return GoesFirst(aLeft, aRight, aNow);
  });
  return sorted;
}

bool
WaitingLine::Impl::IsStanding(BootTime aNow) const
{
  return !this->waiters.empty() && aNow - this->standingSince > kStanding;
}

WaitingLine::WaitingLine()
  : impl(std::make_unique<Impl>())
{
}

WaitingLine::~WaitingLine() = default;
WaitingLine::WaitingLine(WaitingLine&&) noexcept = default;
WaitingLine&
WaitingLine::operator=(WaitingLine&&) noexcept = default;

double
WaitingLine::Rate(BootTime aNow) const
{
  const double passed = std::max(0.0, Seconds(aNow - this->impl->rateAt) / kRateTime);
  return std::max(kLeastRate, this->impl->rate * std::exp(-passed));
}

Admission
WaitingLine::Join(const Waiter& aWaiter, BootTime aNow)
{
  const double rate = this->Rate(aNow);
  const auto ahead = static_cast<double>(this->impl->Ahead(aWaiter, aNow));
  const auto size = static_cast<double>(this->impl->waiters.size());
  const auto wait = TimeFor(ahead + 1, rate);
  const bool isStanding = this->impl->IsStanding(aNow);
  const bool meetsObjective = aNow + wait <= aWaiter.objectiveAt;
  const bool isInTime = aNow + TimeFor(size + 1, rate) <= aWaiter.latestStart;
  if (meetsObjective || (isInTime && !isStanding)) {
    if (this->impl->waiters.empty()) {
      this->impl->standingSince = aNow;
    }
    this->impl->waiters.push_back(aWaiter);
    return { .admitted = true };
  }
  const auto shortest = isStanding ? kOverloadRetryAfter : kShortestRetryAfter;
  const auto back = std::chrono::ceil<std::chrono::milliseconds>(wait);
  return { .admitted = false, .retryAfter = std::clamp(back, shortest, kLongestRetryAfter) };
}

void
WaitingLine::Leave(std::uint64_t aId)
{
  std::erase_if(this->impl->waiters, [aId](const Waiter& aWaiter) { return aWaiter.id == aId; });
}

void
WaitingLine::OnCompletion(BootTime aNow)
{
  const double passed = std::max(0.0, Seconds(aNow - this->impl->rateAt) / kRateTime);
  this->impl->rate = this->impl->rate * std::exp(-passed) + 1.0 / kRateTime.count();
  this->impl->rateAt = aNow;
}

std::vector<std::uint64_t>
WaitingLine::Order(BootTime aNow) const
{
  std::vector<std::uint64_t> ids;
  for (const Waiter& waiter : this->impl->Sorted(aNow)) {
    ids.push_back(waiter.id);
  }
  return ids;
}

std::vector<std::uint64_t>
WaitingLine::Hopeless(BootTime aNow) const
{
  std::vector<std::uint64_t> ids;
  const double rate = this->Rate(aNow);
  const bool isStanding = this->impl->IsStanding(aNow);
  double ahead = 0;
  for (const Waiter& waiter : this->impl->Sorted(aNow)) {
    const bool isLate = isStanding && aNow > waiter.objectiveAt;
    if (isLate || aNow + TimeFor(ahead, rate) > waiter.latestStart) {
      ids.push_back(waiter.id);
    } else {
      ahead += 1;
    }
  }
  return ids;
}

std::size_t
WaitingLine::Size() const
{
  return this->impl->waiters.size();
}

} // namespace plantainhaven::placing
