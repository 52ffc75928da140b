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
  this->Recount();
}

bool
BorrowedGrants::Renew(std::uint64_t aId, const std::string& aLender, BootTime aExpires)
{
  for (HeldGrant& grant : this->held) {
    if (grant.id == aId && grant.lender == aLender) {
      grant.expires = std::max(grant.expires, aExpires);
      this->Recount();
      return true;
    }
  }
  return false;
}

void
BorrowedGrants::Spend(TokenThousandths aAmount)
{
  for (HeldGrant& grant : this->held) {
    const TokenThousandths part = std::min(grant.Left(), aAmount);
    grant.spent += part;
    this->left -= part;
    aAmount -= part;
  }
}

std::uint64_t
BorrowedGrants::Expire(BootTime aNow, std::chrono::nanoseconds aLongestUse)
{
  if (aNow < this->nextLapse && this->lapsed.empty()) {
    return 0;
  }
  const bool keep = aLongestUse.count() > 0;
  std::uint64_t unspent = 0;
  for (const HeldGrant& grant : this->held) {
    if (grant.expires > aNow) {
      continue;
    }
    unspent += grant.Left() > 0 ? 1 : 0;
    if (keep && grant.Left() > 0) {
      this->lapsed.push_back(grant);
    }
  }
  std::erase_if(this->held, [aNow](const HeldGrant& aGrant) { return aGrant.expires <= aNow; });
  std::erase_if(this->lapsed,
                [&](const HeldGrant& aGrant) { return aGrant.expires + aLongestUse <= aNow; });
  this->Recount();
  return unspent;
}

TokenThousandths
BorrowedGrants::Left() const
{
  return this->left;
}

BootTime
BorrowedGrants::NextLapse() const
{
  return this->nextLapse;
}

void
BorrowedGrants::Return(std::uint64_t aId, const std::string& aLender)
{
  for (HeldGrant& grant : this->held) {
    if (grant.id == aId && grant.lender == aLender) {
      grant.returned += grant.Left();
    }
  }
  this->Recount();
}

void
BorrowedGrants::ReturnLapsed()
{
  for (HeldGrant& grant : this->lapsed) {
    grant.returned += grant.Left();
    this->held.push_back(grant);
  }
  this->lapsed.clear();
  this->Recount();
}

std::vector<GrantAccount>
BorrowedGrants::CollectAccounts(bool aFinishedOnly)
{
  std::vector<GrantAccount> accounts;
  for (HeldGrant& grant : this->held) {
    if (!grant.Unreported() || (aFinishedOnly && grant.Left() > 0)) {
      continue;
    }
    accounts.push_back(
      GrantAccount{ grant.id, grant.lender, grant.endpoint, grant.spent, grant.returned });
    grant.reportedSpent = grant.spent;
    grant.reportedReturned = grant.returned;
  }
  std::erase_if(this->held, [](const HeldGrant& aGrant) { return aGrant.Left() <= 0; });
  this->Recount();
  return accounts;
}

bool
BorrowedGrants::HasFinished() const
{
  return std::any_of(this->held.begin(), this->held.end(), [](const HeldGrant& aGrant) {
    return aGrant.Left() <= 0;
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
BorrowedGrants::Recount()
{
  this->left = 0;
  this->nextLapse = BootTime::max();
  for (const HeldGrant& grant : this->held) {
    this->left += grant.Left();
    this->nextLapse = std::min(this->nextLapse, grant.expires);
  }
}

} // namespace plantainhaven
