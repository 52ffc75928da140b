#include "policy/budget/ledger_impl.h"

#include <algorithm>
#include <utility>

namespace plantainhaven {

namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

constexpr milliseconds kShortestRetryAfter{ 10 };
constexpr milliseconds kLongestRetryAfter{ 5000 };
constexpr milliseconds kRetryAfterForSlots{ 100 };
constexpr int kIncarnationBits = 32;

} // namespace

Ledger::Impl::Impl(LedgerId aId, LedgerOptions aOptions, BootTime aStartedAt)
  : id(std::move(aId))
  , options(std::move(aOptions))
  , concurrency(IsConcurrency(this->id.type))
  , lentBefore(aStartedAt)
  , history(nanoseconds(0))
  , pool(MakePool(this->id.type, aStartedAt))
  , lenders(this->options.self, this->options.borrowTimeout)
  , nextId((this->options.incarnation << kIncarnationBits) + 1)
{
  this->history.ProlongGrowthWait(this->options.freshness + this->LongestGrant());
  this->lentBefore = aStartedAt + this->LongestGrant();
}

nanoseconds
Ledger::Impl::LongestGrant() const
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
    // The longest use only grows: uses begun under an earlier limit may still run.
    const nanoseconds longestUse = std::max(this->spec.longestUse, aSpec.longestUse);
    this->lentBefore += longestUse - this->spec.longestUse;
    this->spec = aSpec;
    this->spec.longestUse = longestUse;
    this->history.ProlongGrowthWait(this->options.freshness + this->LongestGrant());
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
  this->latest = std::max(this->latest, aNow);
  this->counts.expiredGrants += this->borrowed.Expire(this->latest, this->spec.longestUse);
  // Each change counts from its own moment, so that refills don't depend on how often
  // the ledger is used.
  BootTime change = std::min(this->limitsChangeAt, this->lent.NextLapse());
  while (change <= this->latest) {
    this->lent.Expire(change);
    this->SetLimits(change);
    change = std::min(this->limitsChangeAt, this->lent.NextLapse());
  }
  return this->latest;
}

void
Ledger::Impl::SetLimits(BootTime aNow)
{
  this->share = this->history.Current(aNow);
  this->limitsChangeAt = this->history.NextChange(aNow);
  if (aNow < this->lentBefore) {
    this->share.capacity = 0;
    this->limitsChangeAt = std::min(this->limitsChangeAt, this->lentBefore);
  }
  this->pool->SetLimits(
    this->share.ratePerSecond, this->share.capacity - this->lent.Outstanding(), aNow);
}

AcquireResult
Ledger::Impl::TryAcquire(TokenThousandths aAmount, BootTime aNow, Attempt aAttempt)
{
  const BootTime now = this->Refresh(aNow);
  if (now >= this->freshUntil) {
    return AcquireResult{ AcquireRefusal::kStaleView, kRetryAfterForSlots };
  }
  if (aAttempt == Attempt::kFirst) {
    this->demand.OnAttempt(aAmount, now);
  }
  const TokenThousandths available = this->pool->Free(now) + this->borrowed.Left();
  if (available < aAmount) {
    if (aAttempt == Attempt::kFirst) {
      this->demand.OnRefused(aAmount, now);
    }
    this->shortOfTokens = true;
    this->nextTick = std::min(this->nextTick, std::max(now, this->nextAskAt));
    return AcquireResult{ AcquireRefusal::kEmpty, this->RetryAfter(aAmount, now) };
  }
  this->TakeNow(aAmount);
  this->demand.OnTaken(aAmount, aAttempt == Attempt::kRetry);
  const bool nearEmpty = available - aAmount < aAmount;
  if (nearEmpty || this->nextTick > now + Demand::kPeriod) {
    this->nextTick = std::min(this->nextTick, now + Demand::kPeriod / 10);
  }
  return AcquireResult{};
}

void
Ledger::Impl::TakeNow(TokenThousandths aAmount)
{
  if (this->concurrency) {
    this->pool->Take(aAmount);
    return;
  }
  const TokenThousandths fromGrants = std::min(this->borrowed.Left(), aAmount);
  this->borrowed.Spend(fromGrants);
  this->pool->Take(aAmount - fromGrants);
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
  return this->pool->Free(now) + this->borrowed.Left();
}

nanoseconds
Ledger::Impl::OwnRefillTime(TokenThousandths aAmount, BootTime aNow)
{
  const BootTime now = this->Refresh(aNow);
  const TokenThousandths missing = aAmount - this->borrowed.Left();
  return missing <= 0 ? nanoseconds(0) : this->pool->RefillTime(missing, now);
}

bool
Ledger::Impl::MayBecomeAvailable(TokenThousandths aAmount,
                                 BootTime aNow,
                                 nanoseconds aLongestWait,
                                 TokenThousandths aAhead)
{
  if (this->OwnRefillTime(aAmount + aAhead, aNow) <= aLongestWait) {
    return true;
  }
  if (aAhead > 0 && !this->FitsInQueue(aAmount + aAhead, aLongestWait)) {
    return false;
  }
  if (this->concurrency && this->pool->InUse() > 0) {
    return true;
  }
  return this->lenders.Promising(this->latest, this->latest + aLongestWait / 2);
}

bool
Ledger::Impl::FitsInQueue(TokenThousandths aAmount, nanoseconds aLongestWait) const
{
  if (!this->lenders.KnownShort()) {
    return aAmount <= this->spec.capacity;
  }
  // Each slot in use here comes free again, also when none has been served so far.
  const TokenThousandths released = this->concurrency ? this->pool->InUse() : 0;
  return aAmount <= std::max(released, this->demand.Served(aLongestWait));
}

nanoseconds
Ledger::Impl::RetryAfter(TokenThousandths aAmount, BootTime /*aNow*/)
{
  if (this->concurrency || this->spec.ratePerSecond <= 0) {
    return kRetryAfterForSlots;
  }
  // An account over its rate gets one token in amount / rate; its callers here share it.
  const double rate = static_cast<double>(this->spec.ratePerSecond);
  const double demanded = static_cast<double>(this->demand.Expected(std::chrono::seconds(1)));
  const double excess = std::max(1.0, demanded / rate);
  const std::chrono::duration<double> wait(static_cast<double>(aAmount) / rate * excess);
  if (wait > kLongestRetryAfter) {
    return kLongestRetryAfter;
  }
  return std::max<nanoseconds>(std::chrono::duration_cast<nanoseconds>(wait), kShortestRetryAfter);
}

bool
Ledger::Impl::CanBeRemoved(BootTime aNow)
{
  const BootTime now = this->Refresh(aNow);
  return this->history.Forgotten(now) && this->pool->InUse() == 0;
}

} // namespace plantainhaven
