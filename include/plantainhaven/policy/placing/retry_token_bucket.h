#pragma once

#include <algorithm>
#include <cstddef>

namespace plantainhaven::placing {

// The repeats that each of `aVms` VMs may keep, so that all of them together stay within
// half of the fleet's slack; the other half covers VMs that don't know of each other yet. A
// VM that may not keep a whole one never repeats, so one is the least.
inline double
RetryBurst(double aSlack, std::size_t aVms)
{
  constexpr double kUsedSlack = 0.5;
  // One VM alone keeps no more than this part: others may be about to start.
  constexpr double kMostOfOne = 0.04;
  const double shared = aSlack * kUsedSlack / static_cast<double>(std::max<std::size_t>(1, aVms));
  return std::max(1.0, std::min(shared, aSlack * kMostOfOne));
}

// Bounds how many requests this VM sends a second time. Each first send earns a part of a
// repeat, so the sum over all VMs stays within the ratio in any window without asking
// anyone; only the stock, which is small, comes on top.
class RetryTokenBucket
{
public:
  // `aRatio` repeats are earned by each first send; at most `aStock` are kept.
  RetryTokenBucket(double aRatio, double aStock)
    : ratio(aRatio)
    , stock(aStock)
  {
  }

  void SetRatio(double aRatio) { this->ratio = aRatio; }
  // Bounds what may be kept from now on.
  void SetCapacity(double aStock)
  {
    this->stock = aStock;
    this->level = std::min(this->level, aStock);
  }
  void OnFirstAttempt() { this->level = std::min(this->stock, this->level + this->ratio); }
  // Takes one repeat, or returns false when none is left.
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
  double stock;
  double level = 0;
};

} // namespace plantainhaven::placing
