#include "policy/budget/borrowed.h"

#include <algorithm>

namespace plantainhaven {

void
BorrowedGrants::Add(const HeldGrant& aGrant)
{
  const auto later =
    std::find_if(this->held.begin(), this->held.end(), [&](const HeldGrant& aHeld) {
      return aHeld.expires > aGrant.expires;
    });
  this->held.insert(later, aGrant);
  this->UpdateTotals();
}

bool
BorrowedGrants::Renew(std::uint64_t aId, const std::string& aLender, BootTime aExpires)
{
  for (HeldGrant& grant : this->held) {
    if (grant.id == aId && grant.lender == aLender) {
      grant.expires = std::max(grant.expires, aExpires);
      this->UpdateTotals();
      return true;
    }
  }
  return false;
}

void
BorrowedGrants::Spend(TokenThousandths aAmount)
{
  for (HeldGrant& grant : this->held) {
    const TokenThousandths part = std::min(grant.Remaining(), aAmount);
    grant.spent += part;
    this->remaining -= part;
    aAmount -= part;
  }
}

std::uint64_t
BorrowedGrants::Expire(BootTime aNow, std::chrono::nanoseconds aLongestUse)
{
  if (aNow < this->nextExpiry && this->expired.empty()) {
    return 0;
  }
  const bool keep = aLongestUse.count() > 0;
  std::uint64_t unspent = 0;
  for (const HeldGrant& grant : this->held) {
    if (grant.expires > aNow) {
      continue;
    }
    unspent += grant.Remaining() > 0 ? 1 : 0;
    if (keep && grant.Remaining() > 0) {
      this->expired.push_back(grant);
    }
  }
  std::erase_if(this->held, [aNow](const HeldGrant& aGrant) { return aGrant.expires <= aNow; });
  std::erase_if(this->expired,
                [&](const HeldGrant& aGrant) { return aGrant.expires + aLongestUse <= aNow; });
  this->UpdateTotals();
  return unspent;
}

TokenThousandths
BorrowedGrants::Remaining() const
{
  return this->remaining;
}

BootTime
BorrowedGrants::NextExpiry() const
{
  return this->nextExpiry;
}

void
BorrowedGrants::Return(std::uint64_t aId, const std::string& aLender)
{
  for (HeldGrant& grant : this->held) {
    if (grant.id == aId && grant.lender == aLender) {
      grant.returned += grant.Remaining();
    }
  }
  this->UpdateTotals();
}

void
BorrowedGrants::ReturnExpired()
{
  for (HeldGrant& grant : this->expired) {
    grant.returned += grant.Remaining();
    this->held.push_back(grant);
  }
  this->expired.clear();
  this->UpdateTotals();
}

std::vector<GrantUsage>
BorrowedGrants::CollectUsageReports(bool aFinishedOnly)
{
  std::vector<GrantUsage> usages;
  for (HeldGrant& grant : this->held) {
    if (!grant.Unreported() || (aFinishedOnly && grant.Remaining() > 0)) {
      continue;
    }
    usages.push_back(
      GrantUsage{ grant.id, grant.lender, grant.endpoint, grant.spent, grant.returned });
    grant.reportedSpent = grant.spent;
    grant.reportedReturned = grant.returned;
  }
  std::erase_if(this->held, [](const HeldGrant& aGrant) { return aGrant.Remaining() <= 0; });
  this->UpdateTotals();
  return usages;
}

bool
BorrowedGrants::HasFinished() const
{
  return std::any_of(this->held.begin(), this->held.end(), [](const HeldGrant& aGrant) {
    return aGrant.Remaining() <= 0;
  });
}

bool
BorrowedGrants::HasUnreported() const
{
  return std::any_of(this->held.begin(), this->held.end(), [](const HeldGrant& aGrant) {
    return aGrant.Unreported();
  });
}

const std::vector<HeldGrant>&
BorrowedGrants::Held() const
{
  return this->held;
}

void
BorrowedGrants::UpdateTotals()
{
  this->remaining = 0;
  this->nextExpiry = BootTime::max();
  for (const HeldGrant& grant : this->held) {
    this->remaining += grant.Remaining();
    this->nextExpiry = std::min(this->nextExpiry, grant.expires);
  }
}

} // namespace plantainhaven
