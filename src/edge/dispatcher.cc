#include "edge/dispatcher.h"

#include "plantainhaven/common/log.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace plantainhaven::edge {
namespace {

// Bounds the number of queued requests that one event tries to place, and so its run time.
constexpr std::size_t kMaxPlacementsPerEvent = 256;
// Weight of the newest sample in the moving average of the demand. With a tick of 10 ms, the
// average covers about one second.
constexpr double kDemandWeight = 0.01;
// Below this demand of a service, its region plan depends on the slots alone.
constexpr double kMinDemand = 2.0;
// A request is rejected unless this fraction of the mean response time remains when it starts.
constexpr double kMinTimeFraction = 0.3;
constexpr std::chrono::milliseconds kNoServerRetryAfter{ 500 };
// Another VM can take the request at once.
constexpr DispatchFailure kStoppingFailure{ DispatchFailureReason::kStopping,
                                            std::chrono::milliseconds(50) };
// Fraction by which a rate limit must change for a report of its own.
constexpr double kLargeLimitChange = 0.25;
// Callers that were refused because of a rate limit compete for the next token.
constexpr std::chrono::milliseconds kMinLimitRetryAfter{ 200 };
// Above this mean response size, the traffic between failure domains costs more than loading an
// object into the cache of a second server.
constexpr double kLargeResponseBytes = 16 << 10;
// Weight of the newest response in the moving average of the response size. The average covers
// about twenty responses.
constexpr double kResponseBytesWeight = 0.05;
// Response size averages that are kept for each route of the current configuration. Routes that
// were removed from the configuration leave their averages behind; the limit bounds their number.
constexpr std::size_t kMaxMeansPerRoute = 4;
// Upper bound of the time that a report takes to another VM, so that what a server told this VM
// itself isn't taken for older.
constexpr std::chrono::milliseconds kReportTransitTime{ 100 };
// A region plan is logged again after this fraction of the requests has moved.
constexpr double kMinLoggedChange = 0.05;

BootTime
LatestStart(const DispatchRequest& aRequest, std::chrono::milliseconds aMeanResponseTime)
{
  const auto needed =
    std::chrono::duration<double, std::milli>(aMeanResponseTime) * kMinTimeFraction;
  return aRequest.deadlineAt - std::chrono::duration_cast<BootClock::duration>(needed);
}

void
LogLimit(const std::string& aServer, std::optional<double> aRate)
{
  Log(LogLevel::kInfo,
      "server_limit",
      { { "server", aServer },
        { "state", aRate ? "named" : "withdrawn" },
        { "per_s", aRate.value_or(0) } });
}

// Whether other VMs must learn of a changed limit before their next regular report: a server may
// name a slightly different rate in each response.
bool
IsLargeChange(std::optional<double> aPrevious, std::optional<double> aRate)
{
  return !aPrevious || !aRate || std::abs(*aRate - *aPrevious) > kLargeLimitChange * *aPrevious;
}

} // namespace

const char*
ToString(DispatchFailureReason aReason) noexcept
{
  switch (aReason) {
    case DispatchFailureReason::kNoServer:
      return "no_server";
    case DispatchFailureReason::kNoCapacity:
      return "no_room";
    case DispatchFailureReason::kServerLimit:
      return "server_limit";
    case DispatchFailureReason::kCallerDisconnected:
      return "caller_left";
    case DispatchFailureReason::kStopping:
      return "stopping";
  }
  return "unknown";
}

Dispatcher::Dispatcher(asio::io_context& aContext, DispatcherOptions aOptions, Metrics& aMetrics)
  : context(aContext)
  , options(std::move(aOptions))
  , metrics(aMetrics)
  , placement(this->options.vm, this->options.region, this->options.failureDomain)
{
}

void
Dispatcher::SetRouting(RoutingPtr aRouting)
{
  this->routing = std::move(aRouting);
  this->placement.SetServices(this->routing->services);
}

void
Dispatcher::SetOptions(DispatcherOptions aOptions)
{
  this->options = std::move(aOptions);
  for (auto& [name, state] : this->services) {
    state.retries.SetRatio(this->options.retryRatio);
  }
}

void
Dispatcher::SetServers(const std::vector<BackendServer>& aServers, BootTime aReadAt)
{
  this->placement.SetServers(aServers, aReadAt);
  this->Tick();
}

