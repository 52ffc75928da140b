#include "plantainhaven/policy/budget/shares.h"

#include <algorithm>

namespace plantainhaven {

namespace {

constexpr std::uint64_t kFnvOffset = 14695981039346656037ULL;
// With smaller shares, tokens would stay unused on one VM while another VM refuses requests.
constexpr TokenThousandths kMinBurstPerHolder = 8 * kOneToken;
constexpr TokenThousandths kMinSlotsPerHolder = 2 * kOneToken;
constexpr std::uint64_t kFnvPrime = 1099511628211ULL;

std::uint64_t
Mix(std::uint64_t aHash, std::string_view aBytes)
{
  for (const char byte : aBytes) {
    aHash = (aHash ^ static_cast<unsigned char>(byte)) * kFnvPrime;
  }
  return aHash;
}

// The finalizer of MurmurHash3: spreads the differences of the last bytes over all bits.
std::uint64_t
Finalize(std::uint64_t aHash)
{
  aHash ^= aHash >> 33;
  aHash *= 0xff51afd7ed558ccdULL;
  aHash ^= aHash >> 33;
  aHash *= 0xc4ceb9fe1a85ec53ULL;
  return aHash ^ (aHash >> 33);
}

std::uint64_t
Rank(const LedgerId& aId, const BudgetMember& aMember)
{
  std::uint64_t hash = Mix(kFnvOffset, std::to_string(aId.type));
  hash = Mix(hash, aId.name);
  hash = Mix(hash, "\n");
  return Finalize(Mix(hash, aMember.name));
}

// The sort key of a member when the holders of a budget are chosen.
struct Candidate
{
  std::size_t index = 0;
  bool leaving = false;
  std::uint64_t rank = 0;
};

bool
ComesBefore(const Candidate& aLeft, const Candidate& aRight)
{
  if (aLeft.leaving != aRight.leaving) {
    return !aLeft.leaving;
  }
  return aLeft.rank > aRight.rank;
}

std::vector<Candidate>
Ranked(const LedgerId& aId, const std::vector<BudgetMember>& aMembers, std::size_t aCount)
{
  std::vector<Candidate> ranked;
  ranked.reserve(aMembers.size());
  for (std::size_t i = 0; i < aMembers.size(); ++i) {
    ranked.push_back(Candidate{ i, aMembers[i].leaving, Rank(aId, aMembers[i]) });
  }
  const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(aCount);
  std::partial_sort(ranked.begin(), end, ranked.end(), ComesBefore);
  ranked.resize(aCount);
  return ranked;
}

// aAmount * aFloorThousandths / 1000 / aParts without overflow.
TokenThousandths
Part(TokenThousandths aAmount, std::int64_t aFloorThousandths, std::int64_t aParts)
{
  const std::int64_t divisor = aParts * 1000;
  return aAmount / divisor * aFloorThousandths + aAmount % divisor * aFloorThousandths / divisor;
}

// The number of members that get an even share: fewer when the shares would be too small.
std::int64_t
HolderCount(const BudgetSpec& aSpec, std::size_t aMembers, std::int64_t aFloorThousandths)
{
  const TokenThousandths minimum =
    IsConcurrency(aSpec.id.type) ? kMinSlotsPerHolder : kMinBurstPerHolder;
  const std::int64_t parts = Part(aSpec.capacity, aFloorThousandths, 1) / minimum;
  return std::clamp<std::int64_t>(parts, 1, static_cast<std::int64_t>(aMembers));
}

// The even share that each holder has regardless of demand.
Share
FloorOf(const BudgetSpec& aSpec, std::int64_t aHolders, std::int64_t aFloorThousandths)
{
  Share floor;
  floor.capacity = Part(aSpec.capacity, aFloorThousandths, aHolders);
  if (IsConcurrency(aSpec.id.type)) {
    floor.capacity -= floor.capacity % kOneToken;
  }
  floor.ratePerSecond = Part(aSpec.ratePerSecond, aFloorThousandths, aHolders);
  return floor;
}

} // namespace

bool
IsConcurrency(BudgetId::Type aType) noexcept
{
  return aType == BudgetId::REGION_SLOTS || aType == BudgetId::SERVER_CONNECTIONS;
}

std::vector<std::size_t>
HoldersOf(const BudgetSpec& aSpec,
          const std::vector<BudgetMember>& aMembers,
          std::int64_t aFloorThousandths)
{
  std::vector<std::size_t> holders;
  if (aMembers.empty()) {
    return holders;
  }
  const std::int64_t count = HolderCount(aSpec, aMembers.size(), aFloorThousandths);
  for (const Candidate& candidate : Ranked(aSpec.id, aMembers, static_cast<std::size_t>(count))) {
    holders.push_back(candidate.index);
  }
  return holders;
}

Share
ShareOf(const BudgetSpec& aSpec,
        const std::vector<BudgetMember>& aMembers,
        std::string_view aSelf,
        std::int64_t aFloorThousandths)
{
  const std::vector<std::size_t> holders = HoldersOf(aSpec, aMembers, aFloorThousandths);
  for (std::size_t i = 0; i < holders.size(); ++i) {
    if (aMembers[holders[i]].name != aSelf) {
      continue;
    }
    const auto count = static_cast<std::int64_t>(holders.size());
    const Share floor = FloorOf(aSpec, count, aFloorThousandths);
    if (i > 0) {
      return floor;
    }
    return Share{ aSpec.ratePerSecond - (count - 1) * floor.ratePerSecond,
                  aSpec.capacity - (count - 1) * floor.capacity };
  }
  return Share{};
}

} // namespace plantainhaven
