#pragma once

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

namespace plantainhaven::placing {

// What is known of one region for one service.
struct RegionState
{
  std::string name;
  // Slots of the backend servers that may be used there.
  double slots = 0;
  // Requests of the region's callers, running or waiting, wherever they run.
  double demand = 0;
};

// Part of a region's requests that runs in another region or in itself.
struct RegionShare
{
  std::string region;
  double fraction = 0;

  bool operator==(const RegionShare&) const = default;
};

// How the requests of `aHome`'s callers are best split. They stay at home while the home
// region is used less than kHomeUse or less than all regions together; the rest goes where
// room is left, in proportion to it. Without any slots everything stays at home. The parts
// sum to one and are sorted by region, the home region first.
std::vector<RegionShare>
PlanRegions(const std::vector<RegionState>& aRegions, std::string_view aHome);

// Whether demand leaves room to spare in all regions together.
bool
HasSpareCapacity(const std::vector<RegionState>& aRegions);

// The demand taken while none has been seen: all regions alike, at kFirstUse of all slots.
std::vector<RegionState>
WithAssumedDemand(std::vector<RegionState> aRegions);

// The part of all requests whose region differs between two splits.
double
MovedFraction(const std::vector<RegionShare>& aBefore, const std::vector<RegionShare>& aAfter);

// Moves `aCurrent` toward `aTarget`; at most `aStep` of all requests change their region.
// An empty `aCurrent` takes the target as it is.
std::vector<RegionShare>
StepTowards(const std::vector<RegionShare>& aCurrent,
            const std::vector<RegionShare>& aTarget,
            double aStep);

// The region for a position from 0 to 1; the same position keeps its region while the
// parts change little.
std::string
RegionAt(const std::vector<RegionShare>& aShares, double aPosition);

// Use of its slots up to which a region keeps its own callers' requests; the rest is room
// for bursts.
constexpr double kHomeUse = 0.6;
constexpr double kFirstUse = 0.4;
// Use of all slots below which there is room to spare.
constexpr double kSpareUse = 0.75;

} // namespace plantainhaven::placing