void
Dispatcher::SetAvoidedDomains(const std::vector<std::string>& aDomains)
{
  this->placement.SetAvoidedDomains(aDomains, BootClock::Now());
}

void
Dispatcher::SetPeers(const std::vector<PlacingPeer>& aPeers)
{
  this->placement.SetPeers(aPeers);
}

void
Dispatcher::SetFleet(const std::vector<PlacingPeer>& aVms)
{
  this->placement.SetFleet(aVms);
  this->fleetSize = std::max<std::size_t>(1, aVms.size());
  for (auto& [name, state] : this->services) {
    state.retries.SetCapacity(this->RetryCapacity());
  }
}

void
Dispatcher::SetPeerDemand(std::map<std::string, std::map<std::string, double>> aDemand)
{
  this->peerDemand = std::move(aDemand);
}

void
Dispatcher::AdoptPlan(const std::string& aService, const std::vector<RegionShare>& aPlan)
{
  ServiceState& state = this->StateOf(aService);
  if (state.plan.empty() && !aPlan.empty()) {
    state.plan = aPlan;
    this->placement.SetPlan(aService, aPlan);
  }
}

bool
Dispatcher::IsReady() const
{
  return this->routing != nullptr && this->placement.ServerCount() > 0;
}

Dispatcher::ServiceState&
Dispatcher::StateOf(const std::string& aService)
{
  return this->services.try_emplace(aService, this->options.retryRatio, this->RetryCapacity())
    .first->second;
}

Placing
Dispatcher::Choose(const DispatchRequest& aRequest, BootTime aNow)
{
  PlacingRequest request;
  request.service = aRequest.service;
  request.object = aRequest.object;
  request.allowed = aRequest.allowed;
  request.excluded = &aRequest.excluded;
  const auto bytes = this->responseBytes.find(aRequest.route);
  request.isLarge = bytes != this->responseBytes.end() && bytes->second > kLargeResponseBytes;
  return this->placement.Choose(request, aNow);
}

void
Dispatcher::ReserveSlot(const BackendServer& aServer,
                        const DispatchRequest& aRequest,
                        bool aWasQueued,
                        BootTime aNow)
{
  if (this->placement.LimitOf(aServer.id)) {
    const char* const kind = aWasQueued ? "queued" : "first";
    this->metrics.Count(
      "plantainhaven_limited_sends_total", "kind", aRequest.excluded.empty() ? kind : "retry");
  }
  this->placement.OnSent(aServer.id, aNow);
  ++this->StateOf(aServer.service).inFlight;
}

Task<DispatchResult>
Dispatcher::Acquire(DispatchRequest aRequest, std::uint64_t& aWaiter)
{
  const BootTime now = BootClock::Now();
  if (this->IsTooLateFor(aRequest, now)) {
    co_return kStoppingFailure;
  }
  ServiceState& state = this->StateOf(aRequest.service);
  this->placement.OnRequest(aRequest.object, now);
  const Placing placing = this->Choose(aRequest, now);
  if (placing.state == PlacingState::kNoServer) {
    co_return DispatchFailure{ DispatchFailureReason::kNoServer, kNoServerRetryAfter };
  }
  if (placing.state == PlacingState::kLimited) {
    co_return DispatchFailure{ DispatchFailureReason::kServerLimit,
                               std::max(placing.retryAfter, kMinLimitRetryAfter) };
  }
  if (placing.state == PlacingState::kSend) {
    this->ReserveSlot(*placing.server, aRequest, false, now);
    co_return *placing.server;
  }
  const std::uint64_t id = this->nextWaiter++;
  const QueuedRequest waiter{ .id = id,
                              .priority = aRequest.priority,
                              .arrivedAt = now,
                              .objectiveAt =
                                aRequest.objectiveAt - this->MeanResponseTime(aRequest.service),
                              .latestStart =
                                LatestStart(aRequest, this->MeanResponseTime(aRequest.service)),
                              .regions = aRequest.allowed.names };
  const Admission admission = state.queue.TryEnqueue(waiter, now);
  if (!admission.admitted) {
    co_return DispatchFailure{ DispatchFailureReason::kNoCapacity, admission.retryAfter };
  }
  const auto entry = std::make_shared<Waiting>(this->context);
  entry->request = std::move(aRequest);
  entry->server = placing.server == nullptr ? 0 : StableHash(placing.server->id);
  entry->timer.expires_at(asio::steady_timer::time_point::max());
  this->waiting.emplace(id, entry);
  aWaiter = id;
  beast::error_code ignored;
  co_await entry->timer.async_wait(Into(ignored));
  aWaiter = 0;
  this->metrics.Observe("plantainhaven_wait_seconds", BootClock::Now() - now);
  co_return entry->result;
}

