#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace plantainhaven::placing {

// Length of the quota ring. Each VM owns a range of the ring, disjoint from the others, and the
// rate limit of each client account is divided into units at positions on the ring.
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

// The quota range of a VM, as recorded in the store.
struct VmQuota
{
  std::string vm;
  QuotaRange range;
};

// Splits the range of `aDonor` among the VMs that have none, so that all VMs own about equal
// ranges. Returns the new ranges, the donor's first and then those of at most `aMaxReceivers`
// receivers; std::nullopt if the donor's range is too small to split.
std::optional<std::vector<VmQuota>>
SplitQuota(const std::vector<VmQuota>& aParts,
           const std::string& aDonor,
           std::size_t aMaxReceivers);

// Positions on the ring of the equal units into which an account's limit is divided. A VM owns
// whole units only, and a unit is large enough to yield whole tokens for any number of VMs. The
// units are evenly spaced, so that VMs with ranges of equal length own about equal fractions of
// a large account.
std::vector<std::uint32_t>
UnitPositions(std::string_view aAccount, double aBurst);

// The fraction of an account's units that lie in a range, 0 to 1.
double
HeldFraction(const std::vector<std::uint32_t>& aPositions, const QuotaRange& aRange);

// The longest contiguous part of a range that none of the other ranges overlaps.
QuotaRange
LongestRemainder(const QuotaRange& aRange, std::vector<QuotaRange> aOthers);

} // namespace plantainhaven::placing
