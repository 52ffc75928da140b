#pragma once

#include "edge/names.h"
#include "edge/net.h"
#include "edge/upstream_pool.h"
#include "plantainhaven/common/metrics.h"
#include "plantainhaven/policy/placing/path_monitor.h"
#include "plantainhaven/policy/placing/relay_chooser.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace plantainhaven::edge {

// How a request gets to a backend server.
struct ServerWay
{
  enum class Kind
  {
    kDirect,
    kRelayed, // Through the VM `relay`, because this VM has no path to the server.
    kNone,    // Neither this VM nor one that may relay the request has a path.
  };
  Kind kind = Kind::kDirect;
  placing::RelayVm relay{};
};

// The ways from this VM to the backend servers: its own paths, which it probes while they are
// lost or doubtful, and the VMs that relay requests meanwhile. Not thread-safe: used from the
// traffic thread only.
class ServerPaths
{
public:
  ServerPaths(asio::io_context& aContext,
              UpstreamPool& aPool,
              Metrics& aMetrics,
              std::mt19937_64& aRandom,
              const std::string& aRegion);

  void SetServers(const std::vector<BackendServer>& aServers);
  void SetRelays(std::vector<placing::RelayVm> aRelays);

  ServerWay WayTo(const BackendServer& aServer, const AllowedRegions& aAllowed) const;
  // Failure domains to which this VM has no path.
  std::set<std::string> LostDomains() const { return this->monitor.LostDomains(); }
  // Whether this VM has a path to any of the servers' failure domains.
  bool HasAnyPath() const;
  bool IsLost(const BackendServer& aServer) const
  {
    return this->monitor.IsLost(aServer.failureDomain);
  }
  // Whether requests in flight have had no response for so long that the path may be lost. Until
  // that is known, only a new connection shows that a request can reach the server.
  bool IsDoubtful(const BackendServer& aServer) const
  {
    return this->monitor.IsDoubtful(aServer.failureDomain, BootClock::Now());
  }
  // Failure domains to which neither this VM nor any relaying one has a path.
  std::set<std::string> UnreachableDomains() const;

  // Records how opening a connection to the server itself ended.
  void OnConnected(const BackendServer& aServer, BootTime aStartedAt);
  void OnConnectFailed(const BackendServer& aServer,
                       placing::ConnectFailure aFailure,
                       BootTime aStartedAt);
  // Records that a relaying VM didn't accept a request.
  void OnRelayRejected(const placing::RelayVm& aRelay);

  // A request that was sent and has no response yet. `aOnLost` is called at most once, when the
  // path is found to carry nothing any more, or when the relaying VM has gone.
  class Pending
  {
  public:
    Pending(ServerPaths& aPaths,
            const BackendServer& aServer,
            const ServerWay& aWay,
            std::function<void()> aOnLost);
    ~Pending();
    Pending(const Pending&) = delete;
    Pending& operator=(const Pending&) = delete;
    void OnResponse();

  private:
    friend class ServerPaths;
    ServerPaths& paths;
    std::string failureDomain;
    // Empty when the request isn't relayed.
    std::string relay;
    std::function<void()> onLost;
    std::uint64_t id = 0;
  };

  // Starts the probes that are due.
  void Tick();

private:
  Task<void> Probe(BackendServer aServer);
  // The next servers of the domain to probe.
  std::vector<BackendServer> ProbeTargets(const placing::PathProbe& aProbe);
  void NotifyPending(const std::function<bool(const Pending&)>& aIsLost);
  void LogState(const std::string& aDomain) const;

  asio::io_context& context;
  UpstreamPool& pool;
  Metrics& metrics;
  std::mt19937_64& random;
  placing::PathMonitor monitor;
  placing::RelayChooser relays;
  std::map<std::string, std::vector<BackendServer>> serversByDomain;
  // Position of the next server to probe, by failure domain.
  std::map<std::string, std::size_t> nextProbe;
  std::map<std::uint64_t, Pending*> pending;
  std::uint64_t nextPending = 1;
};

} // namespace plantainhaven::edge
