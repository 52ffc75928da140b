#include "policy/budget/ledger_impl.h"

#include <algorithm>
#include <utility>

namespace plantainhaven {

namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t kProtocolVersion = 1;
// Unused tokens are returned this long before they expire, so that the report reaches the
// lender in time.
constexpr milliseconds kReturnBeforeExpiry{ 300 };
// A grant younger than this is kept even when it isn't needed at the moment.
constexpr milliseconds kMinHoldTime{ 100 };
constexpr milliseconds kIdleTickInterval{ 1000 };
// A VM with demand keeps tokens for at least one request in stock when the capacity covers
// this many requests per member.
constexpr std::int64_t kMinRequestsPerMember = 4;
// The stock of free slots is at least the number of slots in use divided by this.
constexpr std::int64_t kFreeSlotsDivisor = 8;

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
Ledger::Impl::TargetStock(BootTime aNow) const
{
  if (!this->members || !(this->demand.Active(aNow) || this->pool->InUse() > 0)) {
    return 0;
  }
  const auto membersCount = static_cast<std::int64_t>(this->members->size());
  const TokenThousandths largest = this->demand.Largest();
  const bool plenty = this->spec.capacity >= kMinRequestsPerMember * membersCount * largest;
  TokenThousandths stock = plenty ? largest : 0;
  if (this->concurrency) {
    stock = std::max(stock, this->pool->InUse() / kFreeSlotsDivisor);
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
  this->RenewOrReturnGrants(out, now);
  this->BorrowMissing(out, now);
  this->Report(out, now);
  this->PlanNextTick(now);
  return out;
}

void
Ledger::Impl::BorrowMissing(std::vector<BudgetMessage>& aOut, BootTime aNow)
{
  if (aNow < this->nextBorrowAt || aNow >= this->freshUntil) {
    return;
  }
  const TokenThousandths target = this->TargetStock(aNow);
  const TokenThousandths available = this->pool->Free(aNow) + this->borrowed.Remaining();
  const TokenThousandths threshold = this->concurrency ? target : (target + 1) / 2;
  const TokenThousandths missing = target - available - this->lenders.PendingAmount(aNow);
  if (available >= threshold || missing <= 0) {
    this->shortOfTokens = false;
    return;
  }
  const std::vector<const BudgetMember*> chosenLenders = this->lenders.ChooseLenders(aNow);
  const TokenThousandths minimum =
    std::clamp<TokenThousandths>(this->demand.Largest() - available, 1, missing);
  for (const BudgetMember* lender : chosenLenders) {
    PendingBorrow request;
    request.lender = lender->name;
    request.endpoint = lender->endpoint;
    request.amount = missing;
    request.sentAt = aNow;
    aOut.push_back(this->NewBorrowRequest(std::move(request), minimum));
  }
  this->nextBorrowAt = aNow + this->options.borrowInterval;
}

BudgetMessage
Ledger::Impl::NewBorrowRequest(PendingBorrow aRequest, TokenThousandths aMinimum)
{
  aRequest.id = this->nextId++;
  Envelope envelope = this->NewEnvelope(aRequest.lender);
  envelope.set_ask_id(aRequest.id);
  BorrowAsk& body = *envelope.mutable_borrow_ask();
  this->SetBudget(body.mutable_budget());
  body.set_amount(aRequest.amount);
  body.set_least(aMinimum);
  body.set_renewed_grant_id(aRequest.renewedGrant);
  body.set_configuration_revision(this->revision);
  ++this->counts.borrowRequests;
  this->lenders.OnRequestSent(aRequest);
  return BudgetMessage{ aRequest.endpoint, std::move(envelope) };
}

void
Ledger::Impl::OnResponse(const Envelope& aResponse, BootTime aNow)
{
  const BorrowAnswer& body = aResponse.borrow_answer();
  const std::optional<PendingBorrow> request =
    this->lenders.OnResponse(aResponse.ask_id(), aResponse.from(), body.amount(), aNow);
  this->nextTick = std::min(this->nextTick, std::max(aNow, this->nextBorrowAt));
  if (!request || body.amount() <= 0) {
    return;
  }
  const std::chrono::microseconds validity(body.valid_for_us());
  const BootTime expires = request->sentAt + validity;
  if (expires <= aNow) {
    return;
  }
  if (request->renewedGrant != 0) {
    this->borrowed.Renew(request->renewedGrant, request->lender, expires);
    return;
  }
  HeldGrant grant;
  grant.id = body.grant_id();
  grant.lender = request->lender;
  grant.endpoint = request->endpoint;
  grant.amount = body.amount();
  grant.expires = expires;
  this->borrowed.Add(grant);
  ++this->counts.grantsReceived;
}

void
Ledger::Impl::RenewOrReturnGrants(std::vector<BudgetMessage>& aOut, BootTime aNow)
{
  TokenThousandths free = this->pool->Free(aNow) + this->borrowed.Remaining();
  if (this->concurrency && free >= 0) {
    this->borrowed.ReturnExpired();
  }
  const TokenThousandths target = this->TargetStock(aNow);
  const std::vector<HeldGrant> held = this->borrowed.Held();
  for (const HeldGrant& grant : held) {
    const std::chrono::nanoseconds remaining = grant.expires - aNow;
    if (grant.Remaining() <= 0 || remaining > this->options.grantValidity - kMinHoldTime) {
      continue;
    }
    const bool aboutToExpire = !this->concurrency && remaining <= kReturnBeforeExpiry;
    if (aboutToExpire || free - grant.Remaining() >= target) {
      free -= grant.Remaining();
      this->borrowed.Return(grant.id, grant.lender);
    } else if (this->concurrency && remaining <= this->options.grantValidity / 2 &&
               !this->lenders.IsRenewing(grant.id, grant.lender, aNow)) {
      aOut.push_back(this->NewRenewalRequest(grant, aNow));
    }
  }
}

BudgetMessage
Ledger::Impl::NewRenewalRequest(const HeldGrant& aGrant, BootTime aNow)
{
  PendingBorrow request;
  request.lender = aGrant.lender;
  request.endpoint = aGrant.endpoint;
  request.amount = aGrant.Remaining();
  request.renewedGrant = aGrant.id;
  request.sentAt = aNow;
  return this->NewBorrowRequest(std::move(request), 0);
}

void
Ledger::Impl::Report(std::vector<BudgetMessage>& aOut, BootTime aNow)
{
  const bool due = aNow >= this->nextReportAt;
  if (due) {
    this->nextReportAt = aNow + this->options.reportInterval;
  }
  for (const GrantUsage& usage : this->borrowed.CollectUsageReports(!due)) {
    Envelope envelope = this->NewEnvelope(usage.lender);
    SpentReport& body = *envelope.mutable_spent_report();
    this->SetBudget(body.mutable_budget());
    body.set_grant_id(usage.id);
    body.set_spent(usage.spent);
    body.set_returned(usage.returned);
    aOut.push_back(BudgetMessage{ usage.endpoint, std::move(envelope) });
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
      !this->concurrency || this->pool->Free(now) + this->borrowed.Remaining() >= grant.Remaining();
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
  this->nextTick = aNow + (busy ? std::chrono::nanoseconds(Demand::kPeriod) : kIdleTickInterval);
  if (this->shortOfTokens) {
    this->nextTick = std::min(this->nextTick, std::max(aNow + milliseconds(5), this->nextBorrowAt));
  }
}

} // namespace plantainhaven
