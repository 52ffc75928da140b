#include "plantainhaven/policy/placing/quota_ring.h"

#include "plantainhaven/policy/placing/rendezvous.h"

#include <algorithm>
#include <cmath>

namespace plantainhaven::placing {
namespace {

// Burst of a unit in tokens: enough for several requests that arrive at once.
constexpr double kUnitBurst = 6;
// An account has at least this many units, provided that each has a burst of kMinUnitBurst, so
// that the failure of one VM leaves the units of the others usable.
constexpr double kMinUnits = 4;
constexpr double kMinUnitBurst = 2;
constexpr double kMaxUnits = 64;

} // namespace

std::optional<std::vector<VmQuota>>
SplitQuota(const std::vector<VmQuota>& aParts, const std::string& aDonor, std::size_t aMaxReceivers)
{
  const auto donor = std::find_if(
    aParts.begin(), aParts.end(), [&aDonor](const VmQuota& aPart) { return aPart.vm == aDonor; });
  if (donor == aParts.end() || aParts.size() < 2) {
    return std::nullopt;
  }
  const auto target = kQuotaRingSize / static_cast<std::uint32_t>(aParts.size());
  std::vector<VmQuota> changed{ *donor };
  for (const VmQuota& part : aParts) {
    const bool canDonate = changed.front().range.Length() >= 2 * target;
    if (part.range.IsEmpty() && canDonate && changed.size() <= aMaxReceivers) {
      const std::uint32_t end = changed.front().range.end;
      changed.front().range.end = end - target;
      changed.push_back({ part.vm, { end - target, end } });
    }
  }
  return changed.size() < 2 ? std::nullopt : std::optional(changed);
}

std::vector<std::uint32_t>
UnitPositions(std::string_view aAccount, double aBurst)
{
  const double minUnits = std::clamp(std::floor(aBurst / kMinUnitBurst), 1.0, kMinUnits);
  const double count = std::clamp(std::floor(aBurst / kUnitBurst), minUnits, kMaxUnits);
  const double step = kQuotaRingSize / count;
  const auto first = static_cast<double>(StableHash(aAccount) % kQuotaRingSize);
  std::vector<std::uint32_t> positions;
  positions.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < static_cast<int>(count); ++i) {
    positions.push_back(static_cast<std::uint32_t>(first + i * step) % kQuotaRingSize);
  }
  return positions;
}

double
HeldFraction(const std::vector<std::uint32_t>& aPositions, const QuotaRange& aRange)
{
  const auto held =
    std::count_if(aPositions.begin(), aPositions.end(), [&aRange](std::uint32_t aPosition) {
      return aRange.Contains(aPosition);
    });
  return aPositions.empty() ? 0
                            : static_cast<double>(held) / static_cast<double>(aPositions.size());
}

QuotaRange
LongestRemainder(const QuotaRange& aRange, std::vector<QuotaRange> aOthers)
{
  std::erase_if(aOthers, [](const QuotaRange& aOther) { return aOther.IsEmpty(); });
  std::sort(aOthers.begin(), aOthers.end(), [](const QuotaRange& aLeft, const QuotaRange& aRight) {
    return aLeft.begin < aRight.begin;
  });
  // Ends the gap after the last range.
  aOthers.push_back({ aRange.end, aRange.end });
  QuotaRange longest;
  std::uint32_t begin = aRange.begin;
  for (const QuotaRange& other : aOthers) {
    const QuotaRange gap{ begin, std::min(other.begin, aRange.end) };
    if (gap.Length() > longest.Length()) {
      longest = gap;
    }
    begin = std::max(begin, other.end);
  }
  return longest;
}

} // namespace plantainhaven::placing
