#pragma once

#include "edge/caller_session.h"
#include "edge/dispatcher.h"
#include "edge/names.h"
#include "edge/net.h"
#include "edge/server_paths.h"
#include "edge/simple_server.h"
#include "edge/token_broker.h"
#include "edge/upstream_pool.h"
#include "plantainhaven/common/metrics.h"
#include "plantainhaven/policy/placing/caller_directory.h"
#include "platform/bounds.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "edge.pb.h"
#include "peer.pb.h"

namespace plantainhaven::edge {

// Snapshot of the fleet that the control thread hands to the traffic thread.
struct FleetView
{
  // This VM is registered in the store and either has quota of its own or can borrow tokens
  // from another VM.
  bool canAcquireTokens = false;
  // VMs that accept requests of callers, this one included while it is ready.
  std::vector<EntryVm> entries;
  // VMs that are heard, this one included.
  std::vector<PlacingPeer> senders;
  // All VMs of the fleet, this one included, whether or not they are heard.
  std::vector<PlacingPeer> members;
  // The other VMs that are alive, with their ranges of the quota.
  std::vector<QuotaHolder> holders;
  // Demand of the other VMs by service and region, in concurrent requests.
  std::map<std::string, std::map<std::string, double>> demand;
  // The other VMs that may relay requests to backend servers.
  std::vector<placing::RelayVm> relays;
  // The newest configuration that another VM has in force.
  std::uint64_t newestConfiguration = 0;
  // Split between regions that another VM in this region uses, by service.
  std::map<std::string, std::vector<RegionShare>> plans;
};

// Serves callers and look-ups and sends requests to backend servers. All methods must run
// on the thread of the context; other threads post to it.
class Traffic
{
public:
  Traffic(asio::io_context& aContext,
          const EdgedSettings& aSettings,
          const platform::Bounds& aBounds,
          Metrics& aMetrics,
          PeerSender aSendToPeer,
          std::function<void(VmReport)> aPublishReport);

  // Opens the listeners; throws boost::system::system_error when an address can't be bound.
  void Start();
  // Begins an orderly stop: open requests complete, and new ones are refused after a short time;
  // `aOnRejecting` is called then. `aOnStopped` is called when all are complete, with the time at
  // which the process must have ended, and at the latest at that time.
  void BeginStop(const placing::StopSignal& aSignal,
                 std::function<void()> aOnRejecting,
                 std::function<void(BootTime aExitAt)> aOnStopped);

  void SetRouting(RoutingPtr aRouting);
  void SetBounds(const platform::Bounds& aBounds);
  // Describes the state of this VM for operators, one line of key=value pairs per item.
  std::string StateText() const;
  void SetServers(const std::vector<BackendServer>& aServers, BootTime aReadAt);
  void SetAvoidedDomains(const std::vector<std::string>& aDomains);
  void SetFleet(FleetView aFleet);
  void OnPeerReport(const VmReport& aReport);
  // Sends quarantined requests to backend servers again, on all VMs.
  void ClearQuarantine();
  void SetQuota(const QuotaGrant& aGrant);
  TokenBroker& Tokens() { return this->tokens; }

private:
  Task<void> AcceptCallers(Tcp::acceptor aAcceptor, const SessionHandler& aHandler);
  // Accepts requests that other VMs relay through this one.
  void StartRelay();
  // Keeps the dispatcher from servers to which there is no way, and tells other VMs of lost paths.
  void ApplyPaths();
  Task<void> RunTicks();
  Task<void> RunReports();
  void PublishReport();
  // Whether other VMs must learn of a server's changed rate limit, or of a path that was lost or
  // regained, before the next regular report.
  bool IsNewsDue();
  // Stops serving while another VM has had a newer configuration in force for too long.
  void CheckConfigurationAge();
  Task<void> RunStop(std::function<void()> aOnRejecting,
                     std::function<void(BootTime aExitAt)> aOnStopped);
  void EnterStopPhase(StopPhase aPhase);
  // Waits until no request is open, or until the time.
  Task<void> AwaitRequests(BootTime aUntil);
  SimpleResponse AnswerLookup(std::string_view aTarget) const;
  bool IsReady() const;

  asio::io_context& context;
  const EdgedSettings& settings;
  platform::Bounds bounds;
  Metrics& metrics;
  std::function<void(VmReport)> publishReport;
  Dispatcher dispatcher;
  std::mt19937_64 random;
  TokenBroker tokens;
  UpstreamPool pool;
  UpstreamPool relayPool;
  ServerPaths paths;
  placing::CrashLedger crashes;
  TrafficState state;
  // "ADDRESS:PORT" where requests of other VMs are accepted.
  std::string relayEndpoint;
  // The failure domains without a path in the last report.
  std::set<std::string> reportedLostDomains;
  FleetView fleet;
  // Time of the first configuration.
  BootTime configuredAt{};
  // Since when another VM has had a newer configuration in force; unset while none has.
  BootTime outdatedSince{};
  // Readiness in the last report.
  bool wasReady = false;
  BootTime reportedAt{};
};

} // namespace plantainhaven::edge
