#include "plantainhaven/policy/placing/quota_ring.h"

#include "plantainhaven/policy/placing/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <utility>

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

std::uint32_t
TotalLength(const QuotaRanges& aRanges)
{
  std::uint32_t length = 0;
  for (const QuotaRange& range : aRanges) {
    length += range.Length();
  }
  return length;
}

QuotaRanges
Merged(QuotaRanges aRanges)
{
  std::erase_if(aRanges, [](const QuotaRange& aRange) { return aRange.IsEmpty(); });
  std::sort(aRanges.begin(), aRanges.end(), [](const QuotaRange& aLeft, const QuotaRange& aRight) {
    return aLeft.begin < aRight.begin;
  });
  QuotaRanges merged;
  for (const QuotaRange& range : aRanges) {
    if (!merged.empty() && range.begin <= merged.back().end) {
      merged.back().end = std::max(merged.back().end, range.end);
    } else {
      merged.push_back(range);
    }
  }
  return merged;
}

QuotaRanges
Without(const QuotaRanges& aRanges, const QuotaRanges& aRemoved)
{
  QuotaRanges left;
  auto removed = aRemoved.begin();
  for (const QuotaRange& range : aRanges) {
    std::uint32_t begin = range.begin;
    while (removed != aRemoved.end() && removed->end <= begin) {
      ++removed;
    }
    for (auto next = removed; next != aRemoved.end() && next->begin < range.end; ++next) {
      left.push_back({ begin, next->begin });
      begin = std::max(begin, next->end);
    }
    left.push_back({ begin, range.end });
  }
  return Merged(std::move(left));
}

QuotaRanges
Common(const QuotaRanges& aLeft, const QuotaRanges& aRight)
{
  return Without(aLeft, Without(aLeft, aRight));
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
HeldFraction(const std::vector<std::uint32_t>& aPositions, const QuotaRanges& aRanges)
{
  const auto held =
    std::count_if(aPositions.begin(), aPositions.end(), [&aRanges](std::uint32_t aPosition) {
      return std::any_of(aRanges.begin(), aRanges.end(), [aPosition](const QuotaRange& aRange) {
        return aRange.Contains(aPosition);
      });
    });
  return aPositions.empty() ? 0
                            : static_cast<double>(held) / static_cast<double>(aPositions.size());
}

} // namespace plantainhaven::placing
