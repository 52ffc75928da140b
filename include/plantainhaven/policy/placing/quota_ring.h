#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace plantainhaven::placing {

// Length of the quota ring. The ring belongs to the VMs in disjoint ranges, and the limit of
// every client account is cut into units that lie on it.
constexpr std::uint32_t kQuotaRingSize = 1'000'000;

// A range of the quota ring, without its end.
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

// The range of one VM, as the store keeps it.
struct VmQuota
{
  std::string vm;
  QuotaRange range;
};

// How `aGiver` splits its range among the VMs that have none, so that all VMs end up with
// about the same; nothing when it has too little to give. The result holds the new ranges of
// the giver, which comes first, and of at most `aMost` that receive.
std::optional<std::vector<VmQuota>>
SplitQuota(const std::vector<VmQuota>& aParts, const std::string& aGiver, std::size_t aMost);

// Positions on the ring of the equal units into which an account's limit is cut. A unit is
// the smallest part that a VM holds: large enough to give out whole tokens however many VMs
// there are. Evenly spaced, so that VMs with like ranges hold like parts of a large account.
std::vector<std::uint32_t>
UnitPositions(std::string_view aAccount, double aBurst);

// The part of an account's units that lie in a range, 0 to 1.
double
HeldFraction(const std::vector<std::uint32_t>& aPositions, const QuotaRange& aRange);

// What is left of a range without the others, in one piece: the longest one.
QuotaRange
LongestRemainder(const QuotaRange& aRange, std::vector<QuotaRange> aOthers);

} // namespace plantainhaven::placing
