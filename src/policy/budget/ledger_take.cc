#include "policy/budget/ledger_impl.h"

#include <algorithm>
#include <utility>

namespace plantainhaven {

namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

constexpr milliseconds kMinRetryAfter{ 10 };
constexpr milliseconds kMaxRetryAfter{ 5000 };
constexpr milliseconds kDefaultRetryAfter{ 100 };
constexpr int kIncarnationBits = 32;

} // namespace

Ledger::Impl::Impl(LedgerId aId, LedgerOptions aOptions, BootTime aStartedAt)
  : id(std::move(aId))
  , options(std::move(aOptions))
  , concurrency(IsConcurrency(this->id.type))
  , earlierGrantsUntil(aStartedAt)
  , history(nanoseconds(0))
  , pool(MakePool(this->id.type, aStartedAt))
  , lenders(this->options.self, this->options.borrowTimeout)
  , nextId((this->options.incarnation << kIncarnationBits) + 1)
{
  this->history.ExtendGrowthDelay(this->options.freshness + this->MaxGrantLifetime());
  this->earlierGrantsUntil = aStartedAt + this->MaxGrantLifetime();
}

nanoseconds
Ledger::Impl::MaxGrantLifetime() const
{
  return this->options.grantValidity + this->options.clockMargin + this->spec.longestUse;
}

void
Ledger::Impl::OnConfiguration(std::uint64_t aRevision,
                              const BudgetSpec& aSpec,
                              const BudgetMembers& aMembers,
                              BootTime aNow)
{
  const BootTime now = this->Refresh(aNow);
  if (aRevision <= this->revision) {
    return;
  }
  this->revision = aRevision;
  const bool sameSplit = this->members == aMembers && this->spec == aSpec;
  if (!sameSplit) {
    // The longest use never decreases, because uses that began under an earlier
    // configuration may still be active.
    const nanoseconds longestUse = std::max(this->spec.longestUse, aSpec.longestUse);
    this->earlierGrantsUntil += longestUse - this->spec.longestUse;
    this->spec = aSpec;
    this->spec.longestUse = longestUse;
    this->history.ExtendGrowthDelay(this->options.freshness + this->MaxGrantLifetime());
  }
  if (!sameSplit) {
    this->members = aMembers;
    this->lenders.SetHolders(aMembers, HoldersOf(aSpec, *aMembers, this->options.floorThousandths));
  }
  this->history.OnShare(
    aRevision, ShareOf(aSpec, *aMembers, this->options.self, this->options.floorThousandths));
  this->SetLimits(now);
}

void
Ledger::Impl::OnAbsent(std::uint64_t aFrom, std::uint64_t aThrough, BootTime aNow)
{
  const BootTime now = this->Refresh(aNow);
  if (aThrough <= this->revision) {
    return;
  }
  this->revision = aThrough;
  this->history.OnAbsent(aFrom, aThrough);
  this->SetLimits(now);
}

void
Ledger::Impl::OnView(const BudgetView& aView, BootTime aNow)
{
  const BootTime now = this->Refresh(aNow);
  this->freshUntil = std::max(this->freshUntil, aView.freshUntil);
  this->history.OnAccepted(aView.acceptedRevision, aView.acceptedAt);
  this->SetLimits(now);
}

BootTime
Ledger::Impl::Refresh(BootTime aNow)
{
  this->latestTime = std::max(this->latestTime, aNow);
  this->counts.expiredGrants += this->borrowed.Expire(this->latestTime, this->spec.longestUse);
  // Each change is applied at the time at which it was due, so that refills don't depend on
  // how often the ledger is called.
  BootTime change = std::min(this->limitsChangeAt, this->lent.NextExpiry());
  while (change <= this->latestTime) {
    this->lent.Expire(change);
    this->SetLimits(change);
    change = std::min(this->limitsChangeAt, this->lent.NextExpiry());
  }
  return this->latestTime;
}

void
Ledger::Impl::SetLimits(BootTime aNow)
{
  this->share = this->history.Current(aNow);
  this->limitsChangeAt = this->history.NextChange(aNow);
  if (aNow < this->earlierGrantsUntil) {
    this->share.capacity = 0;
    this->limitsChangeAt = std::min(this->limitsChangeAt, this->earlierGrantsUntil);
  }
  this->pool->SetLimits(
    this->share.ratePerSecond, this->share.capacity - this->lent.Outstanding(), aNow);
}

