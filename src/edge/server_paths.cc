#include "edge/server_paths.h"

#include "plantainhaven/common/log.h"

#include <algorithm>
#include <utility>

namespace plantainhaven::edge {
namespace {

// Timeout of a probe: two round trips between the two most distant regions.
constexpr std::chrono::milliseconds kProbeTimeout{ 250 };
// An idle limit for connections that a probe has opened, since no response stated one.
constexpr std::chrono::milliseconds kProbedIdleLimit{ 4000 };

} // namespace

ServerPaths::ServerPaths(asio::io_context& aContext,
                         UpstreamPool& aPool,
                         Metrics& aMetrics,
                         std::mt19937_64& aRandom,
                         const std::string& aRegion)
  : context(aContext)
  , pool(aPool)
  , metrics(aMetrics)
  , random(aRandom)
  , relays(aRegion)
{
}

void
ServerPaths::SetServers(const std::vector<BackendServer>& aServers)
{
  this->serversByDomain.clear();
  std::set<std::string> domains;
  for (const BackendServer& server : aServers) {
    domains.insert(server.failureDomain);
    if (!server.isDraining) {
      this->serversByDomain[server.failureDomain].push_back(server);
    }
  }
  this->monitor.KeepOnly(domains);
}

void
ServerPaths::SetRelays(std::vector<placing::RelayVm> aRelays)
{
  this->relays.SetRelays(std::move(aRelays));
  this->NotifyPending([this](const Pending& aPending) {
    return !aPending.relay.empty() && !this->relays.IsKnown(aPending.relay);
  });
}

ServerWay
ServerPaths::WayTo(const BackendServer& aServer, const AllowedRegions& aAllowed) const
{
  if (!this->IsLost(aServer)) {
    return {};
  }
  auto relay = this->relays.Choose(
    { aServer.region, aServer.failureDomain }, aAllowed, this->random, BootClock::Now());
  if (!relay) {
    return { .kind = ServerWay::Kind::kNone };
  }
  return { .kind = ServerWay::Kind::kRelayed, .relay = std::move(*relay) };
}

bool
ServerPaths::HasAnyPath() const
{
  return std::any_of(this->serversByDomain.begin(),
                     this->serversByDomain.end(),
                     [this](const auto& aEntry) { return !this->monitor.IsLost(aEntry.first); });
}

std::set<std::string>
ServerPaths::UnreachableDomains() const
{
  std::set<std::string> domains = this->monitor.LostDomains();
  std::erase_if(domains,
                [this](const std::string& aDomain) { return this->relays.HasPath(aDomain); });
  return domains;
}

void
ServerPaths::OnConnected(const BackendServer& aServer, BootTime aStartedAt)
{
  const bool wasLost = this->IsLost(aServer);
  this->monitor.OnConnected(aServer.failureDomain, aStartedAt, BootClock::Now());
  if (wasLost && !this->IsLost(aServer)) {
    this->LogState(aServer.failureDomain);
  }
}

void
ServerPaths::OnConnectFailed(const BackendServer& aServer,
                             placing::ConnectFailure aFailure,
                             BootTime aStartedAt)
{
  const auto known = this->serversByDomain.find(aServer.failureDomain);
  const std::size_t count =
    known == this->serversByDomain.end() ? 1 : std::max<std::size_t>(1, known->second.size());
  const bool wasSilent = this->monitor.IsSilent(aServer.failureDomain);
  const bool isNewLoss = this->monitor.OnConnectFailed(
    aServer.failureDomain, aServer.id, aFailure, count, aStartedAt, BootClock::Now());
  if (isNewLoss) {
    this->metrics.Count("plantainhaven_server_paths_lost_total");
    this->LogState(aServer.failureDomain);
  }
  if (wasSilent || !this->monitor.IsSilent(aServer.failureDomain)) {
    return;
  }
  for (const BackendServer& server : this->serversByDomain[aServer.failureDomain]) {
    this->pool.Close(server.id);
  }
  this->NotifyPending([&domain = aServer.failureDomain](const Pending& aPending) {
    return aPending.relay.empty() && aPending.failureDomain == domain;
  });
}

void
ServerPaths::OnRelayRejected(const placing::RelayVm& aRelay)
{
  this->relays.OnRejected(aRelay.name, BootClock::Now());
}

void
ServerPaths::NotifyPending(const std::function<bool(const Pending&)>& aIsLost)
{
  std::vector<std::uint64_t> lost;
  for (const auto& [id, entry] : this->pending) {
    if (aIsLost(*entry)) {
      lost.push_back(id);
    }
  }
  for (const std::uint64_t id : lost) {
    const auto found = this->pending.find(id);
    if (found != this->pending.end() && found->second->onLost) {
      std::exchange(found->second->onLost, nullptr)();
    }
  }
}

void
ServerPaths::LogState(const std::string& aDomain) const
{
  const bool isLost = this->monitor.IsLost(aDomain);
  Log(isLost ? LogLevel::kWarning : LogLevel::kInfo,
      "server_path",
      { { "failure_domain", aDomain },
        { "state", isLost ? "lost" : "regained" },
        { "open_connections", this->monitor.IsSilent(aDomain) ? "silent" : "usable" },
        { "relay", this->relays.HasPath(aDomain) } });
}

std::vector<BackendServer>
ServerPaths::ProbeTargets(const placing::PathProbe& aProbe)
{
  std::vector<BackendServer> targets;
  const auto known = this->serversByDomain.find(aProbe.failureDomain);
  if (known == this->serversByDomain.end()) {
    return targets;
  }
  std::size_t& next = this->nextProbe[aProbe.failureDomain];
  for (std::size_t i = 0; i < std::min(aProbe.count, known->second.size()); ++i) {
    targets.push_back(known->second[next++ % known->second.size()]);
  }
  return targets;
}

void
ServerPaths::Tick()
{
  for (const placing::PathProbe& probe : this->monitor.TakeDueProbes(BootClock::Now())) {
    for (BackendServer& server : this->ProbeTargets(probe)) {
      asio::co_spawn(this->context, this->Probe(std::move(server)), asio::detached);
    }
  }
}

Task<void>
ServerPaths::Probe(BackendServer aServer)
{
  this->metrics.Count("plantainhaven_server_path_probes_total");
  const BootTime startedAt = BootClock::Now();
  beast::error_code fault;
  const auto ip = asio::ip::make_address(aServer.address, fault);
  if (fault) {
    co_return;
  }
  const auto upstream = std::make_shared<Upstream>(this->context);
  upstream->stream.expires_after(kProbeTimeout);
  const Tcp::endpoint endpoint(ip, aServer.port);
  co_await upstream->stream.async_connect(endpoint, Into(fault));
  if (fault) {
    const bool isSilent = fault == beast::error::timeout;
    this->OnConnectFailed(aServer,
                          isSilent ? placing::ConnectFailure::kSilent
                                   : placing::ConnectFailure::kRefused,
                          startedAt);
    co_return;
  }
  PrepareUpstream(*upstream);
  upstream->stream.expires_never();
  upstream->idleLimit = kProbedIdleLimit;
  this->pool.Release(aServer.id, upstream);
  this->OnConnected(aServer, startedAt);
}

ServerPaths::Pending::Pending(ServerPaths& aPaths,
                              const BackendServer& aServer,
                              const ServerWay& aWay,
                              std::function<void()> aOnLost)
  : paths(aPaths)
  , failureDomain(aServer.failureDomain)
  , relay(aWay.kind == ServerWay::Kind::kRelayed ? aWay.relay.name : std::string())
  , onLost(std::move(aOnLost))
  , id(aPaths.nextPending++)
{
  this->paths.pending.emplace(this->id, this);
  if (this->relay.empty()) {
    this->paths.monitor.OnSent(this->failureDomain, BootClock::Now());
  } else {
    this->paths.relays.OnSent(this->relay);
  }
}

ServerPaths::Pending::~Pending()
{
  this->paths.pending.erase(this->id);
  if (this->relay.empty()) {
    this->paths.monitor.OnEnded(this->failureDomain);
  } else {
    this->paths.relays.OnEnded(this->relay);
  }
}

void
ServerPaths::Pending::OnResponse()
{
  if (this->relay.empty()) {
    this->paths.monitor.OnResponse(this->failureDomain, BootClock::Now());
  }
}

} // namespace plantainhaven::edge
