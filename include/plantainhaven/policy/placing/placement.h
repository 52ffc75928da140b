#pragma once

#include "plantainhaven/common/time.h"
#include "plantainhaven/policy/placing/limit_rotation.h"
#include "plantainhaven/policy/placing/rate_sharing.h"
#include "plantainhaven/policy/placing/region_plan.h"
#include "plantainhaven/policy/placing/routing.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace plantainhaven::placing {

// Result of an attempt at a backend server.
enum class SendOutcome
{
  kServed,       // A complete response that isn't a server error.
  kFailed,       // A 5xx status or an unusable response.
  kShed,         // The server rejected the request without running it.
  kMisdirected,  // Another server now has this address.
  kNoConnection, // No connection was available, so nothing was sent.
  kBroken,       // The connection closed before the response was complete.
  kTimeout,      // No response arrived before the timeout.
  kAbandoned,    // The caller disconnected or another attempt finished first.
  kNotRelayed,   // The VM that should have relayed the request rejected it; nothing was sent.
};

// Load that a backend server reports in a response, in requests.
struct ServerLoad
{
  int running = 0;
  int waiting = 0;
  int slots = 0;
};

// Inputs for the choice of a backend server.
struct PlacingRequest
{
  std::string_view service;
  // Hash of the object that the request concerns.
  std::uint64_t object = 0;
  AllowedRegions allowed;
  // The response is large, so a server in this VM's failure domain is preferred.
  bool isLarge = false;
  // Ids of backend servers that were already tried.
  const std::vector<std::string>* excluded = nullptr;
};

enum class PlacingState
{
  kSend,     // `server` has a free slot.
  kBusy,     // Usable servers exist, but none has a free slot now.
  kLimited,  // The usable servers name rate limits, and this VM's parts of them are used up.
  kNoServer, // No server is usable.
};

struct Placing
{
  PlacingState state = PlacingState::kNoServer;
  // The server to use, or with kBusy the one for which the request should wait; null if there
  // is none. Valid until the next change of the placement.
  const BackendServer* server = nullptr;
  // With kLimited: the time until a rate limit admits a request.
  std::chrono::milliseconds retryAfter{ 0 };
};

// This VM's current view of a backend server.
struct ServerStatus
{
  std::string id;
  std::string service;
  std::string region;
  // "ready", or the reason why it gets no or fewer requests.
  const char* state = "ready";
  // Estimated requests that run or wait on the server.
  double load = 0;
  // Slots that the placement uses; fewer than reported for a slow server.
  double slots = 0;
  // Requests per second that the server accepts from all VMs together, if it names a limit.
  std::optional<double> limit;
};

// Chooses backend servers by rendezvous hashing. All VMs of a region send requests for an
// object to the same server, which handles objects faster that it has seen recently. An object
// whose load is too large for one server is spread over the next servers in its rank order.
// Failing and slow servers get fewer requests. Cold servers get no more than their warm-up rate and
// servers that name a rate limit no more than that, summed over all VMs. Not thread-safe; reads no
// clock.
class Placement
{
public:
  // Takes the name, region and failure domain of this VM.
  Placement(std::string_view aSelf, std::string aRegion, std::string aFailureDomain = {});
  ~Placement();
  Placement(const Placement&) = delete;
  Placement& operator=(const Placement&) = delete;

  // Replaces the list of servers by the one read at `aReadAt`. Statistics of a server are
  // kept unless its process has restarted.
  void SetServers(const std::vector<BackendServer>& aServers, BootTime aReadAt);
  void SetServices(const std::unordered_map<std::string, Service>& aServices);
  // Sets the failure domains that are being drained.
  void SetAvoidedDomains(const std::vector<std::string>& aDomains, BootTime aNow);
  // Sets the failure domains to whose servers no request can be sent.
  void SetUnreachableDomains(const std::set<std::string>& aDomains);
  // Sets the VMs that are heard, including this one; callers choose among them.
  void SetPeers(const std::vector<PlacingPeer>& aPeers);
  // Sets all VMs of the fleet, whether or not they are heard: they share the rates of cold and of
  // limited servers.
  void SetFleet(const std::vector<PlacingPeer>& aVms);
  // Sets how requests for a service that arrive at this VM are split between regions.
  void SetPlan(const std::string& aService, std::vector<RegionShare> aPlan);
  // Sets whether all regions together have spare capacity. If so, requests may spill over from
  // a full region to another one. Otherwise they wait, because the servers of other regions
  // would have to load the object and evict others.
  void SetSpareCapacity(const std::string& aService, bool aHasSpareCapacity);

  // Records an incoming request for the object. Called once per request, while Choose() may be
  // called several times.
  void OnRequest(std::uint64_t aObject, BootTime aNow);
  Placing Choose(const PlacingRequest& aRequest, BootTime aNow);
  // Records that a request is sent to a server returned by Choose().
  void OnSent(const std::string& aServer, BootTime aNow);
  // Records that a request of another VM is sent to the server through this one. That VM has
  // counted it against the limits and the region plan.
  void OnRelayed(const std::string& aServer, BootTime aNow);
  void OnEnded(const std::string& aServer,
               SendOutcome aOutcome,
               std::chrono::milliseconds aDuration,
               BootTime aNow);
  void OnLoad(const std::string& aServer, const ServerLoad& aLoad, BootTime aNow);
  // Records that another VM reported `aRequests` requests on the server whose id has this hash.
  void OnPeerLoad(std::uint64_t aServerHash, int aRequests, BootTime aNow);

  // Records that a response of the server said that it is leaving. It gets no more requests,
  // whatever it reports, until its process has restarted.
  void OnLeaving(const std::string& aServer);
  // Records that the server has rejected a request and wants none from this VM for this long.
  void OnBackOff(const std::string& aServer, std::chrono::milliseconds aTime, BootTime aNow);
  // Records that a response of the server named a rate limit for all VMs together, in requests
  // per second, or none. Returns whether the limit has changed.
  bool OnLimit(const std::string& aServer, std::optional<double> aRate, BootTime aNow);
  // Records a rate limit that another VM knows. Returns whether the limit has changed.
  bool OnPeerLimit(const KnownLimit& aLimit, BootTime aNow);
  // Returns the limits that servers name, and those that were withdrawn a short time ago.
  std::vector<KnownLimit> KnownLimits(BootTime aNow) const;
  // The rate limit that the server names; std::nullopt while it names none.
  std::optional<double> LimitOf(const std::string& aServer) const;

  // Returns the slots of usable servers by region; the demand is left at zero.
  std::vector<RegionState> Regions(const std::string& aService, BootTime aNow) const;
  std::vector<std::string> ServiceNames() const;
  // Moving average of the service's response times; zero before the first response.
  std::chrono::milliseconds MeanResponseTime(std::string_view aService) const;
  std::size_t ServerCount() const;
  std::vector<ServerStatus> ServerStatuses(BootTime aNow) const;
  // Null when the server isn't known. Valid until the next change of the placement.
  const BackendServer* Find(const std::string& aServer) const;
  // Returns whether a server is known and neither leaving nor in an avoided failure domain.
  bool AcceptsRequests(const std::string& aServer) const;
  // Returns whether the server wants no requests of this VM now; see OnBackOff().
  bool IsBackedOff(const std::string& aServer, BootTime aNow) const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace plantainhaven::placing
