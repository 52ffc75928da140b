#include "policy/budget/demand.h"

#include <algorithm>

namespace plantainhaven {

namespace {

// Moves an average per second towards what the latest `aElapsed` brought.
void
Smooth(double& aPerSecond, TokenThousandths aLatest, std::chrono::nanoseconds aElapsed)
{
  const double seconds = std::chrono::duration<double>(aElapsed).count();
  const double average = std::chrono::duration<double>(Demand::kAverageOver).count();
  const double latest = static_cast<double>(aLatest) / seconds;
  aPerSecond += (latest - aPerSecond) * seconds / (seconds + average);
}

TokenThousandths
In(double aPerSecond, std::chrono::nanoseconds aPeriod)
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
Demand::OnTaken(TokenThousandths aAmount, bool aRepeated)
{
  this->taken += aAmount;
  if (!aRepeated) {
    return;
  }
  const TokenThousandths recent = std::min(this->refusedNow, aAmount);
  this->refusedNow -= recent;
  this->refusedBefore -= std::min(this->refusedBefore, aAmount - recent);
}

void
Demand::Update(BootTime aNow)
{
  const std::chrono::nanoseconds elapsed = aNow - this->updatedAt;
  if (elapsed < kPeriod) {
    return;
  }
  Smooth(this->perSecond, this->attempted, elapsed);
  Smooth(this->takenPerSecond, this->taken, elapsed);
  this->attempted = 0;
  this->taken = 0;
  this->refusedBefore = this->refusedNow;
  this->refusedNow = 0;
  this->updatedAt = aNow;
}

TokenThousandths
Demand::Expected(std::chrono::nanoseconds aPeriod) const
{
  return In(this->perSecond, aPeriod);
}

TokenThousandths
Demand::Served(std::chrono::nanoseconds aPeriod) const
{
  return In(this->takenPerSecond, aPeriod);
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
