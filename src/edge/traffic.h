#pragma once

#include "edge/dispatcher.h"
#include "edge/names.h"
#include "edge/net.h"
#include "edge/request_run.h"
#include "edge/simple_server.h"
#include "edge/token_broker.h"
#include "edge/upstream_pool.h"
#include "plantainhaven/common/metrics.h"
#include "plantainhaven/policy/placing/caller_directory.h"
#include "platform/bounds.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "edge.pb.h"
#include "peer.pb.h"

namespace plantainhaven::edge {

// What the control thread knows about the other VMs.
struct FleetView
{
  // This VM has its row, and tokens to give out or another VM to borrow them from.
  bool canAcquireTokens = false;
  // VMs that callers may use, this one included while it is ready.
  std::vector<EntryVm> entries;
  // VMs that may send requests to backend servers, this one included.
  std::vector<PlacingPeer> senders;
  // The other VMs that give out parts of the limits and were heard lately.
  std::vector<QuotaHolder> holders;
  // Demand of the other VMs by service and region.
  std::map<std::string, std::map<std::string, double>> demand;
  // Split that another VM of this region uses, by service.
  std::map<std::string, std::vector<RegionShare>> plans;
};

// Callers, look-ups and backend servers. All methods run on the thread of its context;
// other threads post to it.
class Traffic
{
public:
  Traffic(asio::io_context& aContext,
          const EdgedSettings& aSettings,
          const platform::Bounds& aBounds,
          Metrics& aMetrics,
          PeerSender aSendToPeer,
          std::function<void(VmReport)> aPublishReport);

  // Opens the listeners; throws boost::system::system_error when an address can't be had.
  void Start();
  // Answers what is open and takes no more: the process is to end within the grace.
  void BeginStop(std::function<void()> aOnStopped);

  void SetRouting(RoutingPtr aRouting);
  void SetBounds(const platform::Bounds& aBounds);
  // What this VM believes, one key=value line each, for operators.
  std::string Beliefs() const;
  void SetServers(const std::vector<BackendServer>& aServers, BootTime aReadAt);
  void SetAvoidedDomains(const std::vector<std::string>& aDomains);
  void SetFleet(FleetView aFleet);
  void OnPeerReport(const VmReport& aReport) { this->dispatcher.OnPeerLoads(aReport); }
  void SetQuotaRange(const QuotaRange& aRange);
  TokenBroker& Tokens() { return this->tokens; }

private:
  Task<void> AcceptCallers(Tcp::acceptor aAcceptor);
  Task<void> RunTicks();
  Task<void> RunReports();
  void PublishReport();
  Task<void> RunStop(std::function<void()> aOnStopped);
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
  TrafficState state;
  FleetView fleet;
  // When the first configuration came.
  BootTime configuredAt{};
  // What the last report said.
  bool wasReady = false;
};

} // namespace plantainhaven::edge
