#pragma once

#include "plantainhaven/common/time.h"
#include "plantainhaven/policy/budget/shares.h"

#include <cstdint>
#include <string>
#include <vector>

namespace plantainhaven {

// The grants that this VM lent from its share. A grant counts as outstanding until its
// borrower has reported all of it as spent or returned, or until `expiresAt`, when it has
// expired on every VM.
class LentGrants
{
public:
  void Add(std::uint64_t aId,
           const std::string& aBorrower,
           std::uint64_t aRequestId,
           TokenThousandths aAmount,
           BootTime aExpiresAt);
  // True when this request was already answered with a grant that is outstanding.
  bool HasGrantFor(const std::string& aBorrower, std::uint64_t aRequestId) const;
  // Extends a grant. Returns its outstanding amount, or 0 when the grant is unknown.
  TokenThousandths Renew(std::uint64_t aId, const std::string& aBorrower, BootTime aExpiresAt);
  // Records the borrower's report, which holds the totals of the grant so far. Returns the
  // amount returned unused since its last report, or 0 for a grant that isn't outstanding.
  TokenThousandths RecordUsage(std::uint64_t aId,
                               const std::string& aBorrower,
                               TokenThousandths aSpent,
                               TokenThousandths aReturned);
  // Drops expired grants.
  void Expire(BootTime aNow);

  TokenThousandths Outstanding() const;
  // When the next grant expires; the largest time when none is outstanding.
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
