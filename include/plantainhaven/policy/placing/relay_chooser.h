#pragma once

#include "plantainhaven/common/time.h"
#include "plantainhaven/policy/placing/routing.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace plantainhaven::placing {

// A VM that sends requests of other VMs on to backend servers.
struct RelayVm
{
  std::string name;
  // "ADDRESS:PORT" where it accepts requests of other VMs.
  std::string endpoint;
  std::string region;
  // Failure domains of backend servers to which it has no path.
  std::set<std::string> lostDomains;
  // Requests of other VMs that it is handling, as it last reported.
  unsigned requests = 0;
};

// Where a request is to be relayed.
struct RelayTarget
{
  std::string region;
  std::string failureDomain;
};

// Chooses the VM that relays a request. VMs of this VM's region come first, then those of the
// backend server's region, then the others. Within these, the less loaded of two random VMs is
// chosen. Not thread-safe; reads no clock.
class RelayChooser
{
public:
  explicit RelayChooser(std::string aRegion);

  void SetRelays(std::vector<RelayVm> aRelays);
  // Returns nothing when no VM in an allowed region has a path to the failure domain.
  std::optional<RelayVm> Choose(const RelayTarget& aTarget,
                                const AllowedRegions& aAllowed,
                                std::mt19937_64& aRandom,
                                BootTime aNow) const;
  // Whether any VM has a path to the failure domain.
  bool HasPath(const std::string& aDomain) const;
  bool IsKnown(const std::string& aVm) const;
  void OnSent(const std::string& aVm);
  void OnEnded(const std::string& aVm);
  // The VM didn't accept a request; it isn't chosen for a short time.
  void OnRejected(const std::string& aVm, BootTime aNow);

private:
  int Preference(const RelayVm& aRelay, const RelayTarget& aTarget) const;
  unsigned LoadOf(const RelayVm& aRelay) const;

  std::string region;
  std::vector<RelayVm> relays;
  // Requests that this VM has in flight, by relaying VM.
  std::map<std::string, unsigned> inFlight;
  std::map<std::string, BootTime> pausedUntil;
};

} // namespace plantainhaven::placing
