#include "plantainhaven/policy/placing/token_buckets.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <unordered_map>

namespace plantainhaven::placing {
namespace {

using Seconds = std::chrono::duration<double>;

// A borrower may use a grant for this long from its ask; the lender holds the capacity
// back for longer, counted from its answer, so that the two never overlap.
constexpr std::chrono::milliseconds kGrantValidity{ 500 };
constexpr std::chrono::milliseconds kLentFor{ 650 };
// Demand of this long is kept in stock by borrowing; two exchanges between far regions.
constexpr std::chrono::milliseconds kStockTime{ 400 };
constexpr std::chrono::milliseconds kAskInterval{ 100 };
// Time constant of the demand's moving average.
constexpr std::chrono::milliseconds kDemandTime{ 800 };

struct Amount
{
  double tokens = 0;
  BootTime until{};
};

struct Purse
{
  TokenLimit limit;
  std::vector<std::uint32_t> positions;
  // Part of the limit that this VM gives out.
  double part = 0;
  std::size_t waiting = 0;
  double level = 0;
  BootTime refilledAt{};
  std::deque<Amount> lent;
  std::deque<Amount> borrowed;
  // Tokens a second that callers ask for here.
  double demand = 0;
  BootTime demandAt{};
  BootTime askedAt{};
};

double
SumOf(const std::deque<Amount>& aAmounts)
{
  double sum = 0;
  for (const Amount& amount : aAmounts) {
    sum += amount.tokens;
  }
  return sum;
}

void
DropLapsed(std::deque<Amount>& aAmounts, BootTime aNow)
{
  while (!aAmounts.empty() && aAmounts.front().until <= aNow) {
    aAmounts.pop_front();
  }
}

void
FadeDemand(Purse& aPurse, BootTime aNow)
{
  const double passed = Seconds(aNow - aPurse.demandAt) / Seconds(kDemandTime);
  aPurse.demand *= std::exp(-std::max(0.0, passed));
  aPurse.demandAt = aNow;
}

} // namespace

struct TokenBuckets::Impl
{
  double Capacity(const Purse& aPurse, BootTime aNow) const;
  void Refill(Purse& aPurse, BootTime aNow) const;
  Purse* Find(const std::string& aAccount);
  bool Take(Purse& aPurse) const;

