#include "policy/budget/ledger_impl.h"

#include <algorithm>
#include <utility>

namespace plantainhaven {

namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t kProtocolVersion = 1;
// Unused tokens go back this long before they lapse, so that they arrive in time.
constexpr milliseconds kReturnAhead{ 300 };
// A grant younger than this is kept even when it isn't needed now.
constexpr milliseconds kKeepAtLeast{ 100 };
constexpr milliseconds kIdleTick{ 1000 };
// A VM in use holds at least one request in stock when the budget has this many times
// the members' number of them.
constexpr std::int64_t kStockPerMember = 4;
constexpr std::int64_t kFreeSlotsFraction = 8;

} // namespace

void
Ledger::Impl::SetBudget(BudgetId* aBudget) const
{
  aBudget->set_type(this->id.type);
  aBudget->set_name(this->id.name);
}

Envelope
Ledger::Impl::NewEnvelope(const std::string& aTo) const
{
  Envelope envelope;
  envelope.set_version(kProtocolVersion);
  envelope.set_from(this->options.self);
  envelope.set_from_incarnation(this->options.incarnation);
  envelope.set_to(aTo);
  envelope.set_reply_to(this->options.endpoint);
  return envelope;
}

TokenThousandths
Ledger::Impl::Target(BootTime aNow) const
{
  if (!this->members || !(this->demand.Active(aNow) || this->pool->InUse() > 0)) {
    return 0;
  }
  const auto membersCount = static_cast<std::int64_t>(this->members->size());
  const TokenThousandths largest = this->demand.Largest();
  const bool plenty = this->spec.capacity >= kStockPerMember * membersCount * largest;
  TokenThousandths stock = plenty ? largest : 0;
  if (this->concurrency) {
    stock = std::max(stock, this->pool->InUse() / kFreeSlotsFraction);
  } else {
    stock = std::max(stock, this->demand.Expected(this->options.lookahead));
  }
  const TokenThousandths target = stock + this->demand.Backlog(aNow);
  const TokenThousandths rounded = target - target % kOneToken;
  return std::min(rounded, this->spec.capacity);
}

std::vector<BudgetMessage>
Ledger::Impl::OnTick(BootTime aNow)
{
  const BootTime now = this->Refresh(aNow);
  std::vector<BudgetMessage> out;
  this->demand.Update(now);
  this->lenders.Expire(now, this->options.grantValidity);
  this->KeepOrReturn(out, now);
  this->AskForMore(out, now);
  this->Report(out, now);
  this->PlanNextTick(now);
  return out;
}

void
Ledger::Impl::AskForMore(std::vector<BudgetMessage>& aOut, BootTime aNow)
{
  if (aNow < this->nextAskAt || aNow >= this->freshUntil) {
    return;
  }
  const TokenThousandths target = this->Target(aNow);
  const TokenThousandths atHand = this->pool->Free(aNow) + this->borrowed.Left();
  const TokenThousandths threshold = this->concurrency ? target : (target + 1) / 2;
  const TokenThousandths missing = target - atHand - this->lenders.Expected(aNow);
  if (atHand >= threshold || missing <= 0) {
    this->shortOfTokens = false;
    return;
  }
  const std::vector<const BudgetMember*> lendersNow = this->lenders.Choose(aNow);
  const TokenThousandths toOneToken =
    std::clamp<TokenThousandths>(this->demand.Largest() - atHand, 1, missing);
  for (const BudgetMember* lender : lendersNow) {
    PendingAsk ask;
    ask.lender = lender->name;
    ask.endpoint = lender->endpoint;
    ask.amount = missing;
    ask.askedAt = aNow;
    aOut.push_back(this->Ask(std::move(ask), toOneToken));
  }
  this->nextAskAt = aNow + this->options.borrowInterval;
}

BudgetMessage
Ledger::Impl::Ask(PendingAsk aAsk, TokenThousandths aLeast)
{
  aAsk.id = this->nextId++;
  Envelope envelope = this->NewEnvelope(aAsk.lender);
  envelope.set_ask_id(aAsk.id);
  BorrowAsk& body = *envelope.mutable_borrow_ask();
  this->SetBudget(body.mutable_budget());
  body.set_amount(aAsk.amount);
  body.set_least(aLeast);
  body.set_renewed_grant_id(aAsk.renewedGrant);
  body.set_configuration_revision(this->revision);
  ++this->counts.borrowRequests;
  this->lenders.OnAsked(aAsk);
  return BudgetMessage{ aAsk.endpoint, std::move(envelope) };
}

