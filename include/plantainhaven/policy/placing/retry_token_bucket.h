#pragma once

#include <algorithm>
#include <cstddef>

namespace plantainhaven::placing {

// The retry burst, in retries, of each of `aVms` VMs. The bursts of all VMs together stay within
// half of the fleet's slack; the other half covers VMs that haven't discovered each other yet.
// The minimum is 1, because a VM with a smaller burst could never retry.
inline double
RetryBurst(double aSlack, std::size_t aVms)
{
  constexpr double kRetryFraction = 0.5;
  // Upper bound for a single VM as a fraction of the slack, since other VMs may be starting.
  constexpr double kMaxFractionPerVm = 0.04;
  const double perVm =
    aSlack * kRetryFraction / static_cast<double>(std::max<std::size_t>(1, aVms));
  return std::max(1.0, std::min(perVm, aSlack * kMaxFractionPerVm));
}

// A token bucket that limits how many requests this VM retries. Each first attempt adds a
// fraction of a token, so over all VMs the retries in any window stay within the ratio, plus the
// small bucket capacities, without coordination between VMs.
class RetryTokenBucket
{
public:
  // Each first attempt adds `aRatio` tokens; the bucket holds at most `aCapacity`.
  RetryTokenBucket(double aRatio, double aCapacity)
    : ratio(aRatio)
    , capacity(aCapacity)
  {
  }

  void SetRatio(double aRatio) { this->ratio = aRatio; }
  // Sets the capacity and drops the tokens above it.
  void SetCapacity(double aCapacity)
  {
    this->capacity = aCapacity;
    this->level = std::min(this->level, aCapacity);
  }
  void OnFirstAttempt() { this->level = std::min(this->capacity, this->level + this->ratio); }
  // Takes the token for one retry; returns false if there is none.
  bool TryAcquire()
  {
    if (this->level < 1.0) {
      return false;
    }
    this->level -= 1.0;
    return true;
  }

private:
  double ratio;
  double capacity;
  double level = 0;
};

} // namespace plantainhaven::placing
