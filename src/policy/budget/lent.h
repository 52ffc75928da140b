#pragma once

#include "plantainhaven/common/time.h"
#include "plantainhaven/policy/budget/shares.h"

#include <cstdint>
#include <string>
#include <vector>

namespace plantainhaven {

// The grants that this VM gave out of its share. A grant counts as outstanding until
// its borrower accounts for it or `until` has come, when it has lapsed everywhere.
class LentGrants
{
public:
  void Add(std::uint64_t aId,
           const std::string& aBorrower,
           std::uint64_t aRequestId,
           TokenThousandths aAmount,
           BootTime aExpiresAt);
  // True when this ask was answered with a grant that is outstanding.
  bool HasGrantFor(const std::string& aBorrower, std::uint64_t aRequestId) const;
  // Prolongs a grant; its outstanding amount, or 0 when it is no longer known.
  TokenThousandths Renew(std::uint64_t aId, const std::string& aBorrower, BootTime aExpiresAt);
  // The borrower accounts for a grant with totals so far. Returns what it gave back
  // unused since its last report; nothing for a grant that isn't outstanding.
  TokenThousandths RecordUsage(std::uint64_t aId,
                               const std::string& aBorrower,
                               TokenThousandths aSpent,
                               TokenThousandths aReturned);
  // Drops what has lapsed.
  void Expire(BootTime aNow);

  TokenThousandths Outstanding() const;
  // When the next grant lapses; the largest time when none is outstanding.
  BootTime NextExpiry() const;

private:
  struct Grant
  {
    std::uint64_t id = 0;
    std::string borrower;
    std::uint64_t requestId = 0;
    TokenThousandths amount = 0;
    TokenThousandths spent = 0;
    TokenThousandths returned = 0;
    BootTime expiresAt{};

    TokenThousandths Remaining() const { return this->amount - this->spent - this->returned; }
  };

  Grant* Find(std::uint64_t aId, const std::string& aBorrower);
  void UpdateTotals();

  std::vector<Grant> grants;
  TokenThousandths outstanding = 0;
  BootTime nextExpiry = BootTime::max();
};

} // namespace plantainhaven
