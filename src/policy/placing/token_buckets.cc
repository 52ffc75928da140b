#include "plantainhaven/policy/placing/token_buckets.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <unordered_map>

namespace plantainhaven::placing {
namespace {

using Seconds = std::chrono::duration<double>;

// A borrower may use granted tokens for kGrantValidity after its request. The lender reserves the
// capacity for kLendHold after its response, which is longer, so that the same tokens are never
// usable on both VMs.
constexpr std::chrono::milliseconds kGrantValidity{ 500 };
constexpr std::chrono::milliseconds kLendHold{ 650 };
// A VM borrows to cover the demand of this time, which is two round trips between distant
// regions.
constexpr std::chrono::milliseconds kDemandHorizon{ 400 };
constexpr std::chrono::milliseconds kBorrowInterval{ 100 };
// Time constant of the exponential moving average of the demand.
constexpr std::chrono::milliseconds kDemandTimeConstant{ 800 };

// Lent or borrowed tokens.
struct Lease
{
  double tokens = 0;
  BootTime expiresAt{};
};

struct Bucket
{
  TokenLimit limit;
  std::vector<std::uint32_t> positions;
  // Fraction of the limit that belongs to this VM, 0 to 1.
  double fraction = 0;
  std::size_t queuedRequests = 0;
  double level = 0;
  BootTime refilledAt{};
  std::deque<Lease> lent;
  std::deque<Lease> borrowed;
  // Tokens per second requested at this VM.
  double demand = 0;
  BootTime demandAt{};
  BootTime requestedAt{};
};

double
TotalTokens(const std::deque<Lease>& aLeases)
{
  double sum = 0;
  for (const Lease& lease : aLeases) {
    sum += lease.tokens;
  }
  return sum;
}

void
DropExpired(std::deque<Lease>& aLeases, BootTime aNow)
{
  while (!aLeases.empty() && aLeases.front().expiresAt <= aNow) {
    aLeases.pop_front();
  }
}

void
DecayDemand(Bucket& aBucket, BootTime aNow)
{
  const double elapsed = Seconds(aNow - aBucket.demandAt) / Seconds(kDemandTimeConstant);
  aBucket.demand *= std::exp(-std::max(0.0, elapsed));
  aBucket.demandAt = aNow;
}

} // namespace

struct TokenBuckets::Impl
{
  double Capacity(const Bucket& aBucket, BootTime aNow) const;
  void Refill(Bucket& aBucket, BootTime aNow) const;
  Bucket* Find(const std::string& aAccount);
  bool Take(Bucket& aBucket) const;

