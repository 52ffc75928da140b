#include "plantainhaven/policy/request/server_chooser.h"

#include "policy/request/server_state.h"

#include <algorithm>
#include <map>
#include <unordered_map>

namespace plantainhaven {

namespace {

using StatePointer = std::shared_ptr<ServerState>;
using Group = std::vector<StatePointer>;

struct GroupName
{
  std::string service;
  std::string region;
};

struct GroupView
{
  std::string_view service;
  std::string_view region;
};

struct GroupLess
{
  using is_transparent = void;
  template<typename Left, typename Right>
  bool operator()(const Left& aLeft, const Right& aRight) const
  {
    const int order = std::string_view(aLeft.service).compare(aRight.service);
    return order != 0 ? order < 0 : std::string_view(aLeft.region) < aRight.region;
  }
};

bool
Contains(const std::vector<std::string>& aNames, const std::string& aName)
{
  return std::find(aNames.begin(), aNames.end(), aName) != aNames.end();
}

} // namespace

struct ServerChooser::Impl
{
  void AddServer(const ServerEntry& aServer, std::chrono::nanoseconds aSlowStart, BootTime aNow);
  ServerState* Find(const std::string& aName) const;
  std::vector<const ServerState*> Usable(const Group& aGroup, BootTime aNow) const;
  std::vector<const ServerState*> Preferred(const std::vector<const ServerState*>& aStates,
                                            const AvoidedTargets& aAvoided,
                                            BootTime aNow) const;
  const ServerState* LessLoaded(const ServerState* aLeft,
                                const ServerState* aRight,
                                BootTime aNow) const;

