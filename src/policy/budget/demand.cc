#include "policy/budget/demand.h"

#include <algorithm>

namespace plantainhaven {

void
Demand::OnAttempt(TokenThousandths aAmount, BootTime aNow)
{
  if (!this->Active(aNow)) {
    this->largest = 0;
    this->updatedAt = std::max(this->updatedAt, aNow - kPeriod);
  }
  this->everAsked = true;
  this->attempted += aAmount;
  this->largest = std::max(this->largest, aAmount);
  this->lastAttempt = std::max(this->lastAttempt, aNow);
}

void
Demand::OnRefused(TokenThousandths aAmount, BootTime /*aNow*/)
{
  this->refusedNow += aAmount;
}

void
Demand::Update(BootTime aNow)
{
  const std::chrono::nanoseconds elapsed = aNow - this->updatedAt;
  if (elapsed < kPeriod) {
    return;
  }
  const double seconds = std::chrono::duration<double>(elapsed).count();
  const double average = std::chrono::duration<double>(kAverageOver).count();
  const double latest = static_cast<double>(this->attempted) / seconds;
  this->perSecond += (latest - this->perSecond) * seconds / (seconds + average);
  this->attempted = 0;
  this->refusedBefore = this->refusedNow;
  this->refusedNow = 0;
  this->updatedAt = aNow;
}

TokenThousandths
Demand::Expected(std::chrono::nanoseconds aPeriod) const
{
  const double seconds = std::chrono::duration<double>(aPeriod).count();
  return static_cast<TokenThousandths>(this->perSecond * seconds);
}

TokenThousandths
Demand::Backlog(BootTime aNow) const
{
  const bool recent = this->Active(aNow) && aNow - this->lastAttempt < 4 * kPeriod;
  return recent ? this->refusedNow + this->refusedBefore : 0;
}

TokenThousandths
Demand::Largest() const
{
  return this->largest;
}

bool
Demand::Active(BootTime aNow) const
{
  return this->everAsked && aNow - this->lastAttempt < kIdleAfter;
}

} // namespace plantainhaven
