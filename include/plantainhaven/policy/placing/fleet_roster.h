#pragma once

#include "plantainhaven/common/time.h"
#include "plantainhaven/policy/placing/rate_sharing.h"

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace plantainhaven::placing {

// The VMs among which rates that bind the whole fleet are divided. A VM belongs to the fleet as
// soon as the store lists it or a message of it arrives. A VM that falls silent still belongs to
// it, since it may be running in another part of a network partition. Not thread-safe; reads no
// clock.
class FleetRoster
{
public:
  // A silent VM is taken for gone after this time if more than half of the VMs that were ever
  // heard are still heard.
  static constexpr std::chrono::seconds kRemovalDelay{ 120 };
  // A VM counts as heard for this long after its last message.
  static constexpr std::chrono::seconds kHeardFor{ 5 };

  // Records a VM that the store lists.
  void OnListed(const std::string& aName, const std::string& aRegion, BootTime aNow);
  // Records a message of a VM.
  void OnHeard(const std::string& aName, const std::string& aRegion, BootTime aNow);
  // Returns the other VMs of the fleet.
  std::vector<PlacingPeer> Members(BootTime aNow);

private:
  struct Entry
  {
    std::string region;
    // When the VM was last heard, or first listed if it was never heard.
    BootTime seenAt{};
    bool wasHeard = false;
    bool isRemoved = false;
  };

  bool HearsMajority(BootTime aNow) const;

  std::map<std::string, Entry> entries;
};

} // namespace plantainhaven::placing
