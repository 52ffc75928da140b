#include "policy/budget/ledger_impl.h"

#include <algorithm>

namespace plantainhaven {

std::vector<BudgetMessage>
Ledger::Impl::OnMessage(const Envelope& aMessage, BootTime aNow)
{
  const BootTime now = this->Refresh(aNow);
  std::vector<BudgetMessage> out;
  if (aMessage.to() != this->options.self) {
    return out;
  }
  if (aMessage.has_borrow_ask()) {
    out.push_back(this->HandleBorrowRequest(aMessage, now));
  } else if (aMessage.has_borrow_answer()) {
    this->OnResponse(aMessage, now);
  } else if (aMessage.has_spent_report()) {
    this->OnReport(aMessage, now);
  }
  return out;
}

BudgetMessage
Ledger::Impl::HandleBorrowRequest(const Envelope& aRequest, BootTime aNow)
{
  Envelope response = this->NewEnvelope(aRequest.from());
  response.set_ask_id(aRequest.ask_id());
  BorrowAnswer& body = *response.mutable_borrow_answer();
  this->SetBudget(body.mutable_budget());
  const bool mayLend =
    aNow < this->freshUntil && !this->lent.HasGrantFor(aRequest.from(), aRequest.ask_id());
  if (mayLend && aRequest.borrow_ask().renewed_grant_id() != 0) {
    this->Renew(aRequest, body, aNow);
  } else if (mayLend) {
    this->Lend(aRequest, body, aNow);
  }
  if (body.amount() > 0) {
    ++this->counts.grantsGiven;
  } else {
    ++this->counts.grantsRefused;
  }
  return BudgetMessage{ aRequest.reply_to(), std::move(response) };
}

void
Ledger::Impl::Lend(const Envelope& aRequest, BorrowAnswer& aResponse, BootTime aNow)
{
  const BorrowAsk& request = aRequest.borrow_ask();
  TokenThousandths amount = std::min<TokenThousandths>(request.amount(), this->SpareTokens(aNow));
  if (this->concurrency) {
    amount -= amount % kOneToken;
  }
  if (amount <= 0 || amount < request.least()) {
    return;
  }
  const std::uint64_t grant = this->nextId++;
  this->lent.Add(
    grant, aRequest.from(), aRequest.ask_id(), amount, aNow + this->MaxGrantLifetime());
  this->pool->Lend(amount);
  this->SetLimits(aNow);
  aResponse.set_grant_id(grant);
  aResponse.set_amount(amount);
  aResponse.set_valid_for_us(
    std::chrono::duration_cast<std::chrono::microseconds>(this->options.grantValidity).count());
}

void
Ledger::Impl::Renew(const Envelope& aRequest, BorrowAnswer& aResponse, BootTime aNow)
{
  // When the share has shrunk below what is lent and in use, grants must expire.
  const TokenThousandths committed = this->lent.Outstanding() + this->pool->InUse();
  const bool fits = committed <= this->share.capacity;
  const bool neededHere = this->demand.Backlog(aNow) > 0;
  if (!this->concurrency || !fits || neededHere) {
    return;
  }
  const std::uint64_t grant = aRequest.borrow_ask().renewed_grant_id();
  const TokenThousandths amount =
    this->lent.Renew(grant, aRequest.from(), aNow + this->MaxGrantLifetime());
  if (amount <= 0) {
    return;
  }
  aResponse.set_grant_id(grant);
  aResponse.set_amount(amount);
  aResponse.set_valid_for_us(
    std::chrono::duration_cast<std::chrono::microseconds>(this->options.grantValidity).count());
}

TokenThousandths
Ledger::Impl::SpareTokens(BootTime aNow)
{
  const TokenThousandths free = this->pool->Free(aNow);
  const TokenThousandths target = this->TargetStock(aNow);
  // The home VM holds tokens for all members and keeps at most half of them for itself.
  const TokenThousandths kept = this->lenders.IsHome() ? std::min(target, free / 2) : target;
  return std::max<TokenThousandths>(free - kept, 0);
}

void
Ledger::Impl::OnReport(const Envelope& aReport, BootTime aNow)
{
  const SpentReport& report = aReport.spent_report();
  const TokenThousandths gained =
    this->lent.RecordUsage(report.grant_id(), aReport.from(), report.spent(), report.returned());
  this->SetLimits(aNow);
  this->pool->Reclaim(gained);
}

} // namespace plantainhaven
