#include "edge/traffic.h"

#include "edge/caller_session.h"
#include "edge/crash_watch.h"
#include "edge/simple_server.h"
#include "plantainhaven/common/log.h"
#include "platform/decode.h"
#include "platform/names.h"

#include <algorithm>
#include <set>
#include <sstream>
#include <utility>

namespace plantainhaven::edge {
namespace {

// Queued requests are examined at this interval as well as at each completion; short compared
// with the shortest service time.
constexpr std::chrono::milliseconds kTickInterval{ 10 };
constexpr int kTicksPerTokenUpdate = 5;
constexpr int kTicksPerIdleSweep = 50;
// Minimum time between a report and the next one that is due to news of a server's rate limit.
constexpr std::chrono::milliseconds kMinReportInterval{ 100 };
constexpr std::chrono::milliseconds kAcceptPause{ 20 };
// Validity of a look-up: callers stop using a VM at most this long after it announces that it
// leaves.
constexpr std::chrono::milliseconds kLookupValidity{ 2000 };
constexpr std::size_t kMaxAddresses = 64;
// A new VM has no tokens until it has received reports of the others and isn't ready before
// that. It becomes ready after this time even if they stay silent.
constexpr std::chrono::milliseconds kMaxTokenWait{ 1500 };
constexpr std::chrono::milliseconds kStopPoll{ 20 };
// A VM learns of a newer configuration after its acknowledgement; this fraction of the agreed time
// remains until it stops serving by its own.
constexpr int kOutdatedDivisor = 2;
// Idle connections kept to a backend server, more than a VM's typical share of its slots, and to a
// relaying VM, which takes the requests for many servers.
constexpr std::size_t kMaxIdlePerServer = 16;
constexpr std::size_t kMaxIdlePerRelay = 64;
constexpr double kRetryRatioFraction = 0.9;
// Fraction of the largest permitted shift that is used in two seconds, and the number of
// steps in that time.
constexpr double kShiftFraction = 0.6;
constexpr double kStepsPerShiftWindow = 4;

DispatcherOptions
OptionsOf(const EdgedSettings& aSettings, const platform::Bounds& aBounds)
{
  DispatcherOptions options;
  options.vm = aSettings.vm().name();
  options.region = aSettings.vm().region();
  options.failureDomain = aSettings.vm().failure_domain();
  options.retryRatio = aBounds.retryRatio * kRetryRatioFraction;
  options.retrySlack = aBounds.retrySlack;
  options.planStep = aBounds.maxShift * kShiftFraction / kStepsPerShiftWindow;
  return options;
}

} // namespace

Traffic::Traffic(asio::io_context& aContext,
                 const EdgedSettings& aSettings,
                 const platform::Bounds& aBounds,
                 Metrics& aMetrics,
                 PeerSender aSendToPeer,
                 std::function<void(VmReport)> aPublishReport)
  : context(aContext)
  , settings(aSettings)
  , bounds(aBounds)
  , metrics(aMetrics)
  , publishReport(std::move(aPublishReport))
  , dispatcher(aContext, OptionsOf(aSettings, aBounds), aMetrics)
  , random(std::random_device{}())
  , tokens(aContext, aMetrics, std::move(aSendToPeer), this->random)
  , pool(kMaxIdlePerServer)
  , relayPool(kMaxIdlePerRelay)
  , paths(aContext, this->pool, aMetrics, this->random, aSettings.vm().region())
  , state{ aContext, dispatcher, tokens, pool, relayPool, paths, crashes, aMetrics, this->random }
{
}

bool
Traffic::IsReady() const
{
  if (!this->dispatcher.IsReady() || this->state.IsLeaving() ||
      this->state.isConfigurationOutdated) {
    return false;
  }
  return this->fleet.canAcquireTokens || BootClock::Now() - this->configuredAt > kMaxTokenWait;
}

void
Traffic::Start()
{
  const auto& listen = this->settings.listen();
  ServeSimple(this->context, ToEndpoint(listen.readiness()), [this](const SimpleRequest&) {
    SimpleResponse response;
    response.status = this->IsReady() ? 200 : 503;
    return response;
  });
  ServeSimple(this->context, ToEndpoint(listen.lookups()), [this](const SimpleRequest& aRequest) {
    return this->AnswerLookup({ aRequest.target().data(), aRequest.target().size() });
  });
  Tcp::acceptor acceptor = Listen(this->context, ToEndpoint(listen.callers()));
  asio::co_spawn(
    this->context, this->AcceptCallers(std::move(acceptor), kCallerSession), asio::detached);
  this->StartRelay();
  asio::co_spawn(this->context, this->RunTicks(), asio::detached);
  asio::co_spawn(this->context, this->RunReports(), asio::detached);
}

SimpleResponse
Traffic::AnswerLookup(std::string_view aTarget) const
{
  if (aTarget.substr(0, aTarget.find('?')) != platform::kLookupPath) {
    return { .status = 404, .contentType = "text/plain", .body = "expected a look-up\n" };
  }
  const auto addresses = AddressesFor(
    this->fleet.entries, QueryValue(aTarget, "region"), QueryValue(aTarget, "zone"), kMaxAddresses);
  if (addresses.empty()) {
    this->metrics.Count("plantainhaven_lookups_refused_total", "reason", "no_vm");
    return { .status = 503, .contentType = "text/plain", .body = "no VM is ready\n" };
  }
  const auto validity = std::min(kLookupValidity, this->bounds.maxLookupTtl);
  return { .status = 200,
           .contentType = "application/json",
           .body = platform::EncodeLookupResponse(addresses, validity) };
}

void
Traffic::StartRelay()
{
  const auto& listen = this->settings.listen();
  auto acceptor = ListenInRange(this->context,
                                this->settings.vm().address(),
                                { listen.relay_ports().begin(), listen.relay_ports().end() },
                                { listen.peers(), listen.metrics() });
  if (!acceptor) {
    Log(LogLevel::kError,
        "relay_unavailable",
        { { "remedy", "Set listen.relay_ports to a range with a free port." } });
    return;
  }
  this->relayEndpoint =
    this->settings.vm().address() + ":" + std::to_string(acceptor->local_endpoint().port());
  Log(LogLevel::kInfo, "relay", { { "endpoint", this->relayEndpoint } });
  asio::co_spawn(
    this->context, this->AcceptCallers(std::move(*acceptor), kRelaySession), asio::detached);
}

Task<void>
Traffic::AcceptCallers(Tcp::acceptor aAcceptor, const SessionHandler& aHandler)
{
  asio::steady_timer pause(this->context);
  while (aAcceptor.is_open()) {
    beast::error_code fault;
    Tcp::socket socket(this->context);
    co_await aAcceptor.async_accept(socket, Into(fault));
    if (fault) {
      Log(LogLevel::kWarning, "accept_failed", { { "error", fault.message() } });
      co_await Sleep(pause, kAcceptPause);
      continue;
    }
    this->metrics.Count(aHandler.connectionsMetric);
    asio::co_spawn(
      this->context, ServeSession(this->state, std::move(socket), aHandler), asio::detached);
  }
}

Task<void>
Traffic::RunTicks()
{
  asio::steady_timer timer(this->context);
  for (int tick = 1;; ++tick) {
    co_await Sleep(timer, kTickInterval);
    this->ApplyPaths();
    this->CheckConfigurationAge();
    this->dispatcher.Tick();
    if (this->IsReady() != this->wasReady || this->IsNewsDue()) {
      this->PublishReport();
    }
    if (tick % kTicksPerTokenUpdate == 0) {
      this->tokens.Tick();
    }
    if (tick % kTicksPerIdleSweep == 0) {
      this->pool.CloseExpired();
      this->relayPool.CloseExpired();
    }
  }
}

Task<void>
Traffic::RunReports()
{
  asio::steady_timer timer(this->context);
  while (true) {
    this->dispatcher.StepPlans();
    this->PublishReport();
    co_await Sleep(timer, kReportInterval);
  }
}

void
Traffic::ApplyPaths()
{
  this->paths.Tick();
  this->dispatcher.SetUnreachableDomains(this->paths.UnreachableDomains());
}

void
Traffic::CheckConfigurationAge()
{
  const RoutingPtr& routing = this->dispatcher.CurrentRouting();
  const BootTime now = BootClock::Now();
  if (routing == nullptr || this->fleet.newestConfiguration <= routing->version) {
    this->outdatedSince = BootTime{};
  } else if (this->outdatedSince == BootTime{}) {
    this->outdatedSince = now;
  }
  const bool isOutdated =
    this->outdatedSince != BootTime{} &&
    now - this->outdatedSince >= this->bounds.configurationTime / kOutdatedDivisor;
  if (routing != nullptr && isOutdated != this->state.isConfigurationOutdated) {
    this->state.isConfigurationOutdated = isOutdated;
    Log(LogLevel::kWarning,
        isOutdated ? "configuration_outdated" : "configuration_current",
        { { "version", routing->version }, { "newest", this->fleet.newestConfiguration } });
  }
}

bool
Traffic::IsNewsDue()
{
  return BootClock::Now() - this->reportedAt >= kMinReportInterval &&
         (this->dispatcher.HasLimitNews() || this->crashes.HasNews() ||
          this->paths.LostDomains() != this->reportedLostDomains);
}

void
Traffic::PublishReport()
{
  this->reportedAt = BootClock::Now();
  this->wasReady = this->IsReady();
  VmReport report;
  report.set_ready(this->wasReady);
  report.set_leaving(this->state.IsLeaving());
  this->dispatcher.FillReport(report);
  FillCrashes(this->crashes, report);
  this->reportedLostDomains = this->paths.LostDomains();
  for (const std::string& domain : this->reportedLostDomains) {
    report.add_lost_domains(domain);
  }
  report.set_has_no_path(!this->paths.HasAnyPath());
  report.set_relay(this->relayEndpoint);
  report.set_relayed_requests(static_cast<std::uint32_t>(this->state.relayedRequests));
  this->publishReport(std::move(report));
}

void
Traffic::SetRouting(RoutingPtr aRouting)
{
  std::vector<TokenLimit> limits;
  limits.reserve(aRouting->accounts.size());
  for (const Account& account : aRouting->accounts) {
    limits.push_back({ account.name, account.rate, account.burst });
  }
  const BootTime now = BootClock::Now();
  if (this->configuredAt == BootTime{}) {
    this->configuredAt = now;
  }
  this->tokens.Buckets().SetLimits(limits, now);
  this->dispatcher.SetRouting(std::move(aRouting));
}

void
Traffic::SetBounds(const platform::Bounds& aBounds)
{
  this->bounds = aBounds;
  this->dispatcher.SetOptions(OptionsOf(this->settings, aBounds));
}

std::string
Traffic::StateText() const
{
  std::ostringstream text;
  const RoutingPtr& routing = this->dispatcher.CurrentRouting();
  text << "vm name=" << this->settings.vm().name() << " ready=" << this->IsReady()
       << " stopping=" << this->state.IsLeaving() << " open_requests=" << this->state.openRequests
       << "\n";
  text << "configuration version=" << (routing == nullptr ? 0 : routing->version) << "\n";
  for (const PlacingPeer& sender : this->fleet.senders) {
    text << "peer name=" << sender.name << " region=" << sender.region << "\n";
  }
  for (const PlacingPeer& member : this->fleet.members) {
    text << "fleet name=" << member.name << " region=" << member.region << "\n";
  }
  for (const std::string& domain : this->paths.LostDomains()) {
    text << "path_lost failure_domain=" << domain << "\n";
  }
  for (const QuotaHolder& holder : this->fleet.holders) {
    for (const QuotaRange& range : holder.ranges) {
      text << "quota holder=" << holder.endpoint << " begin=" << range.begin << " end=" << range.end
           << "\n";
    }
  }
  const BootTime now = BootClock::Now();
  for (const placing::CrashRecord& record : this->crashes.Quarantined(now)) {
    text << "quarantined request=" << record.request << " servers_ended=" << record.crashes.size()
         << " left_ms=" << this->crashes.TimeLeft(record.request, now).count() << "\n";
  }
  this->dispatcher.Describe(text);
  return text.str();
}

void
Traffic::SetServers(const std::vector<BackendServer>& aServers, BootTime aReadAt)
{
  std::set<std::string> ids;
  for (const BackendServer& server : aServers) {
    ids.insert(server.id);
  }
  this->pool.KeepOnly(ids);
  this->paths.SetServers(aServers);
  this->dispatcher.SetServers(aServers, aReadAt);
}

void
Traffic::SetAvoidedDomains(const std::vector<std::string>& aDomains)
{
  this->dispatcher.SetAvoidedDomains(aDomains);
}

void
Traffic::SetFleet(FleetView aFleet)
{
  this->fleet = std::move(aFleet);
  this->tokens.SetHolders(this->fleet.holders);
  this->paths.SetRelays(this->fleet.relays);
  this->dispatcher.SetPeers(this->fleet.senders);
  this->dispatcher.SetFleet(this->fleet.members);
  this->dispatcher.SetPeerDemand(this->fleet.demand);
  for (const auto& [service, plan] : this->fleet.plans) {
    this->dispatcher.AdoptPlan(service, plan);
  }
}

void
Traffic::OnPeerReport(const VmReport& aReport)
{
  this->dispatcher.OnPeerReport(aReport);
  MergeCrashes(this->crashes, aReport);
}

void
Traffic::ClearQuarantine()
{
  Log(LogLevel::kInfo, "quarantine_cleared", { { "requests", this->crashes.Size() } });
  this->crashes.Clear(BootClock::Now());
}

void
Traffic::SetQuota(const QuotaGrant& aGrant)
{
  this->tokens.SetQuota(aGrant);
}

void
Traffic::BeginStop(const placing::StopSignal& aSignal,
                   std::function<void()> aOnRejecting,
                   std::function<void(BootTime aExitAt)> aOnStopped)
{
  if (this->state.IsLeaving()) {
    return;
  }
  this->state.stopSchedule.emplace(aSignal, this->bounds.stopGrace);
  this->dispatcher.SetStopSchedule(*this->state.stopSchedule);
  this->EnterStopPhase(StopPhase::kLeaving);
  Log(LogLevel::kInfo,
      "stop_begun",
      { { "open_requests", this->state.openRequests },
        { "seen_late_ms_at_most", ToMilliseconds(aSignal.seenAt - aSignal.earliest).count() } });
  VmReport report;
  report.set_leaving(true);
  this->publishReport(std::move(report));
  asio::co_spawn(
    this->context, this->RunStop(std::move(aOnRejecting), std::move(aOnStopped)), asio::detached);
}

void
Traffic::EnterStopPhase(StopPhase aPhase)
{
  this->state.stopPhase = aPhase;
  // Each action lets the coroutine of a request go on later, so none is removed meanwhile.
  const auto [first, last] = this->state.stopActions.equal_range(aPhase);
  for (auto action = first; action != last; ++action) {
    action->second();
  }
}

Task<void>
Traffic::AwaitRequests(BootTime aUntil)
{
  asio::steady_timer timer(this->context);
  while (this->state.openRequests > 0 && BootClock::Now() < aUntil) {
    co_await Sleep(timer, kStopPoll);
  }
}

Task<void>
Traffic::RunStop(std::function<void()> aOnRejecting,
                 std::function<void(BootTime aExitAt)> aOnStopped)
{
  const placing::StopSchedule schedule = *this->state.stopSchedule;
  asio::steady_timer timer(this->context);
  while (BootClock::Now() < schedule.AcceptUntil()) {
    co_await Sleep(timer, kStopPoll);
  }
  this->EnterStopPhase(StopPhase::kRejecting);
  aOnRejecting();
  co_await this->AwaitRequests(schedule.EndAt());
  if (this->state.openRequests > 0) {
    Log(LogLevel::kInfo, "stop_ends_requests", { { "open_requests", this->state.openRequests } });
    this->EnterStopPhase(StopPhase::kEnding);
  }
  co_await this->AwaitRequests(schedule.EndBufferedAt());
  this->EnterStopPhase(StopPhase::kEndingBuffered);
  co_await this->AwaitRequests(schedule.ExitAt());
  Log(LogLevel::kInfo, "stopped", { { "open_requests", this->state.openRequests } });
  aOnStopped(schedule.ExitAt());
}

} // namespace plantainhaven::edge
