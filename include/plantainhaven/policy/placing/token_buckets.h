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

// A client account's limit over the whole fleet.
struct TokenLimit
{
  std::string account;
  // Tokens a second; 0 for no limit.
  double rate = 0;
  double burst = 0;
};

// What became of an attempt to take a token.
struct TokenAcquisition
{
  bool acquired = false;
  // When not taken: the time in which this VM's own part earns one token.
  std::chrono::milliseconds retryAfter{ 0 };
};

// An ask for tokens; whom to ask is the caller's choice.
struct BorrowRequest
{
  std::string account;
  double amount = 0;
};

// The units of every account's limit that this VM gives out, with lending between VMs.
// Tokens lent leave the level and the capacity of the lender until nobody can hold them any
// more, so over all VMs the tokens taken in any window w stay within burst + rate * w while
// the VMs' ranges are disjoint. Not thread-safe; reads no clock.
class TokenBuckets
{
public:
  explicit TokenBuckets(BootTime aStartedAt);
  ~TokenBuckets();
  TokenBuckets(const TokenBuckets&) = delete;
  TokenBuckets& operator=(const TokenBuckets&) = delete;

  // Takes over the limits of a new configuration; levels stay, capped by the new burst.
  void SetLimits(const std::vector<TokenLimit>& aLimits, BootTime aNow);
  // Sets the range of the quota ring whose units this VM may give out.
  void SetRange(const QuotaRange& aRange, BootTime aNow);

  // Takes a token for a request that has just come, from what was borrowed first. An
  // unknown account has no limit.
  TokenAcquisition TryAcquire(const std::string& aAccount, BootTime aNow);
  // The same for a request that has waited since its TryAcquire().
  bool TryAcquireQueued(const std::string& aAccount, BootTime aNow);
  // Requests that wait for a token of the account; they count in wishes.
  void SetQueuedRequests(const std::string& aAccount, std::size_t aCount);
  // Where the units of the account lie; empty when it has no limit.
  std::vector<std::uint32_t> Positions(const std::string& aAccount) const;
  // Accounts that are about to run short, at most once per account and ask interval.
  std::vector<BorrowRequest> CollectBorrowRequests(BootTime aNow);
  // Lends up to `aAmount`; returns what was lent, 0 when this VM needs its own.
  double Lend(const std::string& aAccount, double aAmount, BootTime aNow);
  // The time in which this VM's own units earn one token.
  std::chrono::milliseconds TimeToRefill(const std::string& aAccount) const;
  // Credits a grant that answers an ask sent at `aAskedAt`.
  void OnGrant(const std::string& aAccount, double aAmount, BootTime aAskedAt, BootTime aNow);

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace plantainhaven::placing
