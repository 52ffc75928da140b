#pragma once

#include "plantainhaven/common/time.h"
#include "plantainhaven/policy/budget/shares.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace plantainhaven {

// A grant that this VM holds.
struct HeldGrant
{
  std::uint64_t id = 0;
  std::string lender;
  std::string endpoint;
  TokenThousandths amount = 0;
  TokenThousandths spent = 0;
  TokenThousandths returned = 0;
  // Dated from the ask, so that it lapses here before the lender takes it back.
  BootTime expires{};
  // What the lender was told last.
  TokenThousandths reportedSpent = 0;
  TokenThousandths reportedReturned = 0;

  bool Unreported() const
  {
    return this->spent != this->reportedSpent || this->returned != this->reportedReturned;
  }
  TokenThousandths Remaining() const { return this->amount - this->spent - this->returned; }
};

// What became of a grant, for its lender.
struct GrantUsage
{
  std::uint64_t id = 0;
  std::string lender;
  std::string endpoint;
  TokenThousandths spent = 0;
  TokenThousandths returned = 0;
};

// The grants that this VM borrowed. Those of a rate are spent; those of a concurrency
// budget add to what may be in use until they lapse.
class BorrowedGrants
{
public:
  void Add(const HeldGrant& aGrant);
  // Prolongs a grant that is held; false when it isn't, and nothing changes then.
  bool Renew(std::uint64_t aId, const std::string& aLender, BootTime aExpires);
  // Spends from the grants that lapse first; at most Left().
  void Spend(TokenThousandths aAmount);
  // Drops grants that have lapsed; returns how many had something left. With a longest
  // use they are kept aside until what they let in must have ended.
  std::uint64_t Expire(BootTime aNow, std::chrono::nanoseconds aLongestUse);
  // Sum of what is left of the grants that haven't lapsed.
  TokenThousandths Remaining() const;
  BootTime NextExpiry() const;

  // Gives back unused what is left of a held grant.
  void Return(std::uint64_t aId, const std::string& aLender);
  // Gives back the grants kept aside: nothing in use rests on them any more.
  void ReturnExpired();
  // What hasn't been told to the lenders; finished grants are forgotten after it. With
  // `aFinishedOnly` grants that have something left are passed over.
  std::vector<GrantUsage> CollectUsageReports(bool aFinishedOnly);
  bool HasFinished() const;
  bool HasUnreported() const;

  const std::vector<HeldGrant>& Held() const;

private:
  void UpdateTotals();

  std::vector<HeldGrant> held;
  std::vector<HeldGrant> expired;
  TokenThousandths remaining = 0;
  BootTime nextExpiry = BootTime::max();
};

} // namespace plantainhaven