  BootTime startedAt{};
  QuotaRange range;
  std::unordered_map<std::string, Purse> purses;
};

// An earlier process on this VM may have lent tokens that are still in use elsewhere, so
// half of the capacity counts as lent until these have lapsed.
double
TokenBuckets::Impl::Capacity(const Purse& aPurse, BootTime aNow) const
{
  const double own = aPurse.limit.burst * aPurse.part;
  const double usable = aNow < this->startedAt + kLentFor ? own / 2 : own;
  return std::max(0.0, usable - SumOf(aPurse.lent));
}

void
TokenBuckets::Impl::Refill(Purse& aPurse, BootTime aNow) const
{
  DropLapsed(aPurse.lent, aNow);
  DropLapsed(aPurse.borrowed, aNow);
  const double passed = std::max(0.0, Seconds(aNow - aPurse.refilledAt).count());
  const double earned = aPurse.limit.rate * aPurse.part * passed;
  aPurse.level = std::min(this->Capacity(aPurse, aNow), aPurse.level + earned);
  aPurse.refilledAt = aNow;
}

Purse*
TokenBuckets::Impl::Find(const std::string& aAccount)
{
  const auto found = this->purses.find(aAccount);
  return found == this->purses.end() ? nullptr : &found->second;
}

TokenBuckets::TokenBuckets(BootTime aStartedAt)
  : impl(std::make_unique<Impl>())
{
  this->impl->startedAt = aStartedAt;
}

TokenBuckets::~TokenBuckets() = default;

void
TokenBuckets::SetLimits(const std::vector<TokenLimit>& aLimits, BootTime aNow)
{
  std::unordered_map<std::string, Purse> kept;
  for (const TokenLimit& limit : aLimits) {
    if (limit.rate <= 0) {
      continue;
    }
    Purse purse;
    purse.refilledAt = aNow;
    purse.demandAt = aNow;
    if (Purse* const old = this->impl->Find(limit.account)) {
      this->impl->Refill(*old, aNow);
      purse = std::move(*old);
    }
    purse.limit = limit;
    purse.positions = UnitPositions(limit.account, limit.burst);
    purse.part = HeldFraction(purse.positions, this->impl->range);
    purse.level = std::min(purse.level, this->impl->Capacity(purse, aNow));
    kept.emplace(limit.account, std::move(purse));
  }
  this->impl->purses = std::move(kept);
}

void
TokenBuckets::SetRange(const QuotaRange& aRange, BootTime aNow)
{
  this->impl->range = aRange;
  for (auto& [account, purse] : this->impl->purses) {
    this->impl->Refill(purse, aNow);
    purse.part = HeldFraction(purse.positions, aRange);
    purse.level = std::min(purse.level, this->impl->Capacity(purse, aNow));
  }
}

bool
TokenBuckets::Impl::Take(Purse& aPurse) const
{
  for (Amount& grant : aPurse.borrowed) {
    if (grant.tokens >= 1.0) {
      grant.tokens -= 1.0;
      return true;
    }
  }
  if (aPurse.level < 1.0) {
    return false;
  }
  aPurse.level -= 1.0;
  return true;
}

TokenAcquisition
TokenBuckets::TryAcquire(const std::string& aAccount, BootTime aNow)
{
  Purse* const purse = this->impl->Find(aAccount);
  if (purse == nullptr) {
    return { .acquired = true };
  }
  this->impl->Refill(*purse, aNow);
  FadeDemand(*purse, aNow);
  purse->demand += 1.0 / Seconds(kDemandTime).count();
  if (this->impl->Take(*purse)) {
    return { .acquired = true };
  }
  return { .acquired = false, .retryAfter = this->TimeToRefill(aAccount) };
}

bool
TokenBuckets::TryAcquireQueued(const std::string& aAccount, BootTime aNow)
{
  Purse* const purse = this->impl->Find(aAccount);
  if (purse == nullptr) {
    return true;
  }
  this->impl->Refill(*purse, aNow);
  return this->impl->Take(*purse);
}

void
TokenBuckets::SetQueuedRequests(const std::string& aAccount, std::size_t aCount)
{
  if (Purse* const purse = this->impl->Find(aAccount)) {
    purse->waiting = aCount;
  }
}

std::vector<std::uint32_t>
TokenBuckets::Positions(const std::string& aAccount) const
{
  const Purse* const purse = this->impl->Find(aAccount);
  return purse == nullptr ? std::vector<std::uint32_t>() : purse->positions;
}

std::chrono::milliseconds
TokenBuckets::TimeToRefill(const std::string& aAccount) const
{
  const Purse* const purse = this->impl->Find(aAccount);
  if (purse == nullptr) {
    return std::chrono::milliseconds(0);
  }
  const double own = std::max(purse->limit.rate * purse->part, 1.0);
  const double wait = std::max(0.0, 1.0 - purse->level) / own;
  return std::chrono::ceil<std::chrono::milliseconds>(Seconds(wait));
}

std::vector<BorrowRequest>
TokenBuckets::CollectBorrowRequests(BootTime aNow)
{
  std::vector<BorrowRequest> wishes;
  for (auto& [account, purse] : this->impl->purses) {
    this->impl->Refill(purse, aNow);
    FadeDemand(purse, aNow);
    const double wanted =
      static_cast<double>(purse.waiting) + purse.demand * Seconds(kStockTime).count();
    const double held = purse.level + SumOf(purse.borrowed);
    if (wanted < 0.5 || held >= wanted || aNow < purse.askedAt + kAskInterval) {
      continue;
    }
    purse.askedAt = aNow;
    wishes.push_back({ account, std::max(1.0, std::ceil(wanted - held)) });
  }
  return wishes;
}

double
TokenBuckets::Lend(const std::string& aAccount, double aAmount, BootTime aNow)
{
  Purse* const purse = this->impl->Find(aAccount);
  if (purse == nullptr) {
    return 0;
  }
  this->impl->Refill(*purse, aNow);
  FadeDemand(*purse, aNow);
  const double kept =
    static_cast<double>(purse->waiting) + purse->demand * Seconds(kStockTime).count();
  const double free = purse->level - kept;
  if (free < 1.0 || aAmount < 1.0) {
    return 0;
  }
  // Half of what is free, so that others find something too.
  const double granted = std::floor(std::min(aAmount, std::max(1.0, free / 2)));
  purse->level -= granted;
  purse->lent.push_back({ granted, aNow + kLentFor });
  return granted;
}

void
TokenBuckets::OnGrant(const std::string& aAccount, double aAmount, BootTime aAskedAt, BootTime aNow)
{
  Purse* const purse = this->impl->Find(aAccount);
  const BootTime until = aAskedAt + kGrantValidity;
  if (purse == nullptr || aAmount <= 0 || until <= aNow) {
    return;
  }
  const auto later = std::find_if(purse->borrowed.begin(),
                                  purse->borrowed.end(),
                                  [until](const Amount& aOther) { return aOther.until > until; });
  purse->borrowed.insert(later, { aAmount, until });
}

} // namespace plantainhaven::placing
