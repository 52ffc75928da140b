#include "plantainhaven/policy/lookup/lookup_policy.h"

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <unordered_set>

#include <strings.h>

namespace plantainhaven {
namespace {

constexpr std::uint32_t kTotalWeight = 100;
constexpr const char* kLeavingState = "LEAVING";

struct StringHash
{
  using is_transparent = void;
  std::size_t operator()(std::string_view aText) const
  {
    return std::hash<std::string_view>{}(aText);
  }
};

using NameSet = std::unordered_set<std::string, StringHash, std::equal_to<>>;

// The usable VMs of one region.
struct RegionVms
{
  std::string region;
  std::vector<LookupVm> vms;
};

bool
IsUsable(const VmStatus& aStatus)
{
  const bool leaving = strcasecmp(aStatus.state().c_str(), kLeavingState) == 0;
  return aStatus.alive() && aStatus.fresh() && !leaving;
}

// Names of the usable VMs. This VM is usable unless it is leaving, whatever its status:
// Decide() checks its own freshness for each answer.
std::set<std::string>
UsableNames(const LookupOptions& aOptions, const LookupView& aView)
{
  std::set<std::string> names;
  for (const VmStatus& status : aView.vms) {
    if (IsUsable(status)) {
      names.insert(status.name());
    }
  }
  if (aView.leaving) {
    names.erase(aOptions.vm);
  } else {
    names.insert(aOptions.vm);
  }
  return names;
}

// Returns a uniform random number from 0 to `aCount` - 1. The bias is below 2^-32 for all
// counts in use.
std::size_t
DrawBelow(std::size_t aCount, std::mt19937_64& aRandom)
{
  constexpr unsigned kShift = 32;
  const std::uint64_t draw = aRandom() >> kShift;
  return static_cast<std::size_t>((draw * aCount) >> kShift);
}

// Draws random positions without replacement. Keeps the drawn ones in ascending order.
class DistinctDraws
{
public:
  // Returns one of `aCount` positions that hasn't been drawn before.
  std::size_t Draw(std::size_t aCount, std::mt19937_64& aRandom)
  {
    std::size_t pick = DrawBelow(aCount - this->count, aRandom);
    std::size_t place = 0;
    while (place < this->count && this->positions[place] <= pick) {
      ++pick;
      ++place;
    }
    const auto at = this->positions.begin() + static_cast<std::ptrdiff_t>(place);
    const auto end = this->positions.begin() + static_cast<std::ptrdiff_t>(this->count);
    std::copy_backward(at, end, end + 1);
    *at = pick;
    ++this->count;
    return pick;
  }

private:
  std::array<std::size_t, kMaxTargets> positions;
  std::size_t count = 0;
};

} // namespace

const char*
ToString(LookupRefusal aRefusal) noexcept
{
  static constexpr std::array kNames = { "stale_view", "unknown_service", "no_target" };
  return kNames[static_cast<std::size_t>(aRefusal)];
}

struct LookupPolicy::Impl
{
  void AddVms(const Configuration& aConfiguration, const LookupView& aView);
  void AddServices(const Configuration& aConfiguration);
  void MapRegionNumbers();
  const RegionVms* FindRegion(const std::string& aRegion) const;
  const RegionVms* HomeRegionOf(const ClientAddress& aClient) const;
  const RegionVms* SelectRegion(const ClientAddress& aClient, std::mt19937_64& aRandom) const;
  void DrawTargets(const RegionVms& aRegionVms,
                   std::mt19937_64& aRandom,
                   LookupDecision& aDecision) const;

