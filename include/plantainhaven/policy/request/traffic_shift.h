#pragma once

#include "plantainhaven/common/time.h"
#include "plantainhaven/policy/request/request_tables.h"

#include <string>
#include <vector>

namespace plantainhaven {

// How far one VM has moved a service's traffic towards the target split. In every
// window as long as the policy's interval the position moves by at most its cap, so the
// traffic of the fleet, a mean of its VMs' positions, does too. Not thread-safe; reads no
// clock.
class TrafficShift
{
public:
  // Starts at `aStart`: the peers' position, or the target itself on a fresh fleet.
  // Percents that don't sum to 100 are scaled.
  TrafficShift(std::vector<RegionWeight> aStart, BootTime aNow);

  // Moves towards the policy's target without the lost regions, as far as the time since
  // the last call allows. Time beyond a tenth of the interval counts as that, so that
  // a VM that was paused doesn't leap. With every region of the target lost it stays.
  void Advance(const SplitPolicy& aPolicy,
               const std::vector<std::string>& aLostRegions,
               BootTime aNow);
  const std::vector<RegionWeight>& Weights() const;
  // The region that a draw from [0, 1) falls on.
  const std::string& RegionAt(double aDraw) const;

private:
  std::vector<RegionWeight> weights;
  BootTime movedAt;
};

// Percentage points that lie between two splits: half the sum of the differences.
double
PointsBetween(const std::vector<RegionWeight>& aLeft, const std::vector<RegionWeight>& aRight);

} // namespace plantainhaven
