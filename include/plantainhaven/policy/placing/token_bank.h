#pragma once

#include "plantainhaven/common/time.h"

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
struct TokenTake
{
  bool taken = false;
  // When not taken: the time in which this VM's own part earns one token.
  std::chrono::milliseconds retryAfter{ 0 };
};

// An ask for tokens; whom to ask is the caller's choice.
struct TokenWish
{
  std::string account;
  double amount = 0;
};

// The part of every account's rate and burst that this VM gives out, with lending between
// VMs. Tokens lent leave the level and the capacity of the lender until nobody can hold
// them any more, so over all VMs the tokens taken in any window w stay within
// burst + rate * w while the parts sum to at most one. Not thread-safe; reads no clock.
class TokenBank
{
public:
  explicit TokenBank(BootTime aStartedAt);
  ~TokenBank();
  TokenBank(const TokenBank&) = delete;
  TokenBank& operator=(const TokenBank&) = delete;

  // Takes over the limits of a new configuration; levels stay, capped by the new burst.
  void SetLimits(const std::vector<TokenLimit>& aLimits, BootTime aNow);
  // Sets the part of all limits that this VM may give out, 0 to 1.
  void SetPart(double aPart, BootTime aNow);
  double Part() const;

  // Takes a token, from what was borrowed first. An unknown account has no limit.
  TokenTake TryTake(const std::string& aAccount, BootTime aNow);
  // Accounts that are about to run short, at most once per account and ask interval.
  std::vector<TokenWish> Wishes(BootTime aNow);
  // Lends up to `aAmount`; returns what was lent, 0 when this VM needs its own.
  double Lend(const std::string& aAccount, double aAmount, BootTime aNow);
  // Credits a grant that answers an ask sent at `aAskedAt`.
  void OnGrant(const std::string& aAccount, double aAmount, BootTime aAskedAt, BootTime aNow);

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace plantainhaven::placing
