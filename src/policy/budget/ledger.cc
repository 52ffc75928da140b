#include "plantainhaven/policy/budget/ledger.h"

#include "policy/budget/ledger_impl.h"

#include <utility>

namespace plantainhaven {

const char*
ToString(AcquireRefusal aRefusal) noexcept
{
  switch (aRefusal) {
    case AcquireRefusal::kNone:
      return "none";
    case AcquireRefusal::kEmpty:
      return "budget_empty";
    case AcquireRefusal::kStaleView:
      return "stale_view";
    case AcquireRefusal::kUnknownBudget:
      return "unknown_budget";
  }
  return "none";
}

Ledger::Ledger(LedgerId aId, LedgerOptions aOptions, BootTime aStartedAt)
  : impl(std::make_unique<Impl>(std::move(aId), std::move(aOptions), aStartedAt))
{
}

Ledger::~Ledger() = default;
Ledger::Ledger(Ledger&&) noexcept = default;
Ledger&
Ledger::operator=(Ledger&&) noexcept = default;

void
Ledger::OnConfiguration(std::uint64_t aRevision,
                        const BudgetSpec& aSpec,
                        const BudgetMembers& aMembers,
                        BootTime aNow)
{
  this->impl->OnConfiguration(aRevision, aSpec, aMembers, aNow);
}

void
Ledger::OnAbsent(std::uint64_t aFrom, std::uint64_t aThrough, BootTime aNow)
{
  this->impl->OnAbsent(aFrom, aThrough, aNow);
}

void
Ledger::OnView(const BudgetView& aView, BootTime aNow)
{
  this->impl->OnView(aView, aNow);
}

AcquireResult
Ledger::TryAcquire(TokenThousandths aAmount, BootTime aNow, Attempt aAttempt)
{
  return this->impl->TryAcquire(aAmount, aNow, aAttempt);
}

bool
Ledger::MayBecomeAvailable(TokenThousandths aAmount,
                           BootTime aNow,
                           std::chrono::nanoseconds aLongestWait,
                           TokenThousandths aQueuedAhead) const
{
  return this->impl->MayBecomeAvailable(aAmount, aNow, aLongestWait, aQueuedAhead);
}

std::chrono::nanoseconds
Ledger::OwnRefillTime(TokenThousandths aAmount, BootTime aNow) const
{
  return this->impl->OwnRefillTime(aAmount, aNow);
}

void
Ledger::Release(TokenThousandths aAmount, BootTime aNow)
{
  this->impl->Release(aAmount, aNow);
}

std::vector<BudgetMessage>
Ledger::OnMessage(const Envelope& aMessage, BootTime aNow)
{
  return this->impl->OnMessage(aMessage, aNow);
}

std::vector<BudgetMessage>
Ledger::ReturnGrants(BootTime aNow)
{
  return this->impl->ReturnGrants(aNow);
}

std::vector<BudgetMessage>
Ledger::OnTick(BootTime aNow)
{
  return this->impl->OnTick(aNow);
}

BootTime
Ledger::NextTick() const
{
  return this->impl->nextTick;
}

bool
Ledger::CanBeRemoved(BootTime aNow) const
{
  return this->impl->CanBeRemoved(aNow);
}

TokenThousandths
Ledger::Available(BootTime aNow) const
{
  return this->impl->Available(aNow);
}

TokenThousandths
Ledger::InUse() const
{
  return this->impl->pool->InUse();
}

bool
Ledger::Settled(BootTime aNow) const
{
  return aNow >= this->impl->earlierGrantsUntil && this->impl->history.Settled(aNow);
}

Share
Ledger::CurrentShare(BootTime aNow) const
{
  return this->impl->history.Current(aNow);
}

const LedgerCounts&
Ledger::Counts() const
{
  return this->impl->counts;
}

} // namespace plantainhaven
