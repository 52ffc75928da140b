#pragma once

#include "plantainhaven/common/time.h"
#include "plantainhaven/policy/placing/region_plan.h"
#include "plantainhaven/policy/placing/routing.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace plantainhaven::placing {

// How a send to a backend server ended.
enum class SendOutcome
{
  kServed,       // A whole response that isn't the server's fault.
  kFailed,       // A 5xx of the server, or a response that can't be used.
  kShed,         // The server said that it didn't run the request.
  kMisdirected,  // Another server has the address now.
  kNoConnection, // No connection could be had, so nothing was sent.
  kBroken,       // The connection ended before the response did.
  kTimeout,      // No response came in time.
  kAbandoned,    // The caller left or another send was faster.
};

// What a backend server says of itself in a response.
struct ServerLoad
{
  int running = 0;
  int waiting = 0;
  int slots = 0;
};

// What the choice of a backend server depends on.
struct PlacingRequest
{
  std::string_view service;
  // Hash of the object that the request concerns.
  std::uint64_t object = 0;
  AllowedRegions allowed;
  // The response is large: a server of this VM's failure domain goes first.
  bool isLarge = false;
  // Ids of backend servers that were tried already.
  const std::vector<std::string>* excluded = nullptr;
};

enum class PlacingState
{
  kSend,     // `server` has room.
  kBusy,     // Servers could be used but have no room now.
  kNoServer, // No server may be used.
};

struct Placing
{
  PlacingState state = PlacingState::kNoServer;
  // The server to use, or with kBusy the one whose room the request waits for. Valid until
  // the next change of the placement.
  const BackendServer* server = nullptr;
};

// Another VM, as far as the pace for cold servers depends on it.
struct PlacingPeer
{
  std::string name;
  std::string region;
};

// What is believed of a backend server.
struct ServerStatus
{
  std::string id;
  std::string service;
  std::string region;
  // "ready", or why it gets nothing or less.
  const char* state = "ready";
  double load = 0;
  double slots = 0;
};

// Chooses backend servers. Requests for the same object meet the same server from every VM
// of a region, so that it knows the object; the next ones in the object's order share an
// object whose load is too large for one server. Servers that fail or are slow get less, cold ones
// only what they stand, summed over all VMs. Not thread-safe; reads no clock.
class Placement
{
public:
  // The name and place of this VM.
  Placement(std::string aSelf, std::string aRegion, std::string aFailureDomain = {});
  ~Placement();
  Placement(const Placement&) = delete;
  Placement& operator=(const Placement&) = delete;

  // Takes over what is known of all servers at `aReadAt`; counts of a server that stays
  // are kept, those of one that has started anew are not.
  void SetServers(const std::vector<BackendServer>& aServers, BootTime aReadAt);
  void SetServices(const std::unordered_map<std::string, Service>& aServices);
  // Failure domains that are being emptied.
  void SetAvoidedDomains(const std::vector<std::string>& aDomains, BootTime aNow);
  // All VMs that may send, this one included.
  void SetPeers(std::vector<PlacingPeer> aPeers);
  // How requests for a service that came in here are split between regions.
  void SetPlan(const std::string& aService, std::vector<RegionShare> aPlan);
  // Whether all regions together have room to spare: then what finds its region full may run
  // in another one. Otherwise it waits, since the servers there know other objects.
  void SetSpareCapacity(const std::string& aService, bool aHasSpareCapacity);

  // A request for the object has come in; it may be offered to Choose() many times.
  void OnRequest(std::uint64_t aObject, BootTime aNow);
  Placing Choose(const PlacingRequest& aRequest, BootTime aNow);
  // A request is sent to a server that Choose() named.
  void OnSent(const std::string& aServer, BootTime aNow);
  void OnEnded(const std::string& aServer,
               SendOutcome aOutcome,
               std::chrono::milliseconds aTook,
               BootTime aNow);
  void OnLoad(const std::string& aServer, const ServerLoad& aLoad, BootTime aNow);
  // Another VM has seen so many requests at the server whose id has this hash.
  void OnPeerLoad(std::uint64_t aServerHash, int aRequests, BootTime aNow);

  // Slots of usable servers by region.
  std::vector<RegionState> Regions(const std::string& aService, BootTime aNow) const;
  std::vector<std::string> ServiceNames() const;
  // Mean time of a response of the service; zero while none came.
  std::chrono::milliseconds MeanResponseTime(std::string_view aService) const;
  std::size_t ServerCount() const;
  std::vector<ServerStatus> ServerStatuses(BootTime aNow) const;
  // Whether a server is known and may get requests.
  bool MayUse(const std::string& aServer, BootTime aNow) const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace plantainhaven::placing
