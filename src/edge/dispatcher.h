#pragma once

#include "edge/names.h"
#include "edge/net.h"
#include "plantainhaven/common/metrics.h"
#include "plantainhaven/policy/placing/placement.h"
#include "plantainhaven/policy/placing/retry_token_bucket.h"
#include "plantainhaven/policy/placing/routing.h"
#include "plantainhaven/policy/placing/stop_schedule.h"
#include "plantainhaven/policy/placing/wait_queue.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <ostream>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "peer.pb.h"

namespace plantainhaven::edge {

struct DispatcherOptions
{
  std::string vm;
  std::string region;
  std::string failureDomain;
  // Retry tokens that each first attempt adds to the token bucket of its service, and the tokens
  // that the buckets of all VMs may hold together.
  double retryRatio = 0.2;
  double retrySlack = 60;
  // Largest fraction of the requests that one step of the region plan moves to another region.
  double planStep = 0.02;
};

// The placement constraints and the deadlines of a request.
struct DispatchRequest
{
  std::string service;
  std::string route;
  std::uint64_t object = 0;
  AllowedRegions allowed;
  std::vector<std::string> excluded;
  int priority = 0;
  BootTime objectiveAt{};
  // The caller doesn't wait for the response after this time.
  BootTime deadlineAt{};
  // How long a server is likely to take.
  std::chrono::milliseconds usualTime{ 0 };
};

enum class DispatchFailureReason
{
  kNoServer,           // No backend server is eligible.
  kNoCapacity,         // No slot is expected to become free in time.
  kServerLimit,        // The rate limits of all eligible servers are used up.
  kCallerDisconnected, // The caller closed its connection while the request was queued.
  kStopping,           // The process is about to end, before a server would have answered.
};

// The reason's name in metrics, logs and response bodies.
const char*
ToString(DispatchFailureReason aReason) noexcept;

struct DispatchFailure
{
  DispatchFailureReason reason = DispatchFailureReason::kNoServer;
  std::chrono::milliseconds retryAfter{ 0 };
};

// The backend server on which a slot is reserved for one attempt, or the reason why there is
// none. Each reserved slot must be released with End().
using DispatchResult = std::variant<BackendServer, DispatchFailure>;

// Selects the backend server for each request, queues requests while no slot is free, and limits
// retries. Not thread-safe: used from the traffic thread only.
class Dispatcher
{
public:
  Dispatcher(asio::io_context& aContext, DispatcherOptions aOptions, Metrics& aMetrics);

  void SetRouting(RoutingPtr aRouting);
  // Applies changed limits. The VM, its region and its failure domain must not change.
  void SetOptions(DispatcherOptions aOptions);
  void SetServers(const std::vector<BackendServer>& aServers, BootTime aReadAt);
  void SetAvoidedDomains(const std::vector<std::string>& aDomains);
  // Sets the VMs that are heard, this one included.
  void SetPeers(const std::vector<PlacingPeer>& aPeers);
  // Sets all VMs of the fleet, whether or not they are heard. They share what is limited for the
  // fleet as a whole.
  void SetFleet(const std::vector<PlacingPeer>& aVms);
  // Sets the demand of all other VMs, by service and region.
  void SetPeerDemand(std::map<std::string, std::map<std::string, double>> aDemand);
  // Adopts the region plan of another VM of the same region, unless this VM already has one.
  void AdoptPlan(const std::string& aService, const std::vector<RegionShare>& aPlan);

  const RoutingPtr& CurrentRouting() const { return this->routing; }
  bool IsReady() const;

  // Reserves a slot on a backend server, and queues the request until one is free. `aWaiter`
  // receives the id for CancelWait() while the request is queued, and 0 afterwards.
  Task<DispatchResult> Acquire(DispatchRequest aRequest, std::uint64_t& aWaiter);
  // Removes a request from the queue after its caller has disconnected.
  void CancelWait(std::uint64_t aWaiter);
  // The process ends at the schedule's time: rejects requests that servers won't answer before it,
  // those that are queued and those that come.
  void SetStopSchedule(const placing::StopSchedule& aSchedule) { this->stopSchedule = aSchedule; }
  void End(const BackendServer& aServer, SendOutcome aOutcome, std::chrono::milliseconds aTook);
  // Whether the server is known and neither draining nor in an avoided failure domain.
  bool AcceptsRequests(const std::string& aServer) const
  {
    return this->placement.AcceptsRequests(aServer);
  }
  // Records the start and the end of a request that another VM relays through this one.
  void BeginRelayed(const BackendServer& aServer);
  void EndRelayed(const BackendServer& aServer,
                  SendOutcome aOutcome,
                  std::chrono::milliseconds aTook);
  // Null when the server isn't known. Valid until the servers change.
  const BackendServer* FindServer(const std::string& aServer) const
  {
    return this->placement.Find(aServer);
  }
  // Sets the failure domains to whose servers no request can be sent.
  void SetUnreachableDomains(const std::set<std::string>& aDomains)
  {
    this->placement.SetUnreachableDomains(aDomains);
  }
  void OnLoad(const std::string& aServer, const ServerLoad& aLoad);
  // Applies a response of the server that names a rate limit, or none.
  void OnLimit(const std::string& aServer, std::optional<double> aRate);
  // Applies a response of the server that says that it is leaving.
  void OnLeaving(const std::string& aServer);
  // Applies a response of the server that wants no requests from this VM for a time.
  void OnBackOff(const std::string& aServer, std::chrono::milliseconds aTime);
  // Whether the server wants no requests from this VM now.
  bool IsBackedOff(const std::string& aServer) const
  {
    return this->placement.IsBackedOff(aServer, BootClock::Now());
  }
  // Applies the server loads and rate limits in the report of another VM.
  void OnPeerReport(const VmReport& aReport);
  // Whether a response to this VM has changed a server's rate limit much since the last report: the
  // other VMs should learn of it at once.
  bool HasLimitNews() const { return this->hasLimitNews; }

