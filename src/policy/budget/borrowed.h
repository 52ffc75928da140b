#pragma once

#include "plantainhaven/common/time.h"
#include "plantainhaven/policy/budget/shares.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace plantainhaven {

// A grant that this VM borrowed.
struct HeldGrant
{
  std::uint64_t id = 0;
  std::string lender;
  std::string endpoint;
  TokenThousandths amount = 0;
  TokenThousandths spent = 0;
  TokenThousandths returned = 0;
  // Counted from when the request was sent, so that the grant expires here before the
  // lender reclaims it.
  BootTime expires{};
  // The totals in the last report to the lender.
  TokenThousandths reportedSpent = 0;
  TokenThousandths reportedReturned = 0;

  bool Unreported() const
  {
    return this->spent != this->reportedSpent || this->returned != this->reportedReturned;
  }
  TokenThousandths Remaining() const { return this->amount - this->spent - this->returned; }
};

// The usage of a grant so far, to be reported to its lender.
struct GrantUsage
{
  std::uint64_t id = 0;
  std::string lender;
  std::string endpoint;
  TokenThousandths spent = 0;
  TokenThousandths returned = 0;
};

// The grants that this VM borrowed. Grants of a rate are spent; grants of a concurrency
// budget raise the limit on concurrent use until they expire.
class BorrowedGrants
{
public:
  void Add(const HeldGrant& aGrant);
  // Extends a held grant. Returns false and changes nothing when it isn't held.
  bool Renew(std::uint64_t aId, const std::string& aLender, BootTime aExpires);
  // Spends from the grants that expire first. `aAmount` must not exceed Remaining().
  void Spend(TokenThousandths aAmount);
  // Drops grants that have expired and returns how many of them had unspent tokens. With a
  // positive `aLongestUse`, those are retained until every use that they admitted must
  // have ended.
  std::uint64_t Expire(BootTime aNow, std::chrono::nanoseconds aLongestUse);
  // Sum of the unspent amounts of the grants that haven't expired.
  TokenThousandths Remaining() const;
  BootTime NextExpiry() const;

  // Marks the remaining amount of a held grant as returned to its lender.
  void Return(std::uint64_t aId, const std::string& aLender);
  // Marks the retained expired grants as returned. Call it when nothing in use depends on
  // them any more.
  void ReturnExpired();
  // Returns usage that hasn't been reported yet, marks it as reported and drops finished
  // grants. With `aFinishedOnly`, grants with a remaining amount are skipped.
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