  ServerChooserOptions options;
  bool updated = false;
  std::unordered_map<std::string, StatePointer> servers;
  std::map<GroupName, Group, GroupLess> groups;
};

ServerState*
ServerChooser::Impl::Find(const std::string& aName) const
{
  const auto found = this->servers.find(aName);
  return found == this->servers.end() ? nullptr : found->second.get();
}

void
ServerChooser::Impl::AddServer(const ServerEntry& aServer,
                               std::chrono::nanoseconds aSlowStart,
                               BootTime aNow)
{
  StatePointer& state = this->servers[aServer.name];
  const bool sameProcess = state != nullptr && state->entry->address == aServer.address &&
                           state->entry->port == aServer.port;
  if (!sameProcess) {
    state = std::make_shared<ServerState>(this->updated, aNow);
  }
  state->entry = std::make_shared<const ServerEntry>(aServer);
  state->slowStart = aSlowStart;
  this->groups[{ aServer.service, aServer.region }].push_back(state);
}

// Returns the servers of a group that are neither draining nor ejected. If these are fewer
// than half of the servers that aren't draining, adds the ejected servers whose ejection
// ends first, up to that half.
std::vector<const ServerState*>
ServerChooser::Impl::Usable(const Group& aGroup, BootTime aNow) const
{
  std::vector<const ServerState*> usable;
  std::vector<const ServerState*> ejected;
  usable.reserve(aGroup.size());
  for (const StatePointer& state : aGroup) {
    if (!state->IsDraining(aNow)) {
      (state->IsEjected(aNow) ? ejected : usable).push_back(state.get());
    }
  }
  const std::size_t floor = (usable.size() + ejected.size() + 1) / 2;
  if (usable.size() >= floor) {
    return usable;
  }
  std::sort(
    ejected.begin(), ejected.end(), [](const ServerState* aLeft, const ServerState* aRight) {
      return aLeft->EjectedUntil() < aRight->EjectedUntil();
    });
  ejected.resize(floor - usable.size());
  usable.insert(usable.end(), ejected.begin(), ejected.end());
  return usable;
}

// Returns the servers of the lowest rank. The rank is raised most for a server that an earlier
// attempt used, less for one that has just shed a request, and least for one in a failure
// domain that an earlier attempt used.
std::vector<const ServerState*>
ServerChooser::Impl::Preferred(const std::vector<const ServerState*>& aStates,
                               const AvoidedTargets& aAvoided,
                               BootTime aNow) const
{
  std::vector<const ServerState*> best;
  best.reserve(aStates.size());
  int bestRank = 8;
  for (const ServerState* state : aStates) {
    const int tried = Contains(aAvoided.servers, state->entry->name) ? 4 : 0;
    const int shedRecently = state->HasJustShed(aNow) ? 2 : 0;
    const int sameDomain = Contains(aAvoided.failureDomains, state->entry->failureDomain) ? 1 : 0;
    const int rank = tried + shedRecently + sameDomain;
    if (rank > bestRank) {
      continue;
    }
    if (rank < bestRank) {
      best.clear();
      bestRank = rank;
    }
    best.push_back(state);
  }
  return best;
}

const ServerState*
ServerChooser::Impl::LessLoaded(const ServerState* aLeft,
                                const ServerState* aRight,
                                BootTime aNow) const
{
  const double left = aLeft->Score(this->options, aNow);
  const double right = aRight->Score(this->options, aNow);
  return right < left ? aRight : aLeft;
}

ServerChooser::ServerChooser(ServerChooserOptions aOptions)
  : impl(std::make_unique<Impl>())
{
  this->impl->options = aOptions;
}

ServerChooser::~ServerChooser() = default;

void
ServerChooser::Update(const RequestTables& aTables, BootTime aNow)
{
  this->impl->groups.clear();
  for (const ServiceEntry& service : aTables.Services()) {
    for (const RegionServers& region : service.regions) {
      for (const ServerEntry& server : region.servers) {
        this->impl->AddServer(server, service.slowStart, aNow);
      }
    }
  }
  std::unordered_map<std::string, StatePointer> kept;
  for (const auto& [name, group] : this->impl->groups) {
    for (const StatePointer& state : group) {
      kept[state->entry->name] = state;
    }
  }
  this->impl->servers = std::move(kept);
  this->impl->updated = true;
}

std::shared_ptr<const ServerEntry>
ServerChooser::Choose(std::string_view aService,
                      std::string_view aRegion,
                      const AvoidedTargets& aAvoided,
                      BootTime aNow,
                      std::mt19937_64& aRandom) const
{
  const auto group = this->impl->groups.find(GroupView{ aService, aRegion });
  if (group == this->impl->groups.end()) {
    return nullptr;
  }
  const std::vector<const ServerState*> states =
    this->impl->Preferred(this->impl->Usable(group->second, aNow), aAvoided, aNow);
  if (states.empty()) {
    return nullptr;
  }
  const std::size_t first = aRandom() % states.size();
  const std::size_t step = states.size() == 1 ? 0 : 1 + aRandom() % (states.size() - 1);
  const std::size_t second = (first + step) % states.size();
  const ServerState* chosen = this->impl->LessLoaded(states[first], states[second], aNow);
  if (chosen->Score(this->impl->options, aNow) > 1) {
    // Both choices are at capacity according to their scores, so compare all servers.
    for (const ServerState* state : states) {
      chosen = this->impl->LessLoaded(chosen, state, aNow);
    }
  }
  return chosen->entry;
}

void
ServerChooser::OnAttemptStart(const std::string& aServer)
{
  if (ServerState* state = this->impl->Find(aServer)) {
    ++state->inFlight;
  }
}

void
ServerChooser::OnAttemptEnd(const std::string& aServer, AttemptOutcome aOutcome, BootTime aNow)
{
  if (ServerState* state = this->impl->Find(aServer)) {
    state->OnAttemptEnd(aOutcome, this->impl->options, aNow);
  }
}

void
ServerChooser::OnResponseTime(const std::string& aServer, std::chrono::nanoseconds aTime)
{
  if (ServerState* state = this->impl->Find(aServer)) {
    state->OnResponseTime(aTime);
  }
}

std::chrono::nanoseconds
ServerChooser::MeanResponseTime(const std::string& aServer) const
{
  const ServerState* state = this->impl->Find(aServer);
  return state == nullptr ? std::chrono::nanoseconds(0) : state->meanResponseTime;
}

void
ServerChooser::OnReport(const std::string& aServer,
                        const LoadReport& aReport,
                        BootTime aRequestedAt)
{
  if (ServerState* state = this->impl->Find(aServer)) {
    state->OnReport(aReport, this->impl->options, aRequestedAt);
  }
}

void
ServerChooser::OnReportMissing(const std::string& aServer, BootTime aNow)
{
  if (ServerState* state = this->impl->Find(aServer)) {
    state->OnReportMissing(this->impl->options, aNow);
  }
}

void
ServerChooser::OnUnreachable(const std::string& aServer, BootTime aNow)
{
  if (ServerState* state = this->impl->Find(aServer)) {
    state->OnUnreachable(this->impl->options, aNow);
  }
}

void
ServerChooser::OnDraining(const std::string& aServer, BootTime aNow)
{
  if (ServerState* state = this->impl->Find(aServer)) {
    state->OnDraining(this->impl->options, aNow);
  }
}

bool
ServerChooser::IsRegionUnavailable(std::string_view aService,
                                   std::string_view aRegion,
                                   BootTime aNow) const
{
  const auto group = this->impl->groups.find(GroupView{ aService, aRegion });
  if (group == this->impl->groups.end()) {
    return true;
  }
  return std::all_of(group->second.begin(), group->second.end(), [&](const StatePointer& aState) {
    return aState->IsDraining(aNow) || aState->IsEjected(aNow);
  });
}

bool
ServerChooser::AcceptsNewRequests(const std::string& aServer, BootTime aNow) const
{
  const ServerState* state = this->impl->Find(aServer);
  return state != nullptr && !state->IsDraining(aNow);
}

} // namespace plantainhaven