void
Dispatcher::CancelWait(std::uint64_t aWaiter)
{
  this->CompleteWait(aWaiter, DispatchFailure{ DispatchFailureReason::kCallerDisconnected, {} });
}

bool
Dispatcher::IsTooLateFor(const DispatchRequest& aRequest, BootTime aNow) const
{
  return this->stopSchedule && !this->stopSchedule->Fits(aRequest.usualTime, aNow);
}

void
Dispatcher::RejectTooLate()
{
  const BootTime now = BootClock::Now();
  std::vector<std::uint64_t> ids;
  for (const auto& [id, waiter] : this->waiting) {
    if (this->IsTooLateFor(waiter->request, now)) {
      ids.push_back(id);
    }
  }
  for (const std::uint64_t id : ids) {
    this->CompleteWait(id, kStoppingFailure);
  }
}

void
Dispatcher::CompleteWait(std::uint64_t aWaiter, DispatchResult aResult)
{
  const auto found = this->waiting.find(aWaiter);
  if (found == this->waiting.end()) {
    return;
  }
  const std::shared_ptr<Waiting> entry = found->second;
  this->waiting.erase(found);
  this->StateOf(entry->request.service).queue.Dequeue(aWaiter);
  entry->result = std::move(aResult);
  entry->timer.cancel();
}

void
Dispatcher::End(const BackendServer& aServer, SendOutcome aOutcome, std::chrono::milliseconds aTook)
{
  const BootTime now = BootClock::Now();
  this->placement.OnEnded(aServer.id, aOutcome, aTook, now);
  ServiceState& state = this->StateOf(aServer.service);
  --state.inFlight;
  if (aOutcome == SendOutcome::kServed) {
    state.queue.OnCompletion(aServer.region, now);
  }
  this->DispatchWaiters(state, StableHash(aServer.id));
}

void
Dispatcher::BeginRelayed(const BackendServer& aServer)
{
  this->placement.OnRelayed(aServer.id, BootClock::Now());
}

void
Dispatcher::EndRelayed(const BackendServer& aServer,
                       SendOutcome aOutcome,
                       std::chrono::milliseconds aTook)
{
  this->placement.OnEnded(aServer.id, aOutcome, aTook, BootClock::Now());
  this->DispatchWaiters(this->StateOf(aServer.service), StableHash(aServer.id));
}

void
Dispatcher::OnLoad(const std::string& aServer, const ServerLoad& aLoad)
{
  this->placement.OnLoad(aServer, aLoad, BootClock::Now());
  this->reportedLoads[StableHash(aServer)] = aLoad.running + aLoad.waiting;
}

void
Dispatcher::OnLimit(const std::string& aServer, std::optional<double> aRate)
{
  const std::optional<double> previous = this->LimitOf(aServer);
  if (this->placement.OnLimit(aServer, aRate, BootClock::Now())) {
    LogLimit(aServer, aRate);
    this->hasLimitNews = this->hasLimitNews || IsLargeChange(previous, aRate);
  }
}

void
Dispatcher::OnLeaving(const std::string& aServer)
{
  if (this->placement.AcceptsRequests(aServer)) {
    Log(LogLevel::kInfo, "server_leaving", { { "server", aServer } });
  }
  this->placement.OnLeaving(aServer);
}

void
Dispatcher::OnBackOff(const std::string& aServer, std::chrono::milliseconds aTime)
{
  Log(LogLevel::kInfo, "server_backs_off", { { "server", aServer }, { "ms", aTime.count() } });
  this->metrics.Count("plantainhaven_server_back_offs_total");
  this->placement.OnBackOff(aServer, aTime, BootClock::Now());
}

