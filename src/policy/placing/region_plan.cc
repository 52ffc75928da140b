#include "plantainhaven/policy/placing/region_plan.h"

#include <algorithm>
#include <cmath>

namespace plantainhaven::placing {
namespace {

double
FractionOf(const std::vector<RegionShare>& aShares, std::string_view aRegion)
{
  for (const RegionShare& share : aShares) {
    if (share.region == aRegion) {
      return share.fraction;
    }
  }
  return 0;
}

const RegionState*
Find(const std::vector<RegionState>& aRegions, std::string_view aName)
{
  const auto found = std::find_if(aRegions.begin(), aRegions.end(), [aName](const auto& aRegion) {
    return aRegion.name == aName;
  });
  return found == aRegions.end() ? nullptr : &*found;
}

double
FairUtilization(const std::vector<RegionState>& aRegions)
{
  double slots = 0;
  double demand = 0;
  for (const RegionState& region : aRegions) {
    slots += region.slots;
    demand += region.demand;
  }
  return slots > 0 ? std::max(kHomeUtilization, demand / slots) : 0;
}

double
SpareSlots(const RegionState& aRegion, double aUtilization)
{
  return std::max(0.0, aUtilization * aRegion.slots - aRegion.demand);
}

} // namespace

std::vector<RegionShare>
PlanRegions(const std::vector<RegionState>& aRegions, std::string_view aHome)
{
  std::vector<RegionShare> shares{ { std::string(aHome), 1.0 } };
  const RegionState* const home = Find(aRegions, aHome);
  const double utilization = FairUtilization(aRegions);
  const double homeSlots = home == nullptr ? 0 : home->slots;
  const double homeDemand = home == nullptr ? 0 : home->demand;
  if (utilization <= 0 || (homeSlots > 0 && homeDemand <= utilization * homeSlots)) {
    return shares;
  }
  const double keptFraction = homeDemand > 0 ? utilization * homeSlots / homeDemand : 0;
  double spareSlots = 0;
  for (const RegionState& region : aRegions) {
    spareSlots += region.name == aHome ? 0 : SpareSlots(region, utilization);
  }
  if (spareSlots <= 0) {
    return shares;
  }
  for (const RegionState& region : aRegions) {
    if (region.name != aHome) {
      shares.push_back(
        { region.name, (1 - keptFraction) * SpareSlots(region, utilization) / spareSlots });
    }
  }
  shares.front().fraction = keptFraction;
  std::sort(shares.begin() + 1, shares.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.region < aRight.region;
  });
  return shares;
}

bool
HasSpareCapacity(const std::vector<RegionState>& aRegions)
{
  double slots = 0;
  double demand = 0;
  for (const RegionState& region : aRegions) {
    slots += region.slots;
    demand += region.demand;
  }
  return demand < kSpareUtilization * slots;
}

std::vector<RegionState>
WithAssumedDemand(std::vector<RegionState> aRegions)
{
  double slots = 0;
  for (const RegionState& region : aRegions) {
    slots += region.slots;
  }
  for (RegionState& region : aRegions) {
    region.demand = kAssumedUtilization * slots / static_cast<double>(aRegions.size());
  }
  return aRegions;
}

double
MovedFraction(const std::vector<RegionShare>& aBefore, const std::vector<RegionShare>& aAfter)
{
  double gained = 0;
  double lost = 0;
  for (const RegionShare& share : aAfter) {
    gained += std::max(0.0, share.fraction - FractionOf(aBefore, share.region));
  }
  for (const RegionShare& share : aBefore) {
    lost += std::max(0.0, share.fraction - FractionOf(aAfter, share.region));
  }
  return std::max(gained, lost);
}

std::vector<RegionShare>
StepTowards(const std::vector<RegionShare>& aCurrent,
            const std::vector<RegionShare>& aTarget,
            double aStep)
{
  if (aCurrent.empty()) {
    return aTarget;
  }
  std::vector<RegionShare> next = aTarget;
  for (const RegionShare& share : aCurrent) {
    const bool isListed = std::any_of(next.begin(), next.end(), [&share](const auto& aOther) {
      return aOther.region == share.region;
    });
    if (!isListed) {
      next.push_back({ share.region, 0 });
    }
  }
  const double moved = MovedFraction(aCurrent, next);
  const double scale = moved > aStep ? aStep / moved : 1.0;
  for (RegionShare& share : next) {
    const double before = FractionOf(aCurrent, share.region);
    share.fraction = before + (share.fraction - before) * scale;
  }
  std::erase_if(next, [](const RegionShare& aShare) { return aShare.fraction < 1e-6; });
  std::sort(next.begin(), next.end(), [&aTarget](const auto& aLeft, const auto& aRight) {
    const std::string& home = aTarget.front().region;
    return std::pair(aLeft.region != home, aLeft.region) <
           std::pair(aRight.region != home, aRight.region);
  });
  return next;
}

std::string
RegionAt(const std::vector<RegionShare>& aShares, double aPosition)
{
  double sum = 0;
  for (const RegionShare& share : aShares) {
    sum += share.fraction;
    if (aPosition < sum) {
      return share.region;
    }
  }
  return aShares.empty() ? std::string() : aShares.back().region;
}

} // namespace plantainhaven::placing
