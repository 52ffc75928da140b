#include "plantainhaven/policy/lookup/lookup_policy.h"

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <unordered_set>

#include <strings.h>

namespace plantainhaven {
namespace {

constexpr std::uint32_t kFullWeight = 100;
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
struct Site
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

// Names of the VMs that may be used. This VM vouches for itself: its answers are
// checked against its own freshness when they are given.
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

// Uniform in 0 to `aCount` - 1; the bias is below 2^-32 for every count in use.
std::size_t
DrawBelow(std::size_t aCount, std::mt19937_64& aRandom)
{
  constexpr unsigned kHalf = 32;
  const std::uint64_t draw = aRandom() >> kHalf;
  return static_cast<std::size_t>((draw * aCount) >> kHalf);
}

// Positions drawn so far, ascending.
class TakenVms
{
public:
  // Draws one of `aCount` positions that wasn't drawn before.
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
  void ConnectTable();
  const Site* FindSite(const std::string& aRegion) const;
  const Site* HomeOf(const ClientAddress& aClient) const;
  const Site* SiteFor(const ClientAddress& aClient, std::mt19937_64& aRandom) const;
  void Choose(const Site& aSite, std::mt19937_64& aRandom, LookupDecision& aDecision) const;

  LookupOptions options;
  std::shared_ptr<const LookupTable> table;
  BootTime freshUntil{};
  Revision revision = 0;
  NameSet services;
  // Regions with at least one usable VM.
  std::vector<Site> sites;
  // Site of each region number of the table; null when the region has no usable VM.
  std::vector<const Site*> siteOfRegion;
  // Site of this VM's region; null when it has no usable VM.
  const Site* ownSite = nullptr;
  // The site of each usable VM, so that a draw falls on sites by their size.
  std::vector<const Site*> siteOfVm;
};

void
LookupPolicy::Impl::AddVms(const Configuration& aConfiguration, const LookupView& aView)
{
  const std::set<std::string> usable = UsableNames(this->options, aView);
  std::map<std::string, Site> byRegion;
  aConfiguration.ForEach("entry_vm", [&](const Resource& aResource) {
    const EntryVm& vm = aResource.entry_vm();
    if (vm.state() != EntryVm::ACTIVE || usable.count(aResource.name()) == 0) {
      return;
    }
    Site& site = byRegion[vm.region()];
    site.region = vm.region();
    site.vms.push_back({ aResource.name(), vm.address(), vm.entry_port() });
  });
  for (auto& [region, site] : byRegion) {
    this->sites.push_back(std::move(site));
  }
  for (const Site& site : this->sites) {
    this->siteOfVm.insert(this->siteOfVm.end(), site.vms.size(), &site);
  }
}

void
LookupPolicy::Impl::AddServices(const Configuration& aConfiguration)
{
  aConfiguration.ForEach(
    "service", [&](const Resource& aResource) { this->services.insert(aResource.name()); });
}

void
LookupPolicy::Impl::ConnectTable()
{
  for (const std::string& region : this->table->Regions()) {
    this->siteOfRegion.push_back(this->FindSite(region));
  }
  this->ownSite = this->FindSite(this->options.region);
}

const Site*
LookupPolicy::Impl::FindSite(const std::string& aRegion) const
{
  const auto found = std::find_if(this->sites.begin(), this->sites.end(), [&](const Site& aSite) {
    return aSite.region == aRegion;
  });
  return found == this->sites.end() ? nullptr : &*found;
}

const Site*
LookupPolicy::Impl::HomeOf(const ClientAddress& aClient) const
{
  const RegionNumber region = aClient.ipv4 ? this->table->Find(*aClient.ipv4) : kNoRegion;
  return region == kNoRegion ? this->ownSite : this->siteOfRegion[region];
}

const Site*
LookupPolicy::Impl::SiteFor(const ClientAddress& aClient, std::mt19937_64& aRandom) const
{
  const Site* const home = this->HomeOf(aClient);
  if (home != nullptr || this->siteOfVm.empty()) {
    return home;
  }
  return this->siteOfVm[DrawBelow(this->siteOfVm.size(), aRandom)];
}

// Draws without replacement. The order is random too, so that callers which take the
// first VM, and callers which go on to the next after a failure, are spread evenly.
void
LookupPolicy::Impl::Choose(const Site& aSite,
                           std::mt19937_64& aRandom,
                           LookupDecision& aDecision) const
{
  const std::size_t wanted = std::clamp<std::size_t>(this->options.targets, 1, kMaxTargets);
  const std::size_t count = std::min(wanted, aSite.vms.size());
  const auto share = static_cast<std::uint32_t>(kFullWeight / count);
  const std::size_t rest = kFullWeight % count;
  TakenVms taken;
  while (aDecision.count < count) {
    const std::size_t pick = taken.Draw(aSite.vms.size(), aRandom);
    const std::uint32_t extra = aDecision.count < rest ? 1 : 0;
    aDecision.targets[aDecision.count] = { &aSite.vms[pick], share + extra };
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
  this->impl->ConnectTable();
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
  const Site* const site = this->impl->SiteFor(aClient, aRandom);
  if (site == nullptr) {
    return LookupRefusal::kNoTarget;
  }
  LookupOutcome outcome{ std::in_place_type<LookupDecision> };
  LookupDecision& decision = std::get<LookupDecision>(outcome);
  decision.region = site->region;
  decision.ttl = this->impl->options.ttl;
  decision.revision = this->impl->revision;
  this->impl->Choose(*site, aRandom, decision);
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
  return this->impl->siteOfVm.size();
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
