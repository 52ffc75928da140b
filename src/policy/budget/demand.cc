#include "policy/budget/demand.h"

#include <algorithm>

namespace plantainhaven {

namespace {

// Moves an average per second towards the rate of the latest `aElapsed`.
void
UpdateAverage(double& aPerSecond, TokenThousandths aLatest, std::chrono::nanoseconds aElapsed)
{
  const double seconds = std::chrono::duration<double>(aElapsed).count();
  const double average = std::chrono::duration<double>(Demand::kAverageOver).count();
  const double latest = static_cast<double>(aLatest) / seconds;
  aPerSecond += (latest - aPerSecond) * seconds / (seconds + average);
}

TokenThousandths
AmountIn(double aPerSecond, std::chrono::nanoseconds aPeriod)
{
  return static_cast<TokenThousandths>(aPerSecond * std::chrono::duration<double>(aPeriod).count());
}

} // namespace

void
Demand::OnAttempt(TokenThousandths aAmount, BootTime aNow)
{
  if (!this->Active(aNow)) {
    this->largest = 0;
    this->updatedAt = std::max(this->updatedAt, aNow - kPeriod);
  }
  this->everAttempted = true;
  this->attempted += aAmount;
  this->largest = std::max(this->largest, aAmount);
  this->lastAttempt = std::max(this->lastAttempt, aNow);
}

void
Demand::OnRefused(TokenThousandths aAmount, BootTime /*aNow*/)
{
  this->refusedThisPeriod += aAmount;
}

void
Demand::OnAcquired(TokenThousandths aAmount, bool aRepeated)
{
  this->acquired += aAmount;
  if (!aRepeated) {
    return;
  }
  const TokenThousandths recent = std::min(this->refusedThisPeriod, aAmount);
  this->refusedThisPeriod -= recent;
  this->refusedLastPeriod -= std::min(this->refusedLastPeriod, aAmount - recent);
}

void
Demand::Update(BootTime aNow)
{
  const std::chrono::nanoseconds elapsed = aNow - this->updatedAt;
  if (elapsed < kPeriod) {
    return;
  }
  UpdateAverage(this->attemptedPerSecond, this->attempted, elapsed);
  UpdateAverage(this->acquiredPerSecond, this->acquired, elapsed);
  this->attempted = 0;
  this->acquired = 0;
  this->refusedLastPeriod = this->refusedThisPeriod;
  this->refusedThisPeriod = 0;
  this->updatedAt = aNow;
}

TokenThousandths
Demand::Expected(std::chrono::nanoseconds aPeriod) const
{
  return AmountIn(this->attemptedPerSecond, aPeriod);
}

TokenThousandths
Demand::Served(std::chrono::nanoseconds aPeriod) const
{
  return AmountIn(this->acquiredPerSecond, aPeriod);
}

TokenThousandths
Demand::Backlog(BootTime aNow) const
{
  const bool recent = this->Active(aNow) && aNow - this->lastAttempt < 4 * kPeriod;
  return recent ? this->refusedThisPeriod + this->refusedLastPeriod : 0;
}

TokenThousandths
Demand::Largest() const
{
  return this->largest;
}

bool
Demand::Active(BootTime aNow) const
{
  return this->everAttempted && aNow - this->lastAttempt < kIdleAfter;
}

} // namespace plantainhaven
