#include "plantainhaven/entry/steering.h"

#include <algorithm>
#include <mutex>
#include <random>
#include <unordered_map>

namespace plantainhaven {

namespace {

// Step of the draws that spread requests over regions: the golden ratio's fraction
// keeps every run of draws close to even.
constexpr double kDrawStep = 0.6180339887498949;

} // namespace

struct Steering::Impl
{
  explicit Impl(SteeringOptions aOptions)
    : options(std::move(aOptions))
    , random(this->options.seed)
    , servers(this->options.chooser)
    , shifts({ this->options.ownRegion, this->options.startWait })
    , draw(std::uniform_real_distribution<double>()(this->random))
  {
  }

  RetryBudget& RetriesOf(const std::string& aService);
  std::vector<std::string> Nearest(const ServiceEntry& aService, BootTime aNow);

  SteeringOptions options;
  mutable std::mutex mutex;
  std::mt19937_64 random;
  ServerChooser servers;
  ShiftTracker shifts;
  std::unordered_map<std::string, RetryBudget> retries;
  double draw;
};

RetryBudget&
Steering::Impl::RetriesOf(const std::string& aService)
{
  return this->retries.try_emplace(aService, this->options.retries).first->second;
}

// The own region, then the others in random order; lost ones last, for they may be back.
std::vector<std::string>
Steering::Impl::Nearest(const ServiceEntry& aService, BootTime aNow)
{
  std::vector<std::string> usable;
  std::vector<std::string> lost;
  usable.reserve(aService.regions.size());
  for (const RegionServers& region : aService.regions) {
    const bool isLost = this->servers.IsRegionUnavailable(aService.name, region.region, aNow);
    (isLost ? lost : usable).push_back(region.region);
  }
  const auto own = std::find(usable.begin(), usable.end(), this->options.ownRegion);
  if (own != usable.end()) {
    std::iter_swap(usable.begin(), own);
  }
  std::shuffle(usable.begin() + (own == usable.end() ? 0 : 1), usable.end(), this->random);
  usable.insert(usable.end(), lost.begin(), lost.end());
  return usable;
}

Steering::Steering(SteeringOptions aOptions)
  : impl(std::make_unique<Impl>(std::move(aOptions)))
{
}

Steering::~Steering() = default;

void
Steering::Update(const RequestTables& aTables, BootTime aNow)
{
  const std::lock_guard<std::mutex> lock(this->impl->mutex);
  this->impl->servers.Update(aTables, aNow);
  this->impl->shifts.Update(aTables, aNow);
}

void
Steering::OnPeerPositions(const std::vector<ServiceSplit>& aPositions, bool aPeers, BootTime aNow)
{
  const std::lock_guard<std::mutex> lock(this->impl->mutex);
  this->impl->shifts.OnPeerSplits(aPositions, aPeers, aNow);
}

void
Steering::Advance(BootTime aNow)
{
  const std::lock_guard<std::mutex> lock(this->impl->mutex);
  this->impl->shifts.Advance(this->impl->servers, aNow);
}

std::vector<ServiceSplit>
Steering::Positions() const
{
  const std::lock_guard<std::mutex> lock(this->impl->mutex);
  return this->impl->shifts.CurrentSplits();
}

void
Steering::OnReport(const std::string& aServer, const LoadReport& aReport, BootTime aAskedAt)
{
  const std::lock_guard<std::mutex> lock(this->impl->mutex);
  this->impl->servers.OnReport(aServer, aReport, aAskedAt);
}

void
Steering::OnReportMissing(const std::string& aServer, BootTime aNow)
{
  const std::lock_guard<std::mutex> lock(this->impl->mutex);
  this->impl->servers.OnReportMissing(aServer, aNow);
}

void
Steering::OnUnreachable(const std::string& aServer, BootTime aNow)
{
  const std::lock_guard<std::mutex> lock(this->impl->mutex);
  this->impl->servers.OnUnreachable(aServer, aNow);
}

RegionPlan
Steering::Plan(const ServiceEntry& aService, BootTime aNow)
{
  const std::lock_guard<std::mutex> lock(this->impl->mutex);
  Impl& state = *this->impl;
  state.RetriesOf(aService.name).OnRequest(aNow);
  state.draw += kDrawStep;
  state.draw -= state.draw >= 1 ? 1 : 0;
  const RegionChoice choice = state.shifts.Choose(aService.name, state.draw);
  RegionPlan plan;
  plan.kind = choice.kind;
  if (choice.kind == RegionChoice::Kind::kNearest) {
    plan.regions = state.Nearest(aService, aNow);
  }
  if (choice.kind == RegionChoice::Kind::kWeighted) {
    plan.regions = { choice.region };
    plan.lost = state.servers.IsRegionUnavailable(aService.name, choice.region, aNow);
  }
  return plan;
}

std::shared_ptr<const ServerEntry>
Steering::Begin(const std::string& aService,
                const std::string& aRegion,
                const AvoidedTargets& aAvoided,
                BootTime aNow)
{
  const std::lock_guard<std::mutex> lock(this->impl->mutex);
  Impl& state = *this->impl;
  std::shared_ptr<const ServerEntry> server =
    state.servers.Choose(aService, aRegion, aAvoided, aNow, state.random);
  if (server != nullptr) {
    state.servers.OnAttemptStart(server->name);
  }
  return server;
}

void
Steering::End(const ServerEntry& aServer, AttemptOutcome aOutcome, BootTime aNow)
{
  const std::lock_guard<std::mutex> lock(this->impl->mutex);
  this->impl->servers.OnAttemptEnd(aServer.name, aOutcome, aNow);
}

void
Steering::OnAnswerTime(const ServerEntry& aServer, std::chrono::nanoseconds aTime)
{
  const std::lock_guard<std::mutex> lock(this->impl->mutex);
  this->impl->servers.OnResponseTime(aServer.name, aTime);
}

std::chrono::nanoseconds
Steering::UsualAnswerTime(const ServerEntry& aServer) const
{
  const std::lock_guard<std::mutex> lock(this->impl->mutex);
  return this->impl->servers.MeanResponseTime(aServer.name);
}

void
Steering::OnDraining(const ServerEntry& aServer, BootTime aNow)
{
  const std::lock_guard<std::mutex> lock(this->impl->mutex);
  this->impl->servers.OnDraining(aServer.name, aNow);
}

bool
Steering::TakesNew(const ServerEntry& aServer, BootTime aNow) const
{
  const std::lock_guard<std::mutex> lock(this->impl->mutex);
  return this->impl->servers.AcceptsNewRequests(aServer.name, aNow);
}

bool
Steering::TryRetry(const std::string& aService, BootTime aNow)
{
  const std::lock_guard<std::mutex> lock(this->impl->mutex);
  return this->impl->RetriesOf(aService).TryAcquire(aNow);
}

} // namespace plantainhaven
