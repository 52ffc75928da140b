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
    out.push_back(this->AnswerAsk(aMessage, now));
  } else if (aMessage.has_borrow_answer()) {
    this->OnAnswer(aMessage, now);
  } else if (aMessage.has_spent_report()) {
    this->OnReport(aMessage, now);
  }
  return out;
}

BudgetMessage
Ledger::Impl::AnswerAsk(const Envelope& aAsk, BootTime aNow)
{
  Envelope answer = this->NewEnvelope(aAsk.from());
  answer.set_ask_id(aAsk.ask_id());
  BorrowAnswer& body = *answer.mutable_borrow_answer();
  this->SetBudget(body.mutable_budget());
  const bool mayLend = aNow < this->freshUntil && !this->lent.Answered(aAsk.from(), aAsk.ask_id());
  if (mayLend && aAsk.borrow_ask().renewed_grant_id() != 0) {
    this->Renew(aAsk, body, aNow);
  } else if (mayLend) {
    this->Lend(aAsk, body, aNow);
  }
  if (body.amount() > 0) {
    ++this->counts.grantsGiven;
  } else {
    ++this->counts.grantsRefused;
  }
  return BudgetMessage{ aAsk.reply_to(), std::move(answer) };
}

void
Ledger::Impl::Lend(const Envelope& aAsk, BorrowAnswer& aAnswer, BootTime aNow)
{
  const BorrowAsk& ask = aAsk.borrow_ask();
  TokenThousandths amount = std::min<TokenThousandths>(ask.amount(), this->Spare(aNow));
  if (this->concurrency) {
    amount -= amount % kOneToken;
  }
  if (amount <= 0 || amount < ask.least()) {
    return;
  }
  const std::uint64_t grant = this->nextId++;
  this->lent.Add(grant, aAsk.from(), aAsk.ask_id(), amount, aNow + this->LongestGrant());
  this->pool->Lend(amount);
  this->SetLimits(aNow);
  aAnswer.set_grant_id(grant);
  aAnswer.set_amount(amount);
  aAnswer.set_valid_for_us(
    std::chrono::duration_cast<std::chrono::microseconds>(this->options.grantValidity).count());
}

void
Ledger::Impl::Renew(const Envelope& aAsk, BorrowAnswer& aAnswer, BootTime aNow)
{
  // After the share shrank, what is lent beyond it has to lapse.
  const TokenThousandths committed = this->lent.Outstanding() + this->pool->InUse();
  const bool fits = committed <= this->share.capacity;
  const bool neededHere = this->demand.Backlog(aNow) > 0;
  if (!this->concurrency || !fits || neededHere) {
    return;
  }
  const std::uint64_t grant = aAsk.borrow_ask().renewed_grant_id();
  const TokenThousandths amount = this->lent.Renew(grant, aAsk.from(), aNow + this->LongestGrant());
  if (amount <= 0) {
    return;
  }
  aAnswer.set_grant_id(grant);
  aAnswer.set_amount(amount);
  aAnswer.set_valid_for_us(
    std::chrono::duration_cast<std::chrono::microseconds>(this->options.grantValidity).count());
}

TokenThousandths
Ledger::Impl::Spare(BootTime aNow)
{
  const TokenThousandths free = this->pool->Free(aNow);
  const TokenThousandths target = this->Target(aNow);
  // The home VM holds the pool for everybody and keeps at most half for itself.
  const TokenThousandths kept = this->lenders.IsHome() ? std::min(target, free / 2) : target;
  return std::max<TokenThousandths>(free - kept, 0);
}

void
Ledger::Impl::OnReport(const Envelope& aReport, BootTime aNow)
{
  const SpentReport& report = aReport.spent_report();
  const TokenThousandths gained =
    this->lent.Account(report.grant_id(), aReport.from(), report.spent(), report.returned());
  this->SetLimits(aNow);
  this->pool->TakeBack(gained);
}

} // namespace plantainhaven
