#include "policy/budget/pool.h"

#include <algorithm>

namespace plantainhaven {

namespace {

using std::chrono::microseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;

constexpr std::int64_t kMicrosecondsPerSecond = 1'000'000;
// Longer intervals are truncated to this, so that the products fit into 64 bits.
constexpr seconds kLongestRefill{ 100'000 };

} // namespace

TokenBucket::TokenBucket(BootTime aStartedAt)
  : refilledAt(aStartedAt)
{
}

void
TokenBucket::Refill(BootTime aNow)
{
  if (aNow <= this->refilledAt) {
    return;
  }
  const nanoseconds elapsed = std::min<nanoseconds>(aNow - this->refilledAt, kLongestRefill);
  const auto wholeSeconds = std::chrono::duration_cast<seconds>(elapsed);
  const auto rest = std::chrono::duration_cast<microseconds>(elapsed - wholeSeconds);
  const std::int64_t millionths = rest.count() * this->rate + this->remainder;
  const TokenThousandths gained =
    wholeSeconds.count() * this->rate + millionths / kMicrosecondsPerSecond;
  this->remainder = millionths % kMicrosecondsPerSecond;
  this->refilledAt = elapsed == kLongestRefill ? aNow : this->refilledAt + wholeSeconds + rest;
  this->level += gained;
  if (this->level >= this->capacity) {
    this->level = this->capacity;
    this->remainder = 0;
  }
}

void
TokenBucket::SetLimits(TokenThousandths aRatePerSecond, TokenThousandths aCapacity, BootTime aNow)
{
  this->Refill(aNow);
  this->rate = aRatePerSecond;
  this->capacity = std::max<TokenThousandths>(aCapacity, 0);
  this->level = std::min(this->level, this->capacity);
}

TokenThousandths
TokenBucket::Free(BootTime aNow)
{
  this->Refill(aNow);
  return this->level;
}

void
TokenBucket::Acquire(TokenThousandths aAmount)
{
  this->level -= aAmount;
}

void
TokenBucket::Release(TokenThousandths /*aAmount*/)
{
}

void
TokenBucket::Lend(TokenThousandths aAmount)
{
  this->level -= aAmount;
}

void
TokenBucket::Reclaim(TokenThousandths aAmount)
{
  this->level = std::min(this->level + aAmount, this->capacity);
}

TokenThousandths
TokenBucket::InUse() const
{
  return 0;
}

nanoseconds
TokenBucket::RefillTime(TokenThousandths aAmount, BootTime aNow)
{
  this->Refill(aNow);
  if (aAmount <= this->level) {
    return nanoseconds(0);
  }
  if (aAmount > this->capacity || this->rate <= 0) {
    return nanoseconds::max();
  }
  const double missing = static_cast<double>(aAmount - this->level);
  const std::chrono::duration<double> wait(missing / static_cast<double>(this->rate));
  return std::chrono::duration_cast<nanoseconds>(wait) + microseconds(1);
}

void
SlotPool::SetLimits(TokenThousandths /*aRatePerSecond*/,
                    TokenThousandths aCapacity,
                    BootTime /*aNow*/)
{
  this->capacity = std::max<TokenThousandths>(aCapacity, 0);
}

TokenThousandths
SlotPool::Free(BootTime /*aNow*/)
{
  return this->capacity - this->used;
}

void
SlotPool::Acquire(TokenThousandths aAmount)
{
  this->used += aAmount;
}

void
SlotPool::Release(TokenThousandths aAmount)
{
  this->used = std::max<TokenThousandths>(this->used - aAmount, 0);
}

void
SlotPool::Lend(TokenThousandths /*aAmount*/)
{
}

void
SlotPool::Reclaim(TokenThousandths /*aAmount*/)
{
}

TokenThousandths
SlotPool::InUse() const
{
  return this->used;
}

nanoseconds
SlotPool::RefillTime(TokenThousandths aAmount, BootTime aNow)
{
  return aAmount <= this->Free(aNow) ? nanoseconds(0) : nanoseconds::max();
}

std::unique_ptr<Pool>
MakePool(BudgetId::Type aType, BootTime aStartedAt)
{
  if (IsConcurrency(aType)) {
    return std::make_unique<SlotPool>();
  }
  return std::make_unique<TokenBucket>(aStartedAt);
}

} // namespace plantainhaven
