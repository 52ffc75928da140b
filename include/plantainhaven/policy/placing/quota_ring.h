#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace plantainhaven::placing {

// Length of the quota ring. Each VM owns ranges of the ring, disjoint from those of the others, and
// the rate limit of each client account is divided into units at positions on the ring.
constexpr std::uint32_t kQuotaRingSize = 1'000'000;

// A half-open range [begin, end) of the quota ring.
struct QuotaRange
{
  std::uint32_t begin = 0;
  std::uint32_t end = 0;

  bool operator==(const QuotaRange&) const = default;
  bool IsEmpty() const { return this->end <= this->begin; }
  std::uint32_t Length() const { return this->IsEmpty() ? 0 : this->end - this->begin; }
  bool Contains(std::uint32_t aPosition) const
  {
    return aPosition >= this->begin && aPosition < this->end;
  }
};

// Ranges that don't overlap, in ascending order and with a gap between any two.
using QuotaRanges = std::vector<QuotaRange>;

std::uint32_t
TotalLength(const QuotaRanges& aRanges);
// The positions that lie in any of the ranges, which may overlap and be in any order.
QuotaRanges
Merged(QuotaRanges aRanges);
// The positions of `aRanges` that don't lie in `aRemoved`.
QuotaRanges
Without(const QuotaRanges& aRanges, const QuotaRanges& aRemoved);
// The positions that lie in both.
QuotaRanges
Common(const QuotaRanges& aLeft, const QuotaRanges& aRight);

// Positions on the ring of the equal units into which an account's limit is divided. A VM owns
// whole units only, and a unit is large enough to yield whole tokens for any number of VMs. The
// units are evenly spaced, so that VMs with ranges of equal length own about equal fractions of
// a large account.
std::vector<std::uint32_t>
UnitPositions(std::string_view aAccount, double aBurst);

// The fraction of an account's units that lie in the ranges, 0 to 1.
double
HeldFraction(const std::vector<std::uint32_t>& aPositions, const QuotaRanges& aRanges);

} // namespace plantainhaven::placing
