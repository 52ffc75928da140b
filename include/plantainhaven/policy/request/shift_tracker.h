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

// How the region of a request is chosen.
struct RegionChoice
{
  enum class Kind
  {
    kNearest,  // No policy: the nearest region with spare capacity.
    kWeighted, // A region drawn by the weights of the current split.
    kUnknown,  // The current split isn't known yet.
  };
  Kind kind = Kind::kNearest;
  // Set for kWeighted only.
  std::string region = {};
};

struct ShiftTrackerOptions
{
  std::string ownRegion;
  // How long a process waits after its start for the current splits of its peers.
  std::chrono::nanoseconds peerWait{ std::chrono::seconds(2) };
};

// Tracks the current traffic split of each service that has a traffic policy, as far as this
// VM has shifted it. The split starts where the traffic is: at the peers' split after a
// restart, in this VM's own region when a policy is added to a service that already has
// traffic, and otherwise at the target. Not thread-safe; reads no clock.
class ShiftTracker
{
public:
  explicit ShiftTracker(ShiftTrackerOptions aOptions);
  ~ShiftTracker();
  ShiftTracker(const ShiftTracker&) = delete;
  ShiftTracker& operator=(const ShiftTracker&) = delete;

  // Applies the traffic policies of a configuration.
  void Update(const RequestTables& aTables, BootTime aNow);
  // Applies the current splits that peers report. `aHasPeers` is true when other VMs are alive
  // that may still report theirs.
  void OnPeerSplits(const std::vector<ServiceSplit>& aSplits, bool aHasPeers, BootTime aNow);
  // Moves every split towards its target as far as the cap allows.
  void Advance(const ServerChooser& aServers, BootTime aNow);
  // Chooses the region of one request. `aDraw` is a random number in [0, 1).
  RegionChoice Choose(std::string_view aService, double aDraw);
  // Returns the current splits to report to peers.
  std::vector<ServiceSplit> CurrentSplits() const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace plantainhaven
