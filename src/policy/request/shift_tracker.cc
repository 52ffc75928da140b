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
  // Empty while the initial split isn't known.
  std::optional<TrafficShift> trafficShift;
  BootTime waitingSince{};
  // True once this VM has routed a request of the service.
  bool hasTraffic = false;
  // True once requests may have been routed by the split. From then on a peer's split no
  // longer replaces it.
  bool used = false;
};

using ShiftMap = std::map<std::string, ServiceShift, std::less<>>;

} // namespace

struct ShiftTracker::Impl
{
  void ApplyPolicy(ServiceShift& aShift, const ServiceEntry& aService, BootTime aNow) const;
  std::vector<RegionWeight> SplitWithoutPolicy(const ServiceShift& aShift) const;

  ShiftTrackerOptions options;
  bool updated = false;
  ShiftMap shifts;
};

// Returns the split that applies without a policy: all requests of this VM go to its own
// region, or to the first region that has servers when its own has none.
std::vector<RegionWeight>
ShiftTracker::Impl::SplitWithoutPolicy(const ServiceShift& aShift) const
{
  const std::string& own = this->options.ownRegion;
  const bool hasServers =
    std::find(aShift.regions.begin(), aShift.regions.end(), own) != aShift.regions.end();
  if (hasServers || aShift.regions.empty()) {
    return { { own, 100 } };
  }
  return { { aShift.regions.front(), 100 } };
}

void
ShiftTracker::Impl::ApplyPolicy(ServiceShift& aShift,
                                const ServiceEntry& aService,
                                BootTime aNow) const
{
  const bool hadPolicy = aShift.policy.has_value();
  aShift.policy = aService.policy;
  if (!aShift.policy) {
    aShift.trafficShift.reset();
    aShift.used = false;
    return;
  }
  if (hadPolicy) {
    return;
  }
  aShift.waitingSince = aNow;
  if (!this->updated) {
    return;
  }
  const std::vector<RegionWeight> initialSplit =
    aShift.hasTraffic ? this->SplitWithoutPolicy(aShift) : aShift.policy->target;
  aShift.trafficShift.emplace(initialSplit, aNow);
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
    const auto previous = this->impl->shifts.find(service.name);
    if (previous != this->impl->shifts.end()) {
      shift = std::move(previous->second);
    }
    shift.regions.clear();
    for (const RegionServers& region : service.regions) {
      shift.regions.push_back(region.region);
    }
    this->impl->ApplyPolicy(shift, service, aNow);
  }
  this->impl->shifts = std::move(kept);
  this->impl->updated = true;
}

void
ShiftTracker::OnPeerSplits(const std::vector<ServiceSplit>& aSplits, bool aHasPeers, BootTime aNow)
{
  for (const ServiceSplit& split : aSplits) {
    const auto found = this->impl->shifts.find(split.service);
    const bool known = found != this->impl->shifts.end() && found->second.policy.has_value();
    if (known && !found->second.used && !split.weights.empty()) {
      found->second.trafficShift.emplace(split.weights, aNow);
      // A peer's split is applied only once; after that Advance() moves it.
      found->second.used = true;
    }
  }
  for (auto& [service, shift] : this->impl->shifts) {
    if (!shift.policy || shift.trafficShift) {
      continue;
    }
    if (!aHasPeers || aNow - shift.waitingSince >= this->impl->options.peerWait) {
      shift.trafficShift.emplace(shift.policy->target, aNow);
    }
  }
}

void
ShiftTracker::Advance(const ServerChooser& aServers, BootTime aNow)
{
  for (auto& [service, shift] : this->impl->shifts) {
    if (!shift.policy || !shift.trafficShift) {
      continue;
    }
    std::vector<std::string> unavailable;
    for (const RegionWeight& weight : shift.policy->target) {
      if (aServers.IsRegionUnavailable(service, weight.region, aNow)) {
        unavailable.push_back(weight.region);
      }
    }
    shift.trafficShift->Advance(*shift.policy, unavailable, aNow);
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
  if (!shift.trafficShift) {
    return { RegionChoice::Kind::kUnknown };
  }
  shift.used = true;
  return { RegionChoice::Kind::kWeighted, shift.trafficShift->PickRegion(aDraw) };
}

std::vector<ServiceSplit>
ShiftTracker::CurrentSplits() const
{
  std::vector<ServiceSplit> splits;
  for (const auto& [service, shift] : this->impl->shifts) {
    // A split that no request has used doesn't describe actual traffic.
    if (shift.trafficShift && shift.used) {
      splits.push_back({ service, shift.trafficShift->Weights() });
    }
  }
  return splits;
}

} // namespace plantainhaven
