#pragma once

#include "plantainhaven/common/time.h"
#include "plantainhaven/policy/budget/shares.h"

#include <chrono>

namespace plantainhaven {

// Measures the demand on one budget by the callers of this VM.
class Demand
{
public:
  void OnAttempt(TokenThousandths aAmount, BootTime aNow);
  // Records a refused attempt; `aAmount` is needed as soon as it can be borrowed.
  void OnRefused(TokenThousandths aAmount, BootTime aNow);
  // Records a successful attempt, which may be a retry.
  void OnAcquired(TokenThousandths aAmount, bool aRepeated);
  // Updates the averages to `aNow`. Call it at least every kPeriod while in use.
  void Update(BootTime aNow);

  // Expected tokens requested in `aPeriod`: a moving average over a few hundred
  // milliseconds.
  TokenThousandths Expected(std::chrono::nanoseconds aPeriod) const;
  // Expected tokens acquired in `aPeriod`, averaged in the same way.
  TokenThousandths Served(std::chrono::nanoseconds aPeriod) const;
  // Recently refused tokens for which requests may still be waiting.
  TokenThousandths Backlog(BootTime aNow) const;
  // The largest amount of a single attempt since the last idle period.
  TokenThousandths Largest() const;
  // True when an attempt was made within the last kIdleAfter.
  bool Active(BootTime aNow) const;

  static constexpr std::chrono::milliseconds kPeriod{ 50 };
  static constexpr std::chrono::milliseconds kAverageOver{ 300 };
  static constexpr std::chrono::milliseconds kIdleAfter{ 1000 };

private:
  TokenThousandths attempted = 0;
  TokenThousandths refusedThisPeriod = 0;
  TokenThousandths refusedLastPeriod = 0;
  TokenThousandths largest = 0;
  TokenThousandths acquired = 0;
  double attemptedPerSecond = 0;
  double acquiredPerSecond = 0;
  BootTime updatedAt{};
  BootTime lastAttempt{};
  bool everAttempted = false;
};

} // namespace plantainhaven
