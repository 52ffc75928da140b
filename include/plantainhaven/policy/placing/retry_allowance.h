#pragma once

#include <algorithm>

namespace plantainhaven::placing {

// Bounds how many requests this VM sends a second time. Each first send earns a part of a
// repeat, so the sum over all VMs stays within the ratio in any window without asking
// anyone; only the stock, which is small, comes on top.
class RetryAllowance
{
public:
  // `aRatio` repeats are earned by each first send; at most `aStock` are kept.
  RetryAllowance(double aRatio, double aStock)
    : ratio(aRatio)
    , stock(aStock)
  {
  }

  void OnFirstSend() { this->level = std::min(this->stock, this->level + this->ratio); }
  // Takes one repeat, or returns false when none is left.
  bool TryRepeat()
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
