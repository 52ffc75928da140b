#include "plantainhaven/policy/request/shift_tracker.h"

#include <algorithm>
#include <map>
#include <optional>

namespace plantainhaven {

namespace {

struct ServiceShift
{
  std::optional<SplitPolicy> policy;
  std::vector<std::string> regions;
  // Nothing while the start isn't known.
  std::optional<TrafficShift> position;
  BootTime waitingSince{};
  // True once a request of the service was sent on its way here.
  bool hasTraffic = false;
  // True once a request followed the position, which may then no longer be replaced.
  bool used = false;
};

using ShiftMap = std::map<std::string, ServiceShift, std::less<>>;

} // namespace

struct ShiftTracker::Impl
{
  void TakePolicy(ServiceShift& aShift, const ServiceEntry& aService, BootTime aNow) const;
  std::vector<RegionWeight> OwnSplit(const ServiceShift& aShift) const;

  ShiftTrackerOptions options;
  bool updated = false;
  ShiftMap shifts;
};

// Without a policy the requests of this VM went to its own region.
std::vector<RegionWeight>
ShiftTracker::Impl::OwnSplit(const ServiceShift& aShift) const
{
  const std::string& own = this->options.ownRegion;
  const bool served =
    std::find(aShift.regions.begin(), aShift.regions.end(), own) != aShift.regions.end();
  if (served || aShift.regions.empty()) {
    return { { own, 100 } };
  }
  return { { aShift.regions.front(), 100 } };
}

void
ShiftTracker::Impl::TakePolicy(ServiceShift& aShift,
                               const ServiceEntry& aService,
                               BootTime aNow) const
{
  const bool had = aShift.policy.has_value();
  aShift.policy = aService.policy;
  if (!aShift.policy) {
    aShift.position.reset();
    aShift.used = false;
    return;
  }
  if (had) {
    return;
  }
  aShift.waitingSince = aNow;
  if (!this->updated) {
    return;
  }
  const std::vector<RegionWeight> start =
    aShift.hasTraffic ? this->OwnSplit(aShift) : aShift.policy->target;
  aShift.position.emplace(start, aNow);
  aShift.used = aShift.hasTraffic;
}

ShiftTracker::ShiftTracker(ShiftTrackerOptions aOptions)
  : impl(std::make_unique<Impl>())
{
  this->impl->options = std::move(aOptions);
}

ShiftTracker::~ShiftTracker() = default;

void
ShiftTracker::Update(const RequestTables& aTables, BootTime aNow)
{
  ShiftMap kept;
  for (const ServiceEntry& service : aTables.Services()) {
    ServiceShift& shift = kept[service.name];
    const auto before = this->impl->shifts.find(service.name);
    if (before != this->impl->shifts.end()) {
      shift = std::move(before->second);
    }
    shift.regions.clear();
    for (const RegionServers& region : service.regions) {
      shift.regions.push_back(region.region);
    }
    this->impl->TakePolicy(shift, service, aNow);
  }
  this->impl->shifts = std::move(kept);
  this->impl->updated = true;
}

void
ShiftTracker::OnPeerSplits(const std::vector<ServiceSplit>& aPositions, bool aPeers, BootTime aNow)
{
  for (const ServiceSplit& split : aPositions) {
    const auto found = this->impl->shifts.find(split.service);
    const bool known = found != this->impl->shifts.end() && found->second.policy.has_value();
    if (known && !found->second.used && !split.weights.empty()) {
      found->second.position.emplace(split.weights, aNow);
      // Taken once: from now on it moves by itself.
      found->second.used = true;
    }
  }
  for (auto& [service, shift] : this->impl->shifts) {
    if (!shift.policy || shift.position) {
      continue;
    }
    if (!aPeers || aNow - shift.waitingSince >= this->impl->options.startWait) {
      shift.position.emplace(shift.policy->target, aNow);
    }
  }
}

void
ShiftTracker::Advance(const ServerChooser& aServers, BootTime aNow)
{
  for (auto& [service, shift] : this->impl->shifts) {
    if (!shift.policy || !shift.position) {
      continue;
    }
    std::vector<std::string> lost;
    for (const RegionWeight& weight : shift.policy->target) {
      if (aServers.IsRegionUnavailable(service, weight.region, aNow)) {
        lost.push_back(weight.region);
      }
    }
    shift.position->Advance(*shift.policy, lost, aNow);
  }
}

RegionChoice
ShiftTracker::Choose(std::string_view aService, double aDraw)
{
  const auto found = this->impl->shifts.find(aService);
  if (found == this->impl->shifts.end()) {
    return {};
  }
  ServiceShift& shift = found->second;
  shift.hasTraffic = true;
  if (!shift.policy) {
    return {};
  }
  if (!shift.position) {
    return { RegionChoice::Kind::kUnknown };
  }
  shift.used = true;
  return { RegionChoice::Kind::kWeighted, shift.position->RegionAt(aDraw) };
}

std::vector<ServiceSplit>
ShiftTracker::CurrentSplits() const
{
  std::vector<ServiceSplit> positions;
  for (const auto& [service, shift] : this->impl->shifts) {
    // An unused position says nothing about where traffic goes.
    if (shift.position && shift.used) {
      positions.push_back({ service, shift.position->Weights() });
    }
  }
  return positions;
}

} // namespace plantainhaven
