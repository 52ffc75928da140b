#include "edge/dispatcher.h"

#include "plantainhaven/common/log.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace plantainhaven::edge {
namespace {

// Bounds the number of queued requests that one event tries to place, and so its run time.
constexpr std::size_t kMostOffers = 256;
// Weight of the newest sample in the moving average of the demand. With a tick of 10 ms, the
// average covers about one second.
constexpr double kDemandWeight = 0.01;
// Below this demand of a service, its region plan depends on the slots alone.
constexpr double kLeastDemand = 2.0;
// A request is rejected unless this fraction of the mean response time remains when it starts.
constexpr double kNeededTime = 0.3;
constexpr std::chrono::milliseconds kRetryWithoutServer{ 500 };
// Above this mean response size, the traffic between failure domains costs more than loading an
// object into the cache of a second server.
constexpr double kLargeResponse = 16 << 10;
// Weight of the newest response in the moving average of the response size. The average covers
// about twenty responses.
constexpr double kBytesWeight = 0.05;
// Response size averages that are kept for each route of the current configuration. Routes that
// were removed from the configuration leave their averages behind; the limit bounds their number.
constexpr std::size_t kMeansPerRoute = 4;
// A region plan is logged again after this fraction of the requests has moved.
constexpr double kLoggedShift = 0.05;

BootTime
LatestStart(const SendWish& aWish, std::chrono::milliseconds aUsual)
{
  const auto needed = std::chrono::duration<double, std::milli>(aUsual) * kNeededTime;
  return aWish.deadlineAt - std::chrono::duration_cast<BootClock::duration>(needed);
}

} // namespace

