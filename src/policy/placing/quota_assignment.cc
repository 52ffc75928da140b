#include "plantainhaven/policy/placing/quota_assignment.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace plantainhaven::placing {
namespace {

const QuotaRanges kWholeRing{ { 0, kQuotaRingSize } };

// Ranges are cut into pieces of at least this length, which bounds the number of ranges.
constexpr std::uint32_t kMinPiece = kQuotaRingSize / 4096;

bool
IsAdjacent(const QuotaRanges& aRanges, const QuotaRange& aRange)
{
  return std::any_of(aRanges.begin(), aRanges.end(), [&aRange](const QuotaRange& aOther) {
    return aOther.end == aRange.begin || aOther.begin == aRange.end;
  });
}

} // namespace

QuotaAssignment
QuotaAssignment::Whole(const std::string& aOwner)
{
  QuotaAssignment assignment;
  assignment.owners[aOwner] = kWholeRing;
  return assignment;
}

QuotaRanges
QuotaAssignment::RangesOf(const std::string& aVm) const
{
  const auto found = this->owners.find(aVm);
  return found == this->owners.end() ? QuotaRanges() : found->second;
}

std::uint32_t
QuotaAssignment::LengthOf(const std::string& aVm) const
{
  const auto found = this->owners.find(aVm);
  return found == this->owners.end() ? 0 : TotalLength(found->second);
}

QuotaRanges
QuotaAssignment::Unowned() const
{
  QuotaRanges owned;
  for (const auto& [vm, ranges] : this->owners) {
    owned.insert(owned.end(), ranges.begin(), ranges.end());
  }
  return Without(kWholeRing, Merged(std::move(owned)));
}

void
QuotaAssignment::Release(const QuotaRanges& aRanges)
{
  for (auto& [vm, ranges] : this->owners) {
    ranges = Without(ranges, aRanges);
  }
  std::erase_if(this->owners, [](const auto& aEntry) { return aEntry.second.empty(); });
}

void
QuotaAssignment::Assign(const QuotaRanges& aRanges, const std::string& aOwner)
{
  if (TotalLength(aRanges) == 0) {
    return;
  }
  this->Release(aRanges);
  QuotaRanges& ranges = this->owners[aOwner];
  ranges.insert(ranges.end(), aRanges.begin(), aRanges.end());
  ranges = Merged(std::move(ranges));
}

void
QuotaAssignment::Distribute(const QuotaRanges& aRanges, const std::vector<std::string>& aHeirs)
{
  if (aHeirs.empty()) {
    return;
  }
  const auto equalPart = kQuotaRingSize / static_cast<std::uint32_t>(aHeirs.size());
  this->Release(aRanges);
  for (QuotaRange rest : aRanges) {
    while (!rest.IsEmpty()) {
      const auto order = [this, &rest](const std::string& aVm) {
        const QuotaRanges owned = this->RangesOf(aVm);
        return std::tuple(TotalLength(owned), !IsAdjacent(owned, rest), aVm);
      };
      const std::string& heir = *std::min_element(
        aHeirs.begin(), aHeirs.end(), [&order](const auto& aLeft, const auto& aRight) {
          return order(aLeft) < order(aRight);
        });
      const std::uint32_t owned = this->LengthOf(heir);
      const std::uint32_t missing = equalPart > owned ? equalPart - owned : 0;
      const std::uint32_t piece = std::max({ missing, equalPart / 2, kMinPiece });
      const std::uint32_t taken =
        rest.Length() <= missing + equalPart ? rest.Length() : std::min(piece, rest.Length());
      this->Assign({ { rest.begin, rest.begin + taken } }, heir);
      rest.begin += taken;
    }
  }
}

QuotaRanges
QuotaAssignment::LastRangesOf(const std::string& aVm, std::uint32_t aLength) const
{
  QuotaRanges taken;
  const QuotaRanges ranges = this->RangesOf(aVm);
  std::uint32_t left = aLength;
  for (auto range = ranges.rbegin(); range != ranges.rend() && left > 0; ++range) {
    const std::uint32_t length = std::min(left, range->Length());
    taken.push_back({ range->end - length, range->end });
    left -= length;
  }
  return Merged(std::move(taken));
}

QuotaRanges
QuotaAssignment::Share(const std::string& aDonor,
                       const std::vector<std::string>& aReceivers,
                       std::size_t aVmCount)
{
  QuotaRanges given;
  const auto equalPart =
    kQuotaRingSize / static_cast<std::uint32_t>(std::max<std::size_t>(aVmCount, 1));
  const std::uint32_t least = std::max(equalPart / 2, kMinPiece);
  for (const std::string& vm : aReceivers) {
    const std::uint32_t donated = this->LengthOf(aDonor);
    const std::uint32_t owned = this->LengthOf(vm);
    if (vm == aDonor || owned >= least || donated < equalPart + least) {
      continue;
    }
    const QuotaRanges part =
      this->LastRangesOf(aDonor, std::min(equalPart - owned, donated - equalPart));
    this->Assign(part, vm);
    given.insert(given.end(), part.begin(), part.end());
  }
  return Merged(std::move(given));
}

} // namespace plantainhaven::placing
