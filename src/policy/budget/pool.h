#pragma once

#include "plantainhaven/common/time.h"
#include "plantainhaven/policy/budget/shares.h"

#include <chrono>
#include <memory>

namespace plantainhaven {

// What a VM may give out of its own share of a budget: tokens that refill, or slots that
// are released. The capacity given to it excludes what is lent.
class Pool
{
public:
  virtual ~Pool() = default;

  // New limits. More capacity never brings tokens with it.
  virtual void SetLimits(TokenThousandths aRatePerSecond,
                         TokenThousandths aCapacity,
                         BootTime aNow) = 0;
  // What may be taken from the pool now; negative while slots in use exceed the capacity.
  virtual TokenThousandths Free(BootTime aNow) = 0;
  virtual void Acquire(TokenThousandths aAmount) = 0;
  virtual void Release(TokenThousandths aAmount) = 0;
  // Lends; the caller lowers the capacity afterwards.
  virtual void Lend(TokenThousandths aAmount) = 0;
  // Takes back what a borrower returned unused, after the caller raised the capacity.
  virtual void Reclaim(TokenThousandths aAmount) = 0;
  // What is in use; 0 for rates.
  virtual TokenThousandths InUse() const = 0;
  // Time until the pool alone would hold `aAmount`; the largest value if never.
  virtual std::chrono::nanoseconds RefillTime(TokenThousandths aAmount, BootTime aNow) = 0;
};

// A bucket that begins empty and refills at the share's rate up to its capacity.
class TokenBucket : public Pool
{
public:
  explicit TokenBucket(BootTime aStartedAt);

  void SetLimits(TokenThousandths aRatePerSecond,
                 TokenThousandths aCapacity,
                 BootTime aNow) override;
  TokenThousandths Free(BootTime aNow) override;
  void Acquire(TokenThousandths aAmount) override;
  void Release(TokenThousandths aAmount) override;
  void Lend(TokenThousandths aAmount) override;
  void Reclaim(TokenThousandths aAmount) override;
  TokenThousandths InUse() const override;
  std::chrono::nanoseconds RefillTime(TokenThousandths aAmount, BootTime aNow) override;

private:
  void Refill(BootTime aNow);

  TokenThousandths rate = 0;
  TokenThousandths capacity = 0;
  TokenThousandths level = 0;
  BootTime refilledAt;
  // Millionths of a thousandth that the last refill couldn't add yet.
  std::int64_t remainder = 0;
};

// Slots, of which at most the capacity may be in use when a new one is taken.
class SlotPool : public Pool
{
public:
  void SetLimits(TokenThousandths aRatePerSecond,
                 TokenThousandths aCapacity,
                 BootTime aNow) override;
  TokenThousandths Free(BootTime aNow) override;
  void Acquire(TokenThousandths aAmount) override;
  void Release(TokenThousandths aAmount) override;
  void Lend(TokenThousandths aAmount) override;
  void Reclaim(TokenThousandths aAmount) override;
  TokenThousandths InUse() const override;
  std::chrono::nanoseconds RefillTime(TokenThousandths aAmount, BootTime aNow) override;

private:
  TokenThousandths capacity = 0;
  TokenThousandths used = 0;
};

// The pool that fits a type of budget.
std::unique_ptr<Pool>
MakePool(BudgetId::Type aType, BootTime aStartedAt);

} // namespace plantainhaven