void
Ledger::Impl::OnAnswer(const Envelope& aAnswer, BootTime aNow)
{
  const BorrowAnswer& body = aAnswer.borrow_answer();
  const std::optional<PendingAsk> ask =
    this->lenders.OnAnswer(aAnswer.ask_id(), aAnswer.from(), body.amount(), aNow);
  this->nextTick = std::min(this->nextTick, std::max(aNow, this->nextAskAt));
  if (!ask || body.amount() <= 0) {
    return;
  }
  const std::chrono::microseconds validity(body.valid_for_us());
  const BootTime expires = ask->askedAt + validity;
  if (expires <= aNow) {
    return;
  }
  if (ask->renewedGrant != 0) {
    this->borrowed.Renew(ask->renewedGrant, ask->lender, expires);
    return;
  }
  HeldGrant grant;
  grant.id = body.grant_id();
  grant.lender = ask->lender;
  grant.endpoint = ask->endpoint;
  grant.amount = body.amount();
  grant.expires = expires;
  this->borrowed.Add(grant);
  ++this->counts.grantsReceived;
}

void
Ledger::Impl::KeepOrReturn(std::vector<BudgetMessage>& aOut, BootTime aNow)
{
  TokenThousandths free = this->pool->Free(aNow) + this->borrowed.Left();
  if (this->concurrency && free >= 0) {
    this->borrowed.ReturnLapsed();
  }
  const TokenThousandths target = this->Target(aNow);
  const std::vector<HeldGrant> held = this->borrowed.Held();
  for (const HeldGrant& grant : held) {
    const std::chrono::nanoseconds remaining = grant.expires - aNow;
    if (grant.Left() <= 0 || remaining > this->options.grantValidity - kKeepAtLeast) {
      continue;
    }
    const bool aboutToLapse = !this->concurrency && remaining <= kReturnAhead;
    if (aboutToLapse || free - grant.Left() >= target) {
      free -= grant.Left();
      this->borrowed.Return(grant.id, grant.lender);
    } else if (this->concurrency && remaining <= this->options.grantValidity / 2 &&
               !this->lenders.IsRenewing(grant.id, grant.lender, aNow)) {
      aOut.push_back(this->AskToRenew(grant, aNow));
    }
  }
}

BudgetMessage
Ledger::Impl::AskToRenew(const HeldGrant& aGrant, BootTime aNow)
{
  PendingAsk ask;
  ask.lender = aGrant.lender;
  ask.endpoint = aGrant.endpoint;
  ask.amount = aGrant.Left();
  ask.renewedGrant = aGrant.id;
  ask.askedAt = aNow;
  return this->Ask(std::move(ask), 0);
}

void
Ledger::Impl::Report(std::vector<BudgetMessage>& aOut, BootTime aNow)
{
  const bool due = aNow >= this->nextReportAt;
  if (due) {
    this->nextReportAt = aNow + this->options.reportInterval;
  }
  for (const GrantAccount& account : this->borrowed.CollectAccounts(!due)) {
    Envelope envelope = this->NewEnvelope(account.lender);
    SpentReport& body = *envelope.mutable_spent_report();
    this->SetBudget(body.mutable_budget());
    body.set_grant_id(account.id);
    body.set_spent(account.spent);
    body.set_returned(account.returned);
    aOut.push_back(BudgetMessage{ account.endpoint, std::move(envelope) });
    ++this->counts.reports;
  }
}

std::vector<BudgetMessage>
Ledger::Impl::ReturnGrants(BootTime aNow)
{
  const BootTime now = this->Refresh(aNow);
  std::vector<BudgetMessage> out;
  const std::vector<HeldGrant> held = this->borrowed.Held();
  for (const HeldGrant& grant : held) {
    const bool unused =
      !this->concurrency || this->pool->Free(now) + this->borrowed.Left() >= grant.Left();
    if (unused) {
      this->borrowed.Return(grant.id, grant.lender);
    }
  }
  this->nextReportAt = now;
  this->Report(out, now);
  return out;
}

void
Ledger::Impl::PlanNextTick(BootTime aNow)
{
  const bool busy =
    this->demand.Active(aNow) || !this->borrowed.Held().empty() || this->pool->InUse() > 0;
  this->nextTick = aNow + (busy ? std::chrono::nanoseconds(Demand::kPeriod) : kIdleTick);
  if (this->shortOfTokens) {
    this->nextTick = std::min(this->nextTick, std::max(aNow + milliseconds(5), this->nextAskAt));
  }
}

} // namespace plantainhaven