  LookupOptions options;
  std::shared_ptr<const LookupTable> table;
  BootTime freshUntil{};
  Revision revision = 0;
  NameSet services;
  // Regions with at least one usable VM.
  std::vector<RegionVms> usableRegions;
  // Usable VMs by region number of the table; null if the region has no usable VM.
  std::vector<const RegionVms*> vmsByRegionNumber;
  // Usable VMs of this VM's region; null if there are none.
  const RegionVms* ownRegionVms = nullptr;
  // One entry for each usable VM, so that a uniform draw selects a region with a probability
  // proportional to its number of usable VMs.
  std::vector<const RegionVms*> regionOfVm;
};

void
LookupPolicy::Impl::AddVms(const Configuration& aConfiguration, const LookupView& aView)
{
  const std::set<std::string> usable = UsableNames(this->options, aView);
  std::map<std::string, RegionVms> byRegion;
  aConfiguration.ForEach("entry_vm", [&](const Resource& aResource) {
    const EntryVm& vm = aResource.entry_vm();
    if (vm.state() != EntryVm::ACTIVE || usable.count(aResource.name()) == 0) {
      return;
    }
    RegionVms& regionVms = byRegion[vm.region()];
    regionVms.region = vm.region();
    regionVms.vms.push_back({ aResource.name(), vm.address(), vm.entry_port() });
  });
  for (auto& [region, regionVms] : byRegion) {
    this->usableRegions.push_back(std::move(regionVms));
  }
  for (const RegionVms& regionVms : this->usableRegions) {
    this->regionOfVm.insert(this->regionOfVm.end(), regionVms.vms.size(), &regionVms);
  }
}

void
LookupPolicy::Impl::AddServices(const Configuration& aConfiguration)
{
  aConfiguration.ForEach(
    "service", [&](const Resource& aResource) { this->services.insert(aResource.name()); });
}

void
LookupPolicy::Impl::MapRegionNumbers()
{
  for (const std::string& region : this->table->Regions()) {
    this->vmsByRegionNumber.push_back(this->FindRegion(region));
  }
  this->ownRegionVms = this->FindRegion(this->options.region);
}

const RegionVms*
LookupPolicy::Impl::FindRegion(const std::string& aRegion) const
{
  const auto found =
    std::find_if(this->usableRegions.begin(),
                 this->usableRegions.end(),
                 [&](const RegionVms& aRegionVms) { return aRegionVms.region == aRegion; });
  return found == this->usableRegions.end() ? nullptr : &*found;
}

const RegionVms*
LookupPolicy::Impl::HomeRegionOf(const ClientAddress& aClient) const
{
  const RegionNumber region = aClient.ipv4 ? this->table->Find(*aClient.ipv4) : kNoRegion;
  return region == kNoRegion ? this->ownRegionVms : this->vmsByRegionNumber[region];
}

const RegionVms*
LookupPolicy::Impl::SelectRegion(const ClientAddress& aClient, std::mt19937_64& aRandom) const
{
  const RegionVms* const home = this->HomeRegionOf(aClient);
  if (home != nullptr || this->regionOfVm.empty()) {
    return home;
  }
  return this->regionOfVm[DrawBelow(this->regionOfVm.size(), aRandom)];
}

// Draws VMs without replacement. Their order is random too, so that callers are spread
// evenly if they use only the first VM and if they fail over to the next.
void
LookupPolicy::Impl::DrawTargets(const RegionVms& aRegionVms,
                                std::mt19937_64& aRandom,
                                LookupDecision& aDecision) const
{
  const std::size_t wanted = std::clamp<std::size_t>(this->options.targets, 1, kMaxTargets);
  const std::size_t count = std::min(wanted, aRegionVms.vms.size());
  const auto baseWeight = static_cast<std::uint32_t>(kTotalWeight / count);
  const std::size_t remainder = kTotalWeight % count;
  DistinctDraws draws;
  while (aDecision.count < count) {
    const std::size_t pick = draws.Draw(aRegionVms.vms.size(), aRandom);
    const std::uint32_t extraWeight = aDecision.count < remainder ? 1 : 0;
    aDecision.targets[aDecision.count] = { &aRegionVms.vms[pick], baseWeight + extraWeight };
    ++aDecision.count;
  }
}

LookupPolicy::LookupPolicy(const LookupOptions& aOptions,
                           std::shared_ptr<const LookupTable> aTable,
                           const Configuration& aConfiguration,
                           const LookupView& aView)
  : impl(std::make_unique<Impl>())
{
  this->impl->options = aOptions;
  this->impl->table = std::move(aTable);
  this->impl->freshUntil = aView.freshUntil;
  this->impl->revision = aConfiguration.AppliedRevision();
  this->impl->AddVms(aConfiguration, aView);
  this->impl->AddServices(aConfiguration);
  this->impl->MapRegionNumbers();
}

LookupPolicy::~LookupPolicy() = default;

LookupOutcome
LookupPolicy::Decide(std::string_view aService,
                     const ClientAddress& aClient,
                     BootTime aNow,
                     std::mt19937_64& aRandom) const
{
  if (!this->IsFresh(aNow)) {
    return LookupRefusal::kStaleView;
  }
  if (this->impl->services.find(aService) == this->impl->services.end()) {
    return LookupRefusal::kUnknownService;
  }
  const RegionVms* const regionVms = this->impl->SelectRegion(aClient, aRandom);
  if (regionVms == nullptr) {
    return LookupRefusal::kNoTarget;
  }
  LookupOutcome outcome{ std::in_place_type<LookupDecision> };
  LookupDecision& decision = std::get<LookupDecision>(outcome);
  decision.region = regionVms->region;
  decision.ttl = this->impl->options.ttl;
  decision.revision = this->impl->revision;
  this->impl->DrawTargets(*regionVms, aRandom, decision);
  return outcome;
}

bool
LookupPolicy::IsFresh(BootTime aNow) const
{
  return aNow < this->impl->freshUntil;
}

Revision
LookupPolicy::AppliedRevision() const
{
  return this->impl->revision;
}

std::size_t
LookupPolicy::UsableVmCount() const
{
  return this->impl->regionOfVm.size();
}

LookupAnswer
ToLookupAnswer(const LookupDecision& aDecision)
{
  LookupAnswer answer;
  for (std::size_t i = 0; i < aDecision.count; ++i) {
    const LookupTarget& chosen = aDecision.targets[i];
    LookupAnswer::Target* const target = answer.add_targets();
    target->set_vm(chosen.vm->name);
    target->set_address(chosen.vm->address);
    target->set_port(chosen.vm->port);
    target->set_weight(chosen.weight);
  }
  answer.set_ttl_seconds(static_cast<std::uint32_t>(aDecision.ttl.count()));
  answer.set_revision(aDecision.revision);
  answer.set_region(std::string(aDecision.region));
  return answer;
}

} // namespace plantainhaven