AcquireResult
Ledger::Impl::TryAcquire(TokenThousandths aAmount, BootTime aNow, Attempt aAttempt)
{
  const BootTime now = this->Refresh(aNow);
  if (now >= this->freshUntil) {
    return AcquireResult{ AcquireRefusal::kStaleView, kDefaultRetryAfter };
  }
  if (aAttempt == Attempt::kFirst) {
    this->demand.OnAttempt(aAmount, now);
  }
  const TokenThousandths available = this->pool->Free(now) + this->borrowed.Remaining();
  if (available < aAmount) {
    if (aAttempt == Attempt::kFirst) {
      this->demand.OnRefused(aAmount, now);
    }
    this->shortOfTokens = true;
    this->nextTick = std::min(this->nextTick, std::max(now, this->nextBorrowAt));
    return AcquireResult{ AcquireRefusal::kEmpty, this->RetryAfter(aAmount, now) };
  }
  this->Acquire(aAmount);
  this->demand.OnAcquired(aAmount, aAttempt == Attempt::kRetry);
  const bool nearEmpty = available - aAmount < aAmount;
  if (nearEmpty || this->nextTick > now + Demand::kPeriod) {
    this->nextTick = std::min(this->nextTick, now + Demand::kPeriod / 10);
  }
  return AcquireResult{};
}

void
Ledger::Impl::Acquire(TokenThousandths aAmount)
{
  if (this->concurrency) {
    this->pool->Acquire(aAmount);
    return;
  }
  const TokenThousandths fromGrants = std::min(this->borrowed.Remaining(), aAmount);
  this->borrowed.Spend(fromGrants);
  this->pool->Acquire(aAmount - fromGrants);
}

void
Ledger::Impl::Release(TokenThousandths aAmount, BootTime aNow)
{
  this->Refresh(aNow);
  this->pool->Release(aAmount);
}

TokenThousandths
Ledger::Impl::Available(BootTime aNow)
{
  const BootTime now = this->Refresh(aNow);
  return this->pool->Free(now) + this->borrowed.Remaining();
}

nanoseconds
Ledger::Impl::OwnRefillTime(TokenThousandths aAmount, BootTime aNow)
{
  const BootTime now = this->Refresh(aNow);
  const TokenThousandths missing = aAmount - this->borrowed.Remaining();
  return missing <= 0 ? nanoseconds(0) : this->pool->RefillTime(missing, now);
}

bool
Ledger::Impl::MayBecomeAvailable(TokenThousandths aAmount,
                                 BootTime aNow,
                                 nanoseconds aLongestWait,
                                 TokenThousandths aQueuedAhead)
{
  if (this->OwnRefillTime(aAmount + aQueuedAhead, aNow) <= aLongestWait) {
    return true;
  }
  if (aQueuedAhead > 0 && !this->FitsInQueue(aAmount + aQueuedAhead, aLongestWait)) {
    return false;
  }
  if (this->concurrency && this->pool->InUse() > 0) {
    return true;
  }
  return this->lenders.AnyMayLend(this->latestTime, this->latestTime + aLongestWait / 2);
}

bool
Ledger::Impl::FitsInQueue(TokenThousandths aAmount, nanoseconds aLongestWait) const
{
  if (!this->lenders.HomeIsShort()) {
    return aAmount <= this->spec.capacity;
  }
  // Each slot in use on this VM will be released, even when none has been so far.
  const TokenThousandths released = this->concurrency ? this->pool->InUse() : 0;
  return aAmount <= std::max(released, this->demand.Served(aLongestWait));
}

nanoseconds
Ledger::Impl::RetryAfter(TokenThousandths aAmount, BootTime /*aNow*/)
{
  if (this->concurrency || this->spec.ratePerSecond <= 0) {
    return kDefaultRetryAfter;
  }
  // At its rate limit, a budget admits one request per amount / rate. All callers on this VM
  // share that rate, so the wait grows with the ratio of their demand to the rate.
  const double rate = static_cast<double>(this->spec.ratePerSecond);
  const double demanded = static_cast<double>(this->demand.Expected(std::chrono::seconds(1)));
  const double excess = std::max(1.0, demanded / rate);
  const std::chrono::duration<double> wait(static_cast<double>(aAmount) / rate * excess);
  if (wait > kMaxRetryAfter) {
    return kMaxRetryAfter;
  }
  return std::max<nanoseconds>(std::chrono::duration_cast<nanoseconds>(wait), kMinRetryAfter);
}

bool
Ledger::Impl::CanBeRemoved(BootTime aNow)
{
  const BootTime now = this->Refresh(aNow);
  return this->history.IsAbsentEverywhere(now) && this->pool->InUse() == 0;
}

} // namespace plantainhaven
