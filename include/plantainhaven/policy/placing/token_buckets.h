#pragma once

#include "plantainhaven/common/time.h"
#include "plantainhaven/policy/placing/quota_ring.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace plantainhaven::placing {

// The fleet-wide rate limit of a client account.
struct TokenLimit
{
  std::string account;
  // Tokens per second; 0 means unlimited.
  double rate = 0;
  double burst = 0;
};

// The result of an attempt to acquire a token.
struct TokenAcquisition
{
  bool acquired = false;
  // If not acquired: the time in which this VM's own share of the limit refills by one token.
  std::chrono::milliseconds retryAfter{ 0 };
};

// A request to borrow tokens from another VM; the caller selects the lender.
struct BorrowRequest
{
  std::string account;
  double amount = 0;
};

// This VM's share of each client account's token bucket, with lending between VMs. Lent
// tokens are deducted from both the level and the capacity of the lender until no borrower
// can still use them. Therefore the tokens acquired on all VMs in any window w stay within
// burst + rate * w as long as the ranges that the VMs may grant at a time are disjoint. Not
// thread-safe; reads no clock.
class TokenBuckets
{
public:
  explicit TokenBuckets(BootTime aStartedAt);
  ~TokenBuckets();
  TokenBuckets(const TokenBuckets&) = delete;
  TokenBuckets& operator=(const TokenBuckets&) = delete;

  // Applies the limits of a new configuration. Bucket levels are kept, capped by the new burst.
  void SetLimits(const std::vector<TokenLimit>& aLimits, BootTime aNow);
  // Sets the ranges of the quota ring whose units this VM may grant until a time. From then on it
  // has no tokens of its own until the next call.
  void SetRanges(const QuotaRanges& aRanges, BootTime aValidUntil, BootTime aNow);

  // Acquires a token for a new request, from borrowed tokens first. An unknown account is
  // unlimited.
  TokenAcquisition TryAcquire(const std::string& aAccount, BootTime aNow);
  // Acquires a token for a request that has been queued since its TryAcquire(), which already
  // counted it as demand.
  bool TryAcquireQueued(const std::string& aAccount, BootTime aNow);
  // Sets the number of requests queued for a token of the account; borrow requests include
  // them.
  void SetQueuedRequests(const std::string& aAccount, std::size_t aCount);
  // Positions of the account's units on the quota ring; empty if it is unlimited.
  std::vector<std::uint32_t> Positions(const std::string& aAccount) const;
  // Returns a borrow request for each account whose tokens don't cover the expected demand, at
  // most one per account and borrow interval.
  std::vector<BorrowRequest> CollectBorrowRequests(BootTime aNow);
  // Lends up to `aAmount` tokens. Returns the number lent, 0 if this VM needs its own tokens.
  double Lend(const std::string& aAccount, double aAmount, BootTime aNow);
  // The time in which this VM's own share of the limit refills by one token.
  std::chrono::milliseconds TimeToRefill(const std::string& aAccount) const;
  // Credits tokens granted in response to a borrow request sent at `aRequestedAt`.
  void OnGrant(const std::string& aAccount, double aAmount, BootTime aRequestedAt, BootTime aNow);

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace plantainhaven::placing