  // Adds the size of a response body to the route's moving average.
  void OnResponseBytes(const std::string& aRoute, std::uint64_t aBytes);

  void OnFirstAttempt(const std::string& aService);
  bool TryAcquireRetry(const std::string& aService);

  // Dispatches queued requests to free slots and rejects those that can't start in time.
  void Tick();
  // Moves each service's region plan one step toward the plan for the current demand and slots.
  void StepPlans();
  // Writes this VM's demand, region plans and observed server loads into its report to other VMs.
  void FillReport(VmReport& aReport);
  // Mean response time of the service.
  std::chrono::milliseconds MeanResponseTime(const std::string& aService) const;
  // The rate limit that the server names; std::nullopt while it names none.
  std::optional<double> LimitOf(const std::string& aServer) const;
  // Writes one line of key=value pairs for each service and each server.
  void Describe(std::ostream& aInto) const;

private:
  struct Waiting
  {
    explicit Waiting(asio::io_context& aContext)
      : timer(aContext)
    {
    }
    DispatchRequest request;
    // Hash of the id of the server whose slot the request waits for; 0 when any server may be
    // chosen.
    std::uint64_t server = 0;
    asio::steady_timer timer;
    DispatchResult result = DispatchFailure{};
  };
  struct ServiceState
  {
    ServiceState(double aRetryRatio, double aRetryCapacity)
      : retries(aRetryRatio, aRetryCapacity)
    {
    }
    WaitQueue queue;
    RetryTokenBucket retries;
    int inFlight = 0;
    // Moving average of the requests in flight and queued on this VM.
    double demand = 0;
    std::vector<RegionShare> plan;
    // The plan that was last logged.
    std::vector<RegionShare> loggedPlan;
  };

  ServiceState& StateOf(const std::string& aService);
  Placing Choose(const DispatchRequest& aRequest, BootTime aNow);
  // `aRequest` is the request for which the slot is reserved; `aWasQueued` tells whether it was
  // queued before.
  void ReserveSlot(const BackendServer& aServer,
                   const DispatchRequest& aRequest,
                   bool aWasQueued,
                   BootTime aNow);
  // Dispatches the requests that are queued for one server, or all when `aServer` is 0.
  void DispatchWaiters(ServiceState& aState, std::uint64_t aServer);
  // Tries to place a queued request. Returns false when the request stays queued.
  bool TryDispatch(std::uint64_t aId, Waiting& aWaiting, BootTime aNow);
  double RetryCapacity() const
  {
    return placing::RetryBurst(this->options.retrySlack, this->fleetSize);
  }
  // Whether the process ends before a server would have answered the request.
  bool IsTooLateFor(const DispatchRequest& aRequest, BootTime aNow) const;
  void RejectTooLate();
  void RejectExpired(const std::string& aService, ServiceState& aState);
  void CompleteWait(std::uint64_t aWaiter, DispatchResult aResult);
  static void LogPlan(const std::string& aService,
                      ServiceState& aState,
                      const std::vector<RegionState>& aRegions);
  bool HasDemand(const std::vector<RegionState>& aRegions) const;

  asio::io_context& context;
  DispatcherOptions options;
  Metrics& metrics;
  RoutingPtr routing;
  Placement placement;
  std::map<std::string, ServiceState> services;
  std::map<std::uint64_t, std::shared_ptr<Waiting>> waiting;
  std::map<std::string, std::map<std::string, double>> peerDemand;
  // Moving average of the bytes in a response, by route.
  std::map<std::string, double> responseBytes;
  std::uint64_t nextWaiter = 1;
  std::optional<placing::StopSchedule> stopSchedule;
  bool hasLimitNews = false;
  placing::LimitRotation limitRotation;
  // VMs among which the fleet's retry slack is divided.
  std::size_t fleetSize = 1;
  // Requests running or queued at each server, as reported by its responses since this VM's last
  // report, by the hash of the server's id.
  std::unordered_map<std::uint64_t, int> reportedLoads;
};

} // namespace plantainhaven::edge