void
Dispatcher::OnPeerReport(const VmReport& aReport)
{
  const BootTime now = BootClock::Now();
  for (const SeenLimit& limit : aReport.limits()) {
    const auto age = std::chrono::milliseconds(limit.age_ms()) + kReportTransitTime;
    const auto rate = limit.is_limited() ? std::optional(limit.rate()) : std::nullopt;
    this->placement.OnPeerLimit({ limit.server(), rate, now - age, now - age }, now);
  }
  for (const SeenLoad& load : aReport.loads()) {
    this->placement.OnPeerLoad(load.server(), static_cast<int>(load.requests()), now);
  }
}

void
Dispatcher::OnResponseBytes(const std::string& aRoute, std::uint64_t aBytes)
{
  if (this->responseBytes.size() > kMaxMeansPerRoute * this->routing->RouteCount()) {
    this->responseBytes.clear();
  }
  const auto bytes = static_cast<double>(aBytes);
  double& mean = this->responseBytes.try_emplace(aRoute, bytes).first->second;
  mean += kResponseBytesWeight * (bytes - mean);
}

void
Dispatcher::OnFirstAttempt(const std::string& aService)
{
  this->StateOf(aService).retries.OnFirstAttempt();
}

bool
Dispatcher::TryAcquireRetry(const std::string& aService)
{
  return this->StateOf(aService).retries.TryAcquire();
}

bool
Dispatcher::TryDispatch(std::uint64_t aId, Waiting& aWaiting, BootTime aNow)
{
  const Placing placing = this->Choose(aWaiting.request, aNow);
  if (placing.state == PlacingState::kBusy) {
    aWaiting.server = placing.server == nullptr ? 0 : StableHash(placing.server->id);
    return false;
  }
  if (placing.state == PlacingState::kNoServer) {
    this->CompleteWait(aId,
                       DispatchFailure{ DispatchFailureReason::kNoServer, kNoServerRetryAfter });
    return true;
  }
  if (placing.state == PlacingState::kLimited) {
    this->CompleteWait(aId,
                       DispatchFailure{ DispatchFailureReason::kServerLimit,
                                        std::max(placing.retryAfter, kMinLimitRetryAfter) });
    return true;
  }
  const BackendServer server = *placing.server;
  this->ReserveSlot(server, aWaiting.request, true, aNow);
  this->CompleteWait(aId, server);
  return true;
}

void
Dispatcher::DispatchWaiters(ServiceState& aState, std::uint64_t aServer)
{
  if (aState.queue.Size() == 0) {
    return;
  }
  const BootTime now = BootClock::Now();
  std::size_t placements = 0;
  for (const std::uint64_t id : aState.queue.DequeueOrder(now)) {
    const auto found = this->waiting.find(id);
    if (found == this->waiting.end() || (aServer != 0 && found->second->server != aServer)) {
      continue;
    }
    const std::shared_ptr<Waiting> waiter = found->second;
    const bool staysQueued = !this->TryDispatch(id, *waiter, now);
    // The requests behind it wait for a slot of the same server.
    const bool isFull = aServer != 0 && staysQueued && waiter->server == aServer;
    if (isFull || ++placements >= kMaxPlacementsPerEvent) {
      break;
    }
  }
}

void
Dispatcher::RejectExpired(const std::string& aService, ServiceState& aState)
{
  for (const std::uint64_t id : aState.queue.RequestsToReject(BootClock::Now())) {
    this->metrics.Count("plantainhaven_given_up_waiting_total", "service", aService);
    this->CompleteWait(id,
                       DispatchFailure{ DispatchFailureReason::kNoCapacity, kNoServerRetryAfter });
  }
}

void
Dispatcher::Tick()
{
  if (this->stopSchedule) {
    this->RejectTooLate();
  }
  for (auto& [name, state] : this->services) {
    this->DispatchWaiters(state, 0);
    this->RejectExpired(name, state);
    const double sample = state.inFlight + static_cast<double>(state.queue.Size());
    state.demand += kDemandWeight * (sample - state.demand);
  }
}

bool
Dispatcher::HasDemand(const std::vector<RegionState>& aRegions) const
{
  double sum = 0;
  for (const RegionState& region : aRegions) {
    sum += region.demand;
  }
  return sum >= kMinDemand;
}

