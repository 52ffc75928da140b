#include "policy/budget/lent.h"

#include <algorithm>

namespace plantainhaven {

void
LentGrants::Add(std::uint64_t aId,
                const std::string& aBorrower,
                std::uint64_t aRequestId,
                TokenThousandths aAmount,
                BootTime aExpiresAt)
{
  this->grants.push_back(Grant{ aId, aBorrower, aRequestId, aAmount, 0, 0, aExpiresAt });
  this->UpdateTotals();
}

bool
LentGrants::HasGrantFor(const std::string& aBorrower, std::uint64_t aRequestId) const
{
  return std::any_of(this->grants.begin(), this->grants.end(), [&](const Grant& aGrant) {
    return aGrant.requestId == aRequestId && aGrant.borrower == aBorrower;
  });
}

TokenThousandths
LentGrants::Renew(std::uint64_t aId, const std::string& aBorrower, BootTime aExpiresAt)
{
  Grant* grant = this->Find(aId, aBorrower);
  if (grant == nullptr) {
    return 0;
  }
  grant->expiresAt = std::max(grant->expiresAt, aExpiresAt);
  this->UpdateTotals();
  return grant->Remaining();
}

TokenThousandths
LentGrants::RecordUsage(std::uint64_t aId,
                        const std::string& aBorrower,
                        TokenThousandths aSpent,
                        TokenThousandths aReturned)
{
  Grant* grant = this->Find(aId, aBorrower);
  if (grant == nullptr || aSpent < 0 || aReturned < 0) {
    return 0;
  }
  const TokenThousandths spent = std::max(grant->spent, aSpent);
  const TokenThousandths returned = std::max(grant->returned, aReturned);
  if (spent + returned > grant->amount) {
    return 0;
  }
  const TokenThousandths gained = returned - grant->returned;
  grant->spent = spent;
  grant->returned = returned;
  std::erase_if(this->grants, [](const Grant& aGrant) { return aGrant.Remaining() <= 0; });
  this->UpdateTotals();
  return gained;
}

void
LentGrants::Expire(BootTime aNow)
{
  std::erase_if(this->grants, [aNow](const Grant& aGrant) { return aGrant.expiresAt <= aNow; });
  this->UpdateTotals();
}

TokenThousandths
LentGrants::Outstanding() const
{
  return this->outstanding;
}

BootTime
LentGrants::NextExpiry() const
{
  return this->nextExpiry;
}

LentGrants::Grant*
LentGrants::Find(std::uint64_t aId, const std::string& aBorrower)
{
  const auto found =
    std::find_if(this->grants.begin(), this->grants.end(), [&](const Grant& aGrant) {
      return aGrant.id == aId && aGrant.borrower == aBorrower;
    });
  return found == this->grants.end() ? nullptr : &*found;
}

void
LentGrants::UpdateTotals()
{
  this->outstanding = 0;
  this->nextExpiry = BootTime::max();
  for (const Grant& grant : this->grants) {
    this->outstanding += grant.Remaining();
    this->nextExpiry = std::min(this->nextExpiry, grant.expiresAt);
  }
}

} // namespace plantainhaven
