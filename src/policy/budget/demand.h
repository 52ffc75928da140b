#pragma once

#include "plantainhaven/common/time.h"
#include "plantainhaven/policy/budget/shares.h"

#include <chrono>

namespace plantainhaven {

// How much of a budget this VM's callers ask for.
class Demand
{
public:
  void OnAttempt(TokenThousandths aAmount, BootTime aNow);
  // An attempt found nothing; `aAmount` is wanted as soon as it can be borrowed.
  void OnRefused(TokenThousandths aAmount, BootTime aNow);
  // An attempt got its tokens, at once or when it was repeated.
  void OnAcquired(TokenThousandths aAmount, bool aRepeated);
  // Brings the averages up to `aNow`. Call it at least every kPeriod while in use.
  void Update(BootTime aNow);

  // Average tokens asked for in `aPeriod`, of the last few hundred milliseconds.
  TokenThousandths Expected(std::chrono::nanoseconds aPeriod) const;
  // Average tokens taken in `aPeriod`, likewise.
  TokenThousandths Served(std::chrono::nanoseconds aPeriod) const;
  // What was refused lately and may still be waited for.
  TokenThousandths Backlog(BootTime aNow) const;
  // The largest single amount of late.
  TokenThousandths Largest() const;
  // True when something was asked for within kIdleAfter.
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