  BootTime startedAt{};
  QuotaRanges ranges;
  BootTime validUntil{};
  std::unordered_map<std::string, Bucket> buckets;
};

// A previous process on this VM may have lent tokens that other VMs still use. Half of the
// capacity is therefore reserved until those leases have expired.
double
TokenBuckets::Impl::Capacity(const Bucket& aBucket, BootTime aNow) const
{
  const double own = aBucket.limit.burst * aBucket.fraction;
  const double usable = aNow < this->startedAt + kLendHold ? own / 2 : own;
  return std::max(0.0, usable - TotalTokens(aBucket.lent));
}

void
TokenBuckets::Impl::Refill(Bucket& aBucket, BootTime aNow) const
{
  DropExpired(aBucket.lent, aNow);
  DropExpired(aBucket.borrowed, aNow);
  const double elapsed = std::max(0.0, Seconds(aNow - aBucket.refilledAt).count());
  const double earned = aBucket.limit.rate * aBucket.fraction * elapsed;
  aBucket.level = std::min(this->Capacity(aBucket, aNow), aBucket.level + earned);
  aBucket.refilledAt = aNow;
  if (aNow >= this->validUntil) {
    // Another VM may be granting these units by now.
    aBucket.level = 0;
  }
}

Bucket*
TokenBuckets::Impl::Find(const std::string& aAccount)
{
  const auto found = this->buckets.find(aAccount);
  return found == this->buckets.end() ? nullptr : &found->second;
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
  std::unordered_map<std::string, Bucket> kept;
  for (const TokenLimit& limit : aLimits) {
    if (limit.rate <= 0) {
      continue;
    }
    Bucket bucket;
    bucket.refilledAt = aNow;
    bucket.demandAt = aNow;
    if (Bucket* const previous = this->impl->Find(limit.account)) {
      this->impl->Refill(*previous, aNow);
      bucket = std::move(*previous);
    }
    bucket.limit = limit;
    bucket.positions = UnitPositions(limit.account, limit.burst);
    bucket.fraction = HeldFraction(bucket.positions, this->impl->ranges);
    bucket.level = std::min(bucket.level, this->impl->Capacity(bucket, aNow));
    kept.emplace(limit.account, std::move(bucket));
  }
  this->impl->buckets = std::move(kept);
}

void
TokenBuckets::SetRanges(const QuotaRanges& aRanges, BootTime aValidUntil, BootTime aNow)
{
  for (auto& [account, bucket] : this->impl->buckets) {
    this->impl->Refill(bucket, aNow);
    bucket.fraction = HeldFraction(bucket.positions, aRanges);
    bucket.level = std::min(bucket.level, this->impl->Capacity(bucket, aNow));
  }
  this->impl->ranges = aRanges;
  this->impl->validUntil = aValidUntil;
}

bool
TokenBuckets::Impl::Take(Bucket& aBucket) const
{
  for (Lease& lease : aBucket.borrowed) {
    if (lease.tokens >= 1.0) {
      lease.tokens -= 1.0;
      return true;
    }
  }
  if (aBucket.level < 1.0) {
    return false;
  }
  aBucket.level -= 1.0;
  return true;
}

TokenAcquisition
TokenBuckets::TryAcquire(const std::string& aAccount, BootTime aNow)
{
  Bucket* const bucket = this->impl->Find(aAccount);
  if (bucket == nullptr) {
    return { .acquired = true };
  }
  this->impl->Refill(*bucket, aNow);
  DecayDemand(*bucket, aNow);
  bucket->demand += 1.0 / Seconds(kDemandTimeConstant).count();
  if (this->impl->Take(*bucket)) {
    return { .acquired = true };
  }
  return { .acquired = false, .retryAfter = this->TimeToRefill(aAccount) };
}

bool
TokenBuckets::TryAcquireQueued(const std::string& aAccount, BootTime aNow)
{
  Bucket* const bucket = this->impl->Find(aAccount);
  if (bucket == nullptr) {
    return true;
  }
  this->impl->Refill(*bucket, aNow);
  return this->impl->Take(*bucket);
}

void
TokenBuckets::SetQueuedRequests(const std::string& aAccount, std::size_t aCount)
{
  if (Bucket* const bucket = this->impl->Find(aAccount)) {
    bucket->queuedRequests = aCount;
  }
}

std::vector<std::uint32_t>
TokenBuckets::Positions(const std::string& aAccount) const
{
  const Bucket* const bucket = this->impl->Find(aAccount);
  return bucket == nullptr ? std::vector<std::uint32_t>() : bucket->positions;
}

std::chrono::milliseconds
TokenBuckets::TimeToRefill(const std::string& aAccount) const
{
  const Bucket* const bucket = this->impl->Find(aAccount);
  if (bucket == nullptr) {
    return std::chrono::milliseconds(0);
  }
  const double own = std::max(bucket->limit.rate * bucket->fraction, 1.0);
  const double wait = std::max(0.0, 1.0 - bucket->level) / own;
  return std::chrono::ceil<std::chrono::milliseconds>(Seconds(wait));
}

std::vector<BorrowRequest>
TokenBuckets::CollectBorrowRequests(BootTime aNow)
{
  std::vector<BorrowRequest> requests;
  for (auto& [account, bucket] : this->impl->buckets) {
    this->impl->Refill(bucket, aNow);
    DecayDemand(bucket, aNow);
    const double needed =
      static_cast<double>(bucket.queuedRequests) + bucket.demand * Seconds(kDemandHorizon).count();
    const double held = bucket.level + TotalTokens(bucket.borrowed);
    if (needed < 0.5 || held >= needed || aNow < bucket.requestedAt + kBorrowInterval) {
      continue;
    }
    bucket.requestedAt = aNow;
    requests.push_back({ account, std::max(1.0, std::ceil(needed - held)) });
  }
  return requests;
}

double
TokenBuckets::Lend(const std::string& aAccount, double aAmount, BootTime aNow)
{
  Bucket* const bucket = this->impl->Find(aAccount);
  if (bucket == nullptr) {
    return 0;
  }
  this->impl->Refill(*bucket, aNow);
  DecayDemand(*bucket, aNow);
  const double needed =
    static_cast<double>(bucket->queuedRequests) + bucket->demand * Seconds(kDemandHorizon).count();
  const double spare = bucket->level - needed;
  if (spare < 1.0 || aAmount < 1.0) {
    return 0;
  }
  // Lends half of the spare tokens, so that other VMs can borrow too.
  const double granted = std::floor(std::min(aAmount, std::max(1.0, spare / 2)));
  bucket->level -= granted;
  bucket->lent.push_back({ granted, aNow + kLendHold });
  return granted;
}

void
TokenBuckets::OnGrant(const std::string& aAccount,
                      double aAmount,
                      BootTime aRequestedAt,
                      BootTime aNow)
{
  Bucket* const bucket = this->impl->Find(aAccount);
  const BootTime expiresAt = aRequestedAt + kGrantValidity;
  if (bucket == nullptr || aAmount <= 0 || expiresAt <= aNow) {
    return;
  }
  const auto later =
    std::find_if(bucket->borrowed.begin(),
                 bucket->borrowed.end(),
                 [expiresAt](const Lease& aOther) { return aOther.expiresAt > expiresAt; });
  bucket->borrowed.insert(later, { aAmount, expiresAt });
}

} // namespace plantainhaven::placing
