#pragma once

#include "plantainhaven/policy/budget/ledger.h"

#include "policy/budget/borrowed.h"
#include "policy/budget/demand.h"
#include "policy/budget/lenders.h"
#include "policy/budget/lent.h"
#include "policy/budget/pool.h"
#include "policy/budget/share_history.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <vector>

namespace plantainhaven {

// The state of a ledger. ledger_take.cc applies configurations and acquires and releases
// tokens, ledger_lend.cc handles borrow requests and spent reports of other VMs, and
// ledger_borrow.cc borrows from other VMs.
struct Ledger::Impl
{
  Impl(LedgerId aId, LedgerOptions aOptions, BootTime aStartedAt);

  // --- ledger_take.cc --------------------------------------------------------
  void OnConfiguration(std::uint64_t aRevision,
                       const BudgetSpec& aSpec,
                       const BudgetMembers& aMembers,
                       BootTime aNow);
  void OnAbsent(std::uint64_t aFrom, std::uint64_t aThrough, BootTime aNow);
  void OnView(const BudgetView& aView, BootTime aNow);
  AcquireResult TryAcquire(TokenThousandths aAmount, BootTime aNow, Attempt aAttempt);
  void Acquire(TokenThousandths aAmount);
  void Release(TokenThousandths aAmount, BootTime aNow);
  TokenThousandths Available(BootTime aNow);
  bool MayBecomeAvailable(TokenThousandths aAmount,
                          BootTime aNow,
                          std::chrono::nanoseconds aLongestWait,
                          TokenThousandths aQueuedAhead);
  bool FitsInQueue(TokenThousandths aAmount, std::chrono::nanoseconds aLongestWait) const;
  std::chrono::nanoseconds OwnRefillTime(TokenThousandths aAmount, BootTime aNow);
  std::chrono::nanoseconds RetryAfter(TokenThousandths aAmount, BootTime aNow);
  bool CanBeRemoved(BootTime aNow);
  // Applies everything that has become due by `aNow`. Returns the latest time seen, which
  // never decreases.
  BootTime Refresh(BootTime aNow);
  void SetLimits(BootTime aNow);
  // The longest time after it was sent that a grant may still be in use on any VM.
  std::chrono::nanoseconds MaxGrantLifetime() const;

  // --- ledger_lend.cc --------------------------------------------------------
  std::vector<BudgetMessage> OnMessage(const Envelope& aMessage, BootTime aNow);
  BudgetMessage HandleBorrowRequest(const Envelope& aRequest, BootTime aNow);
  void Lend(const Envelope& aRequest, BorrowAnswer& aResponse, BootTime aNow);
  void Renew(const Envelope& aRequest, BorrowAnswer& aResponse, BootTime aNow);
  TokenThousandths SpareTokens(BootTime aNow);
  void OnReport(const Envelope& aReport, BootTime aNow);

  // --- ledger_borrow.cc ------------------------------------------------------
  std::vector<BudgetMessage> OnTick(BootTime aNow);
  std::vector<BudgetMessage> ReturnGrants(BootTime aNow);
  void OnResponse(const Envelope& aResponse, BootTime aNow);
  // The amount of free tokens that this VM aims to hold now.
  TokenThousandths TargetStock(BootTime aNow) const;
  void BorrowMissing(std::vector<BudgetMessage>& aOut, BootTime aNow);
  void RenewOrReturnGrants(std::vector<BudgetMessage>& aOut, BootTime aNow);
  BudgetMessage NewRenewalRequest(const HeldGrant& aGrant, BootTime aNow);
  void Report(std::vector<BudgetMessage>& aOut, BootTime aNow);
  void PlanNextTick(BootTime aNow);
  BudgetMessage NewBorrowRequest(PendingBorrow aRequest, TokenThousandths aMinimum);
  Envelope NewEnvelope(const std::string& aTo) const;
  void SetBudget(BudgetId* aBudget) const;

  LedgerId id;
  LedgerOptions options;
  bool concurrency;
  // Grants of an earlier process may be in use until this time, so the share is locked.
  BootTime earlierGrantsUntil;
  BudgetSpec spec;
  BudgetMembers members;
  std::uint64_t revision = 0;
  BootTime freshUntil{};

  ShareHistory history;
  Share share;
  std::unique_ptr<Pool> pool;
  LentGrants lent;
  BorrowedGrants borrowed;
  Demand demand;
  Lenders lenders;
  LedgerCounts counts;

  std::uint64_t nextId;
  BootTime latestTime{};
  // The next time at which the share changes or its lock ends.
  BootTime limitsChangeAt{};
  BootTime nextTick{};
  BootTime nextBorrowAt{};
  BootTime nextReportAt{};
  // The latest attempt was refused, so the next tick borrows as soon as it may.
  bool shortOfTokens = false;
};

} // namespace plantainhaven
