#pragma once

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

namespace plantainhaven::placing {

// Capacity and demand of one region for one service.
struct RegionState
{
  std::string name;
  // Slots of the region's usable backend servers.
  double slots = 0;
  // Requests of the region's callers that run or wait, in any region.
  double demand = 0;
};

// Fraction of one region's requests that runs in the given region.
struct RegionShare
{
  std::string region;
  double fraction = 0;

  bool operator==(const RegionShare&) const = default;
};

// Splits the requests of `aHome`'s callers between regions. They stay in the home region while
// its utilization is below kHomeUtilization or below the utilization of all regions together.
// The rest goes to regions with spare slots, in proportion to these. If no region has any slots,
// everything stays in the home region. The fractions sum to one. The home region comes first,
// the others are sorted by name.
std::vector<RegionShare>
PlanRegions(const std::vector<RegionState>& aRegions, std::string_view aHome);

// Returns whether the utilization of all regions together is below kSpareUtilization.
bool
HasSpareCapacity(const std::vector<RegionState>& aRegions);

// Returns the regions with an assumed demand, for use before any demand is known: the same in
// each region and kAssumedUtilization of all slots in total.
std::vector<RegionState>
WithAssumedDemand(std::vector<RegionState> aRegions);

// Returns the fraction of requests whose region differs between two splits.
double
MovedFraction(const std::vector<RegionShare>& aBefore, const std::vector<RegionShare>& aAfter);

// Moves `aCurrent` towards `aTarget` so that at most the fraction `aStep` of the requests changes
// its region. If `aCurrent` is empty, returns the target unchanged.
std::vector<RegionShare>
StepTowards(const std::vector<RegionShare>& aCurrent,
            const std::vector<RegionShare>& aTarget,
            double aStep);

// Returns the region for a position from 0 to 1. Small changes of the fractions change the region
// of few positions. Empty if there are no shares.
std::string
RegionAt(const std::vector<RegionShare>& aShares, double aPosition);

// Utilization up to which a region keeps its own callers' requests; the remaining slots absorb
// bursts.
constexpr double kHomeUtilization = 0.6;
constexpr double kAssumedUtilization = 0.4;
// Utilization of all slots below which the regions have spare capacity.
constexpr double kSpareUtilization = 0.75;

} // namespace plantainhaven::placing
