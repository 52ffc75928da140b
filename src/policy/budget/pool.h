#pragma once

#include "plantainhaven/common/time.h"
#include "plantainhaven/policy/budget/shares.h"

#include <chrono>
#include <memory>

namespace plantainhaven {

// The tokens of a VM's own share of a budget: tokens of a rate, which refill over time, or
// slots, which are released after use. The capacity passed in excludes lent tokens.
class Pool
{
public:
  virtual ~Pool() = default;

  // Sets new limits. A larger capacity adds no tokens to a rate.
  virtual void SetLimits(TokenThousandths aRatePerSecond,
                         TokenThousandths aCapacity,
                         BootTime aNow) = 0;
  // The amount that may be acquired now; negative while the slots in use exceed the
  // capacity.
  virtual TokenThousandths Free(BootTime aNow) = 0;
  virtual void Acquire(TokenThousandths aAmount) = 0;
  virtual void Release(TokenThousandths aAmount) = 0;
  // Removes tokens to lend them; the caller lowers the capacity afterwards.
  virtual void Lend(TokenThousandths aAmount) = 0;
  // Adds tokens that a borrower returned unused, after the caller raised the capacity.
  virtual void Reclaim(TokenThousandths aAmount) = 0;
  // The amount in use; 0 for rates.
  virtual TokenThousandths InUse() const = 0;
  // Time until Free() reaches `aAmount` by refill; the largest value if never.
  virtual std::chrono::nanoseconds RefillTime(TokenThousandths aAmount, BootTime aNow) = 0;
};

// A token bucket that starts empty and refills at the rate of the share up to its
// capacity.
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
  // The fraction that the last refill left over, in millionths of a thousandth of a token.
  std::int64_t remainder = 0;
};

// A limit on concurrent use: a slot may be acquired while fewer than the capacity are in
// use.
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

// Creates the kind of pool that a type of budget needs.
std::unique_ptr<Pool>
MakePool(BudgetId::Type aType, BootTime aStartedAt);

} // namespace plantainhaven
