#include "plantainhaven/policy/request/server_chooser.h"

#include <algorithm>
#include <map>
#include <unordered_map>

namespace plantainhaven {

namespace {

// Each answer time counts for one part in so many in the mean.
constexpr int kMeanParts = 8;
// Smallest part of its full share that a cold server gets.
constexpr double kSlowStartFloor = 0.1;

struct ServerState
{
  std::shared_ptr<const ServerEntry> entry;
  std::chrono::nanoseconds slowStart{ 0 };
  BootTime warmingSince{};
  bool warming = false;
  std::uint32_t inFlight = 0;
  std::uint32_t failures = 0;
  BootTime ejectedUntil{};
  BootTime shedUntil{};
  BootTime drainingUntil{};
  LoadReport report;
  BootTime reportedAt{};
  bool reported = false;
  std::chrono::nanoseconds usualTime{ 0 };
};

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
IsDraining(const ServerState& aState, BootTime aNow)
{
  return aState.entry->draining || aNow < aState.drainingUntil;
}

bool
IsEjected(const ServerState& aState, BootTime aNow)
{
  return aNow < aState.ejectedUntil;
}

double
SlowStartFactor(const ServerState& aState, BootTime aNow)
{
  if (!aState.warming || aState.slowStart.count() <= 0) {
    return 1;
  }
  const double age = std::chrono::duration<double>(aNow - aState.warmingSince).count();
  const double whole = std::chrono::duration<double>(aState.slowStart).count();
  return std::clamp(age / whole, kSlowStartFloor, 1.0);
}

// Load relative to what the server can take; a request to be added counts already.
double
ScoreOf(const ServerState& aState, const ServerChooserOptions& aOptions, BootTime aNow)
{
  double load = aState.inFlight;
  if (aState.reported) {
    const double age = std::chrono::duration<double>(aNow - aState.reportedAt).count();
    const double life = std::chrono::duration<double>(aOptions.reportLife).count();
    const double trust = std::clamp(1 - age / life, 0.0, 1.0);
    const double others = std::max(0.0, aState.report.inFlight - load);
    load += trust * std::min<double>(others, aState.entry->slots);
  }
  const double capacity = std::max(1U, aState.entry->slots) * SlowStartFactor(aState, aNow);
  return (load + 1) / capacity;
}

bool
Names(const std::vector<std::string>& aNames, const std::string& aName)
{
  return std::find(aNames.begin(), aNames.end(), aName) != aNames.end();
}

} // namespace

struct ServerChooser::Impl
{
  void AddServer(const ServerEntry& aServer, std::chrono::nanoseconds aSlowStart, BootTime aNow);
  ServerState* Find(const std::string& aName) const;
  void OnFailure(ServerState& aState, BootTime aNow) const;
  std::vector<const ServerState*> Usable(const Group& aGroup, BootTime aNow) const;
  std::vector<const ServerState*> Preferred(const std::vector<const ServerState*>& aStates,
                                            const Avoided& aAvoided,
                                            BootTime aNow) const;
  const ServerState* Better(const ServerState* aLeft,
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
    state = std::make_shared<ServerState>();
    state->warming = this->updated;
    state->warmingSince = aNow;
  }
  state->entry = std::make_shared<const ServerEntry>(aServer);
  state->slowStart = aSlowStart;
  this->groups[{ aServer.service, aServer.region }].push_back(state);
}

// Usable servers of a group: those that aren't ejected, filled up to half of the group
// with the ejected ones that come back soonest.
std::vector<const ServerState*>
ServerChooser::Impl::Usable(const Group& aGroup, BootTime aNow) const
{
  std::vector<const ServerState*> usable;
  std::vector<const ServerState*> ejected;
  usable.reserve(aGroup.size());
  for (const StatePointer& state : aGroup) {
    if (!IsDraining(*state, aNow)) {
      (IsEjected(*state, aNow) ? ejected : usable).push_back(state.get());
    }
  }
  const std::size_t floor = (usable.size() + ejected.size() + 1) / 2;
  if (usable.size() >= floor) {
    return usable;
  }
  std::sort(
    ejected.begin(), ejected.end(), [](const ServerState* aLeft, const ServerState* aRight) {
      return aLeft->ejectedUntil < aRight->ejectedUntil;
    });
  ejected.resize(floor - usable.size());
  usable.insert(usable.end(), ejected.begin(), ejected.end());
  return usable;
}

// Lower ranks first: a server in another failure domain that hasn't just shed, then
// any other than those tried, then whoever is left.
std::vector<const ServerState*>
ServerChooser::Impl::Preferred(const std::vector<const ServerState*>& aStates,
                               const Avoided& aAvoided,
                               BootTime aNow) const
{
  std::vector<const ServerState*> best;
  best.reserve(aStates.size());
  int bestRank = 8;
  for (const ServerState* state : aStates) {
    const int tried = Names(aAvoided.servers, state->entry->name) ? 4 : 0;
    const int sheds = aNow < state->shedUntil ? 2 : 0;
    const int near = Names(aAvoided.failureDomains, state->entry->failureDomain) ? 1 : 0;
    const int rank = tried + sheds + near;
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
ServerChooser::Impl::Better(const ServerState* aLeft,
                            const ServerState* aRight,
                            BootTime aNow) const
{
  const double left = ScoreOf(*aLeft, this->options, aNow);
  const double right = ScoreOf(*aRight, this->options, aNow);
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
                      const Avoided& aAvoided,
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
  const ServerState* chosen = this->impl->Better(states[first], states[second], aNow);
  if (ScoreOf(*chosen, this->impl->options, aNow) > 1) {
    // Both are full as far as is known: look at all.
    for (const ServerState* state : states) {
      chosen = this->impl->Better(chosen, state, aNow);
    }
  }
  return chosen->entry;
}

void
ServerChooser::OnBegin(const std::string& aServer)
{
  if (ServerState* state = this->impl->Find(aServer)) {
    ++state->inFlight;
  }
}

void
ServerChooser::Impl::OnFailure(ServerState& aState, BootTime aNow) const
{
  ++aState.failures;
  if (aState.failures < this->options.ejectAfter) {
    return;
  }
  const std::uint32_t doublings = std::min(aState.failures - this->options.ejectAfter, 10U);
  const std::chrono::nanoseconds length =
    std::min(this->options.ejection * (1 << doublings), this->options.longestEjection);
  aState.ejectedUntil = aNow + length;
}

void
ServerChooser::OnEnd(const std::string& aServer, AttemptOutcome aOutcome, BootTime aNow)
{
  ServerState* state = this->impl->Find(aServer);
  if (state == nullptr) {
    return;
  }
  if (state->inFlight > 0) {
    --state->inFlight;
  }
  if (aOutcome == AttemptOutcome::kFailed) {
    this->impl->OnFailure(*state, aNow);
  }
  if (aOutcome == AttemptOutcome::kShed) {
    state->shedUntil = aNow + this->impl->options.shedPause;
  }
  if (aOutcome == AttemptOutcome::kAnswered) {
    if (state->failures >= this->impl->options.ejectAfter) {
      // It was away, so it may have restarted cold.
      state->warming = true;
      state->warmingSince = aNow;
    }
    state->failures = 0;
    state->ejectedUntil = BootTime{};
  }
}

void
ServerChooser::OnAnswerTime(const std::string& aServer, std::chrono::nanoseconds aTime)
{
  if (ServerState* state = this->impl->Find(aServer)) {
    const bool first = state->usualTime.count() == 0;
    state->usualTime += first ? aTime : (aTime - state->usualTime) / kMeanParts;
  }
}

std::chrono::nanoseconds
ServerChooser::UsualAnswerTime(const std::string& aServer) const
{
  const ServerState* state = this->impl->Find(aServer);
  return state == nullptr ? std::chrono::nanoseconds(0) : state->usualTime;
}

void
ServerChooser::OnReport(const std::string& aServer, const LoadReport& aReport, BootTime aAskedAt)
{
  ServerState* state = this->impl->Find(aServer);
  if (state == nullptr || (state->reported && aAskedAt < state->reportedAt)) {
    return;
  }
  state->report = aReport;
  state->reportedAt = aAskedAt;
  state->reported = true;
  state->drainingUntil = aReport.draining ? aAskedAt + this->impl->options.drainMemory : BootTime{};
  if (aReport.uptime.count() >= 0 && aReport.uptime < state->slowStart) {
    state->warming = true;
    state->warmingSince = aAskedAt - aReport.uptime;
  }
}

void
ServerChooser::OnReportMissing(const std::string& aServer, BootTime aNow)
{
  ServerState* state = this->impl->Find(aServer);
  if (state != nullptr && state->failures >= this->impl->options.ejectAfter) {
    state->ejectedUntil = std::max(state->ejectedUntil, aNow + this->impl->options.ejection);
  }
}

void
ServerChooser::OnDraining(const std::string& aServer, BootTime aNow)
{
  if (ServerState* state = this->impl->Find(aServer)) {
    state->drainingUntil = aNow + this->impl->options.drainMemory;
  }
}

bool
ServerChooser::RegionLost(std::string_view aService, std::string_view aRegion, BootTime aNow) const
{
  const auto group = this->impl->groups.find(GroupView{ aService, aRegion });
  if (group == this->impl->groups.end()) {
    return true;
  }
  return std::all_of(group->second.begin(), group->second.end(), [&](const StatePointer& aState) {
    return IsDraining(*aState, aNow) || IsEjected(*aState, aNow);
  });
}

bool
ServerChooser::TakesNew(const std::string& aServer, BootTime aNow) const
{
  const ServerState* state = this->impl->Find(aServer);
  return state != nullptr && !IsDraining(*state, aNow);
}

} // namespace plantainhaven