void
Dispatcher::StepPlans()
{
  const BootTime now = BootClock::Now();
  for (const std::string& name : this->placement.ServiceNames()) {
    ServiceState& state = this->StateOf(name);
    std::vector<RegionState> regions = this->placement.Regions(name, now);
    for (RegionState& region : regions) {
      region.demand = this->peerDemand[name][region.name];
      region.demand += region.name == this->options.region ? state.demand : 0;
    }
    if (!this->HasDemand(regions)) {
      regions = WithAssumedDemand(std::move(regions));
    }
    const auto target = PlanRegions(regions, this->options.region);
    state.plan = StepTowards(state.plan, target, this->options.planStep);
    this->placement.SetPlan(name, state.plan);
    this->placement.SetSpareCapacity(name, HasSpareCapacity(regions));
    LogPlan(name, state, regions);
  }
}

void
Dispatcher::LogPlan(const std::string& aService,
                    ServiceState& aState,
                    const std::vector<RegionState>& aRegions)
{
  if (placing::MovedFraction(aState.loggedPlan, aState.plan) < kMinLoggedChange) {
    return;
  }
  aState.loggedPlan = aState.plan;
  std::string parts;
  for (const RegionShare& share : aState.plan) {
    parts += (parts.empty() ? "" : ",") + share.region + ":" + std::to_string(share.fraction);
  }
  std::string inputs;
  for (const RegionState& region : aRegions) {
    inputs += (inputs.empty() ? "" : ",") + region.name + ":" +
              std::to_string(std::lround(region.demand)) + "/" +
              std::to_string(std::lround(region.slots));
  }
  Log(LogLevel::kInfo,
      "split",
      { { "service", aService }, { "parts", parts }, { "demand_and_slots", inputs } });
}

void
Dispatcher::FillReport(VmReport& aReport)
{
  for (const auto& [name, state] : this->services) {
    ServiceDemand* const demand = aReport.add_demands();
    demand->set_service(name);
    demand->set_concurrency(state.demand);
    for (const RegionShare& share : state.plan) {
      RegionPart* const part = demand->add_parts();
      part->set_region(share.region);
      part->set_part(share.fraction);
    }
  }
  for (const auto& [server, requests] : this->reportedLoads) {
    SeenLoad* const load = aReport.add_loads();
    load->set_server(server);
    load->set_requests(static_cast<std::uint32_t>(requests));
  }
  this->reportedLoads.clear();
  aReport.set_has_limit_news(std::exchange(this->hasLimitNews, false));
  const BootTime now = BootClock::Now();
  const auto limits = this->limitRotation.Next(this->placement.KnownLimits(now), now);
  for (const placing::KnownLimit& known : limits) {
    SeenLimit* const limit = aReport.add_limits();
    limit->set_server(known.server);
    limit->set_is_limited(known.rate.has_value());
    limit->set_rate(known.rate.value_or(0));
    limit->set_age_ms(static_cast<std::uint32_t>(ToMilliseconds(now - known.statedAt).count()));
  }
  aReport.set_configuration_version(this->routing == nullptr ? 0 : this->routing->version);
}

std::chrono::milliseconds
Dispatcher::MeanResponseTime(const std::string& aService) const
{
  return this->placement.MeanResponseTime(aService);
}

void
Dispatcher::Describe(std::ostream& aInto) const
{
  for (const auto& [name, state] : this->services) {
    aInto << "service name=" << name << " in_flight=" << state.inFlight
          << " waiting=" << state.queue.Size();
    for (const RegionShare& share : state.plan) {
      aInto << " to_" << share.region << "=" << share.fraction;
    }
    aInto << "\n";
  }
  for (const placing::ServerStatus& server : this->placement.ServerStatuses(BootClock::Now())) {
    aInto << "server id=" << server.id << " service=" << server.service
          << " region=" << server.region << " state=" << server.state << " load=" << server.load
          << " slots=" << server.slots;
    if (server.limit) {
      aInto << " limit_per_s=" << *server.limit;
    }
    aInto << "\n";
  }
}

std::optional<double>
Dispatcher::LimitOf(const std::string& aServer) const
{
  return this->placement.LimitOf(aServer);
}

} // namespace plantainhaven::edge
