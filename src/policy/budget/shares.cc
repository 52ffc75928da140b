#include "plantainhaven/policy/budget/shares.h"

namespace plantainhaven {

namespace {

constexpr std::uint64_t kFnvOffset = 14695981039346656037ULL;
constexpr std::uint64_t kFnvPrime = 1099511628211ULL;

std::uint64_t
Mix(std::uint64_t aHash, std::string_view aBytes)
{
  for (const char byte : aBytes) {
    aHash = (aHash ^ static_cast<unsigned char>(byte)) * kFnvPrime;
  }
  return aHash;
}

// Spreads the differences of the last bytes over the whole number.
std::uint64_t
Finish(std::uint64_t aHash)
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
  return Finish(Mix(hash, aMember.name));
}

bool
IsMember(const std::vector<BudgetMember>& aMembers, std::string_view aName)
{
  for (const BudgetMember& member : aMembers) {
    if (member.name == aName) {
      return true;
    }
  }
  return false;
}

// What each member holds whatever the demand.
Share
FloorOf(const BudgetSpec& aSpec, std::int64_t aMembers, std::int64_t aFloorThousandths)
{
  const std::int64_t parts = aMembers * 1000;
  Share floor;
  floor.capacity =
    aSpec.capacity / parts * aFloorThousandths + aSpec.capacity % parts * aFloorThousandths / parts;
  if (IsConcurrency(aSpec.id.type)) {
    floor.capacity -= floor.capacity % kOneToken;
  }
  if (floor.capacity < kOneToken) {
    return Share{};
  }
  floor.ratePerSecond = aSpec.ratePerSecond / parts * aFloorThousandths +
                        aSpec.ratePerSecond % parts * aFloorThousandths / parts;
  return floor;
}

} // namespace

bool
IsConcurrency(BudgetId::Type aType) noexcept
{
  return aType == BudgetId::REGION_SLOTS || aType == BudgetId::SERVER_CONNECTIONS;
}

std::string
HomeOf(const LedgerId& aId, const std::vector<BudgetMember>& aMembers)
{
  const BudgetMember* home = nullptr;
  std::uint64_t highest = 0;
  for (const BudgetMember& member : aMembers) {
    const std::uint64_t rank = Rank(aId, member);
    const bool preferred = home != nullptr && home->leaving && !member.leaving;
    const bool excluded = home != nullptr && !home->leaving && member.leaving;
    const bool higher = home == nullptr || rank > highest;
    if (preferred || (higher && !excluded)) {
      home = &member;
      highest = rank;
    }
  }
  return home == nullptr ? std::string{} : home->name;
}

Share
ShareOf(const BudgetSpec& aSpec,
        const std::vector<BudgetMember>& aMembers,
        std::string_view aSelf,
        std::int64_t aFloorThousandths)
{
  if (!IsMember(aMembers, aSelf)) {
    return Share{};
  }
  const auto members = static_cast<std::int64_t>(aMembers.size());
  const Share floor = FloorOf(aSpec, members, aFloorThousandths);
  if (HomeOf(aSpec.id, aMembers) != aSelf) {
    return floor;
  }
  const std::int64_t others = members - 1;
  return Share{ aSpec.ratePerSecond - others * floor.ratePerSecond,
                aSpec.capacity - others * floor.capacity };
}

} // namespace plantainhaven
