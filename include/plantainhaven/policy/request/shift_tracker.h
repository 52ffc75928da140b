#pragma once

#include "plantainhaven/common/time.h"
#include "plantainhaven/policy/request/server_chooser.h"
#include "plantainhaven/policy/request/traffic_shift.h"

#include <chrono>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace plantainhaven {

// The split of one service's traffic.
struct ServiceSplit
{
  std::string service;
  std::vector<RegionWeight> weights;
};

// Where a service's requests may go now.
struct RegionChoice
{
  enum class Kind
  {
    kNearest,  // No policy: the nearest region with room.
    kWeighted, // The policy's position decides.
    kUnknown,  // The position isn't known yet.
  };
  Kind kind = Kind::kNearest;
  // The drawn region.
  std::string region = {};
};

struct ShiftTrackerOptions
{
  std::string ownRegion;
  // How long a process that has just started waits for its peers' positions.
  std::chrono::nanoseconds startWait{ std::chrono::seconds(2) };
};

// The positions of all services that have a traffic policy, as this VM has reached them.
// A position begins where the traffic is: with the peers after a restart; in this VM's
// own region when a policy comes to a service that already had traffic; else at the
// target. Not thread-safe; reads no clock.
class ShiftTracker
{
public:
  explicit ShiftTracker(ShiftTrackerOptions aOptions);
  ~ShiftTracker();
  ShiftTracker(const ShiftTracker&) = delete;
  ShiftTracker& operator=(const ShiftTracker&) = delete;

  // Takes the policies of a configuration.
  void Update(const RequestTables& aTables, BootTime aNow);
  // What peers report; `aPeers` says whether other VMs are alive that might.
  void OnPeerSplits(const std::vector<ServiceSplit>& aPositions, bool aPeers, BootTime aNow);
  // Moves every position as far as its cap allows.
  void Advance(const ServerChooser& aServers, BootTime aNow);
  // The region of one request; `aDraw` comes from [0, 1).
  RegionChoice Choose(std::string_view aService, double aDraw);
  // CurrentSplits for the peers.
  std::vector<ServiceSplit> CurrentSplits() const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace plantainhaven
