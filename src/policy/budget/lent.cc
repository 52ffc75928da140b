#include "policy/budget/lent.h"

#include <algorithm>

namespace plantainhaven {

void
LentGrants::Add(std::uint64_t aId,
                const std::string& aBorrower,
                std::uint64_t aAskId,
                TokenThousandths aAmount,
                BootTime aUntil)
{
  this->grants.push_back(Grant{ aId, aBorrower, aAskId, aAmount, 0, 0, aUntil });
  this->Recount();
}

bool
LentGrants::Answered(const std::string& aBorrower, std::uint64_t aAskId) const
{
  return std::any_of(this->grants.begin(), this->grants.end(), [&](const Grant& aGrant) {
    return aGrant.askId == aAskId && aGrant.borrower == aBorrower;
  });
}

TokenThousandths
LentGrants::Renew(std::uint64_t aId, const std::string& aBorrower, BootTime aUntil)
{
  Grant* grant = this->Find(aId, aBorrower);
  if (grant == nullptr) {
    return 0;
  }
  grant->until = std::max(grant->until, aUntil);
  this->Recount();
  return grant->Open();
}

TokenThousandths
LentGrants::Account(std::uint64_t aId,
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
  std::erase_if(this->grants, [](const Grant& aGrant) { return aGrant.Open() <= 0; });
  this->Recount();
  return gained;
}

void
LentGrants::Expire(BootTime aNow)
{
  std::erase_if(this->grants, [aNow](const Grant& aGrant) { return aGrant.until <= aNow; });
  this->Recount();
}

TokenThousandths
LentGrants::Outstanding() const
{
  return this->outstanding;
}

BootTime
LentGrants::NextLapse() const
{
  return this->nextLapse;
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
LentGrants::Recount()
{
  this->outstanding = 0;
  this->nextLapse = BootTime::max();
  for (const Grant& grant : this->grants) {
    this->outstanding += grant.Open();
    this->nextLapse = std::min(this->nextLapse, grant.until);
  }
}

} // namespace plantainhaven
