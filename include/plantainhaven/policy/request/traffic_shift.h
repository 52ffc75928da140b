#pragma once

#include "plantainhaven/common/time.h"
#include "plantainhaven/policy/request/request_tables.h"

#include <string>
#include <vector>

namespace plantainhaven {

// The current split of a service's traffic at one VM, which moves towards the target split.
// In every time window as long as the policy's interval it changes by at most the cap.
// The split of the fleet is a mean of the VMs' splits, so it has the same limit. Not
// thread-safe; reads no clock.
class TrafficShift
{
public:
  // Starts with the split `aStart`: the peers' current split, or the target itself in a new
  // fleet. Percentages that don't sum to 100 are scaled.
  TrafficShift(std::vector<RegionWeight> aStart, BootTime aNow);

  // Moves towards the policy's target without the unavailable regions, as far as the time
  // since the last call allows. At most a tenth of the interval counts as elapsed time, so
  // that the split doesn't jump after the VM was paused. The split stays unchanged when every
  // region of the target is unavailable.
  void Advance(const SplitPolicy& aPolicy,
               const std::vector<std::string>& aUnavailableRegions,
               BootTime aNow);
  const std::vector<RegionWeight>& Weights() const;
  // Returns the region for a random number in [0, 1), in proportion to the weights.
  const std::string& PickRegion(double aDraw) const;

private:
  std::vector<RegionWeight> weights;
  BootTime lastAdvance;
};

// Returns the distance of two splits in percentage points: half the sum of the absolute
// differences.
double
SplitDistance(const std::vector<RegionWeight>& aLeft, const std::vector<RegionWeight>& aRight);

} // namespace plantainhaven
