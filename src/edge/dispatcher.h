#pragma once

#include "edge/names.h"
#include "edge/net.h"
#include "plantainhaven/common/metrics.h"
#include "plantainhaven/policy/placing/placement.h"
#include "plantainhaven/policy/placing/retry_token_bucket.h"
#include "plantainhaven/policy/placing/routing.h"
#include "plantainhaven/policy/placing/wait_queue.h"

#include <cstdint>
#include <map>
#include <memory>
#include <ostream>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "peer.pb.h"

namespace plantainhaven::edge {

struct DispatcherOptions
{
  std::string vm;
  std::string region;
  std::string failureDomain;
  // Repeats that each first send to a service earns, and how many all VMs may keep.
  double retryRatio = 0.2;
  double retrySlack = 60;
  // Part of the requests that may change their region in one step of the plan.
  double planStep = 0.02;
};

// What a request needs from a backend server.
struct SendWish
{
  std::string service;
  std::string route;
  std::uint64_t object = 0;
  AllowedRegions allowed;
  std::vector<std::string> excluded;
  int priority = 0;
  BootTime objectiveAt{};
  // The response is useless after this.
  BootTime deadlineAt{};
};

enum class NoSendReason
{
  kNoServer,   // No backend server may be used.
  kNoRoom,     // Room wouldn't come in time.
  kCallerLeft, // The caller closed its connection while it waited.
};

// Names a reason as metrics and logs write it.
const char*
ToString(NoSendReason aReason) noexcept;

struct NoSend
{
  NoSendReason reason = NoSendReason::kNoServer;
  std::chrono::milliseconds retryAfter{ 0 };
};

// A backend server that holds room for one send; End() must follow.
using Granted = std::variant<BackendServer, NoSend>;

// The state that decides where requests go. Used from the traffic thread only.
class Dispatcher
{
public:
  Dispatcher(asio::io_context& aContext, DispatcherOptions aOptions, Metrics& aMetrics);

  void SetRouting(RoutingPtr aRouting);
  // Takes over limits that have changed; the VM stays the same.
  void SetOptions(DispatcherOptions aOptions);
  void SetServers(const std::vector<BackendServer>& aServers, BootTime aReadAt);
  void SetAvoidedDomains(const std::vector<std::string>& aDomains);
  void SetPeers(std::vector<PlacingPeer> aPeers);
  // Demand of all other VMs, by service and region.
  void SetPeerDemand(std::map<std::string, std::map<std::string, double>> aDemand);
  // Takes over the split that a VM of the same region uses, if this VM has none yet.
  void AdoptPlan(const std::string& aService, const std::vector<RegionShare>& aPlan);

  const RoutingPtr& CurrentRouting() const { return this->routing; }
  bool IsReady() const;

  // Waits for room at a backend server. `aWaiter` receives the id for Abandon() while it
  // waits, and 0 afterwards.
  Task<Granted> Acquire(SendWish aWish, std::uint64_t& aWaiter);
  // The caller of a waiting request has left.
  void Abandon(std::uint64_t aWaiter);
  void End(const BackendServer& aServer, SendOutcome aOutcome, std::chrono::milliseconds aTook);
  void OnLoad(const std::string& aServer, const ServerLoad& aLoad);
  // What another VM has seen of servers.
  void OnPeerLoads(const VmReport& aReport);

  // A response of the route had a body of so many bytes.
  void OnResponseBytes(const std::string& aRoute, std::uint64_t aBytes);

  void CountFirstSend(const std::string& aService);
  bool TryRepeat(const std::string& aService);

  // Offers room to those that wait and refuses what can't start in time.
  void Tick();
  // Moves the split between regions toward what demand and slots ask for.
  void StepPlans();
  // This VM's demand and splits, for the other VMs.
  void FillReport(VmReport& aReport);
  // Time that a request of the service usually takes.
  std::chrono::milliseconds UsualTime(const std::string& aService) const;
  bool MayUse(const std::string& aServer) const;
  // Servers, splits and lines, one key=value line each.
  void Describe(std::ostream& aInto) const;

private:
  struct Waiting
  {
    explicit Waiting(asio::io_context& aContext)
      : timer(aContext)
    {
    }
    SendWish wish;
    // Hash of the id of the server whose room it waits for.
    std::uint64_t server = 0;
    asio::steady_timer timer;
    Granted result = NoSend{};
  };
  struct ServiceState
  {
    explicit ServiceState(const DispatcherOptions& aOptions)
      : retries(aOptions.retryRatio, placing::RetryBurst(aOptions.retrySlack, 1))
    {
    }
    WaitQueue line;
    RetryTokenBucket retries;
    int inFlight = 0;
    // Moving average of the requests that run or wait here.
    double demand = 0;
    std::vector<RegionShare> plan;
    // The plan as last written to the log.
    std::vector<RegionShare> loggedPlan;
  };

  ServiceState& StateOf(const std::string& aService);
  Placing Choose(const SendWish& aWish, BootTime aNow);
  void Grant(const BackendServer& aServer, BootTime aNow);
  // Offers room to the waiters for one server, or to all when `aServer` is 0.
  void OfferRoom(ServiceState& aState, std::uint64_t aServer);
  // Chooses for a waiter; returns false when it goes on waiting.
  bool Offer(std::uint64_t aId, Waiting& aWaiting, BootTime aNow);
  void RefuseHopeless(const std::string& aService, ServiceState& aState);
  void Wake(std::uint64_t aWaiter, Granted aResult);
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
  // Requests seen at servers since the last report, by the hash of the server's id.
  std::unordered_map<std::uint64_t, int> seenLoads;
};

} // namespace plantainhaven::edge