const char*
ToString(NoSendReason aReason) noexcept
{
  switch (aReason) {
    case NoSendReason::kNoServer:
      return "no_server";
    case NoSendReason::kNoRoom:
      return "no_room";
    case NoSendReason::kCallerLeft:
      return "caller_left";
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
Dispatcher::SetPeers(std::vector<PlacingPeer> aPeers)
{
  const double stock = placing::RetryBurst(this->options.retrySlack, aPeers.size());
  for (auto& [name, state] : this->services) {
    state.retries.SetCapacity(stock);
  }
  this->placement.SetPeers(std::move(aPeers));
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
  return this->services.try_emplace(aService, this->options).first->second;
}

Placing
Dispatcher::Choose(const SendWish& aWish, BootTime aNow)
{
  PlacingRequest request;
  request.service = aWish.service;
  request.object = aWish.object;
  request.allowed = aWish.allowed;
  request.excluded = &aWish.excluded;
  const auto bytes = this->responseBytes.find(aWish.route);
  request.isLarge = bytes != this->responseBytes.end() && bytes->second > kLargeResponse;
  return this->placement.Choose(request, aNow);
}

void
Dispatcher::Grant(const BackendServer& aServer, BootTime aNow)
{
  this->placement.OnSent(aServer.id, aNow);
  ++this->StateOf(aServer.service).inFlight;
}

Task<Granted>
Dispatcher::Acquire(SendWish aWish, std::uint64_t& aWaiter)
{
  const BootTime now = BootClock::Now();
  ServiceState& state = this->StateOf(aWish.service);
  this->placement.OnRequest(aWish.object, now);
  const Placing placing = this->Choose(aWish, now);
  if (placing.state == PlacingState::kNoServer) {
    co_return NoSend{ NoSendReason::kNoServer, kRetryWithoutServer };
  }
  if (placing.state == PlacingState::kSend) {
    this->Grant(*placing.server, now);
    co_return *placing.server;
  }
  const std::uint64_t id = this->nextWaiter++;
  const QueuedRequest waiter{ .id = id,
                              .priority = aWish.priority,
                              .arrivedAt = now,
                              .objectiveAt = aWish.objectiveAt - this->UsualTime(aWish.service),
                              .latestStart = LatestStart(aWish, this->UsualTime(aWish.service)),
                              .regions = aWish.allowed.names };
  const Admission admission = state.line.TryEnqueue(waiter, now);
  if (!admission.admitted) {
    co_return NoSend{ NoSendReason::kNoRoom, admission.retryAfter };
  }
  const auto entry = std::make_shared<Waiting>(this->context);
  entry->wish = std::move(aWish);
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
Dispatcher::Abandon(std::uint64_t aWaiter)
{
  this->Wake(aWaiter, NoSend{ NoSendReason::kCallerLeft, {} });
}

void
Dispatcher::Wake(std::uint64_t aWaiter, Granted aResult)
{
  const auto found = this->waiting.find(aWaiter);
  if (found == this->waiting.end()) {
    return;
  }
  const std::shared_ptr<Waiting> entry = found->second;
  this->waiting.erase(found);
  this->StateOf(entry->wish.service).line.Dequeue(aWaiter);
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
    state.line.OnCompletion(aServer.region, now);
  }
  this->OfferRoom(state, StableHash(aServer.id));
}

void
Dispatcher::OnLoad(const std::string& aServer, const ServerLoad& aLoad)
{
  this->placement.OnLoad(aServer, aLoad, BootClock::Now());
  this->seenLoads[StableHash(aServer)] = aLoad.running + aLoad.waiting;
}

void
Dispatcher::OnPeerLoads(const VmReport& aReport)
{
  const BootTime now = BootClock::Now();
  for (const SeenLoad& load : aReport.loads()) {
    this->placement.OnPeerLoad(load.server(), static_cast<int>(load.requests()), now);
  }
}

void
Dispatcher::OnResponseBytes(const std::string& aRoute, std::uint64_t aBytes)
{
  if (this->responseBytes.size() > kMeansPerRoute * this->routing->RouteCount()) {
    this->responseBytes.clear();
  }
  const auto bytes = static_cast<double>(aBytes);
  double& mean = this->responseBytes.try_emplace(aRoute, bytes).first->second;
  mean += kBytesWeight * (bytes - mean);
}

void
Dispatcher::CountFirstSend(const std::string& aService)
{
  this->StateOf(aService).retries.OnFirstAttempt();
}

bool
Dispatcher::TryRepeat(const std::string& aService)
{
  return this->StateOf(aService).retries.TryAcquire();
}

bool
Dispatcher::Offer(std::uint64_t aId, Waiting& aWaiting, BootTime aNow)
{
  const Placing placing = this->Choose(aWaiting.wish, aNow);
  if (placing.state == PlacingState::kBusy) {
    aWaiting.server = placing.server == nullptr ? 0 : StableHash(placing.server->id);
    return false;
  }
  if (placing.state == PlacingState::kNoServer) {
    this->Wake(aId, NoSend{ NoSendReason::kNoServer, kRetryWithoutServer });
    return true;
  }
  const BackendServer server = *placing.server;
  this->Grant(server, aNow);
  this->Wake(aId, server);
  return true;
}

void
Dispatcher::OfferRoom(ServiceState& aState, std::uint64_t aServer)
{
  if (aState.line.Size() == 0) {
    return;
  }
  const BootTime now = BootClock::Now();
  std::size_t offers = 0;
  for (const std::uint64_t id : aState.line.DequeueOrder(now)) {
    const auto found = this->waiting.find(id);
    if (found == this->waiting.end() || (aServer != 0 && found->second->server != aServer)) {
      continue;
    }
    const std::shared_ptr<Waiting> waiter = found->second;
    const bool goesOn = !this->Offer(id, *waiter, now);
    // The requests behind it wait for a slot of the same server.
    const bool isFull = aServer != 0 && goesOn && waiter->server == aServer;
    if (isFull || ++offers >= kMostOffers) {
      break;
    }
  }
}

void
Dispatcher::RefuseHopeless(const std::string& aService, ServiceState& aState)
{
  for (const std::uint64_t id : aState.line.RequestsToReject(BootClock::Now())) {
    this->metrics.Count("plantainhaven_given_up_waiting_total", "service", aService);
    this->Wake(id, NoSend{ NoSendReason::kNoRoom, kRetryWithoutServer });
  }
}

void
Dispatcher::Tick()
{
  for (auto& [name, state] : this->services) {
    this->OfferRoom(state, 0);
    this->RefuseHopeless(name, state);
    const double sample = state.inFlight + static_cast<double>(state.line.Size());
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
  return sum >= kLeastDemand;
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
  if (placing::MovedFraction(aState.loggedPlan, aState.plan) < kLoggedShift) {
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
  for (const auto& [server, requests] : this->seenLoads) {
    SeenLoad* const load = aReport.add_loads();
    load->set_server(server);
    load->set_requests(static_cast<std::uint32_t>(requests));
  }
  this->seenLoads.clear();
  aReport.set_configuration_version(this->routing == nullptr ? 0 : this->routing->version);
}

std::chrono::milliseconds
Dispatcher::UsualTime(const std::string& aService) const
{
  return this->placement.MeanResponseTime(aService);
}

void
Dispatcher::Describe(std::ostream& aInto) const
{
  for (const auto& [name, state] : this->services) {
    aInto << "service name=" << name << " in_flight=" << state.inFlight
          << " waiting=" << state.line.Size();
    for (const RegionShare& share : state.plan) {
      aInto << " to_" << share.region << "=" << share.fraction;
    }
    aInto << "\n";
  }
  for (const placing::ServerStatus& server : this->placement.ServerStatuses(BootClock::Now())) {
    aInto << "server id=" << server.id << " service=" << server.service
          << " region=" << server.region << " state=" << server.state << " load=" << server.load
          << " slots=" << server.slots << "\n";
  }
}

bool
Dispatcher::MayUse(const std::string& aServer) const
{
  return this->placement.MayUse(aServer, BootClock::Now());
}

} // namespace plantainhaven::edge
