#include "plantainhaven/policy/placing/placement.h"

#include "plantainhaven/policy/placing/object_load.h"
#include "plantainhaven/policy/placing/region_mix.h"
#include "plantainhaven/policy/placing/rendezvous.h"
#include "policy/placing/server_record.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace plantainhaven::placing {
namespace {

using Seconds = std::chrono::duration<double>;

// Maximum number of VMs that share a cold server's warm-up rate, and the fraction of the rate
// that they use. The rest keeps the total within the rate while VMs temporarily disagree on who
// the senders are.
constexpr std::size_t kMaxWarmupSenders = 4;
constexpr double kWarmupRateFraction = 0.8;
// Weight of the newest response in a service's mean response time, which thus covers about
// twenty responses.
constexpr double kResponseTimeWeight = 0.05;
// Time constant with which the sends per region decay: half the window in which traffic shifts
// are limited.
constexpr Seconds kSendDecayTime{ 1.0 };
// With fewer sends the distribution over the regions isn't meaningful.
constexpr double kMinSends = 5.0;
// A region accepts requests that wait for another one while its fraction of the sends is this
// far below its planned fraction.
constexpr double kPlanMargin = 0.02;
// While there is spare capacity, requests spill over from a full region as long as at most this
// fraction of the requests changes its region. Changes of the plan may move as much again.
constexpr double kMaxSpilloverShift = 0.06;
// Lower bound of a rate limit in requests per second. Without any request, the VMs wouldn't learn
// that the limit has ended.
constexpr double kMinLimit = 0.25;
// VMs that share a rate limit at least, and the time for which a VM may save up tokens.
constexpr std::size_t kMinLimitSenders = 4;
constexpr Seconds kLimitBurstTime{ 0.5 };
// A limit about which nothing was heard for this long may have ended: the VMs try one request in
// turn, at this interval.
constexpr std::chrono::seconds kLimitSilence{ 5 };
constexpr std::chrono::seconds kLimitProbeInterval{ 2 };
// Withdrawn limits are reported to other VMs for this long.
constexpr std::chrono::seconds kWithdrawalReportTime{ 10 };
// The longest time for which a server is left alone at its word.
constexpr std::chrono::milliseconds kMaxBackOff{ 120000 };
// Leaving servers that are remembered after their reports are gone.
constexpr std::size_t kMaxLeaving = 1024;
constexpr std::uint64_t kPositionSalt = 0x5bd1e9955bd1e995ULL;

struct ServiceRecord
{
  std::vector<RegionShare> plan;
  bool hasSpareCapacity = false;
  double warmupRate = 0;
  double meanResponseTime = 0;
  // Sends by region with exponential decay, as of `decayedAt`.
  std::map<std::string, double> sendsByRegion;
  BootTime decayedAt{};
  // Servers by region, without draining ones and those in avoided failure domains. Ejection and
  // warm-up end with time, so they are checked for each request.
  std::map<std::string, std::vector<ServerRecord*>> byRegion;
};

void
DecaySends(ServiceRecord& aService, BootTime aNow)
{
  const double passed = std::max(0.0, Seconds(aNow - aService.decayedAt) / kSendDecayTime);
  for (auto& [region, sends] : aService.sendsByRegion) {
    sends *= std::exp(-passed);
  }
  aService.decayedAt = aNow;
}

double
TotalSends(const ServiceRecord& aService)
{
  double sum = 0;
  for (const auto& [region, sends] : aService.sendsByRegion) {
    sum += sends;
  }
  return sum;
}

// The number of VMs that share a rate limit. More VMs use it better, but each of them may send one
// request at once.
std::size_t
LimitSenders(double aRate)
{
  return kMinLimitSenders + static_cast<std::size_t>(aRate);
}

// The slots of a server that its rate limit lets be in use at once.
double
SlotsWithinLimit(const ServerRecord& aRecord, double aMeanResponseTime)
{
  const double slots = aRecord.Entry().slots;
  const std::optional<double> rate = aRecord.Limit().Rate();
  const Seconds mean = std::chrono::duration<double, std::milli>(aMeanResponseTime);
  return rate && aMeanResponseTime > 0 ? std::min(slots, *rate * mean.count()) : slots;
}

// A server with its rank for an object; the highest rank comes first.
struct Ranked
{
  std::uint64_t rank = 0;
  ServerRecord* record = nullptr;

  bool operator<(const Ranked& aOther) const { return this->rank < aOther.rank; }
};

const char*
StateOf(const ServerRecord& aRecord, BootTime aNow)
{
  if (aRecord.Entry().isDraining || aRecord.IsLeaving()) {
    return "draining";
  }
  if (aRecord.IsAvoided()) {
    return "domain_emptied";
  }
  if (aRecord.IsEjected(aNow)) {
    return "failing";
  }
  if (aRecord.Limit().Rate()) {
    return "limited";
  }
  if (aRecord.BackOffUntil() > aNow) {
    return "backed_off";
  }
  return aRecord.IsCold(aNow) ? "cold" : "ready";
}

// Maps an object to a position from 0 to 1 for the split between regions.
double
PositionOf(std::uint64_t aObject)
{
  constexpr double kScale = 1.0 / static_cast<double>(1ULL << 53);
  return static_cast<double>(RendezvousRank(aObject, kPositionSalt) >> 11) * kScale;
}

} // namespace

struct Placement::Impl
{
  Impl(std::string_view aSelf, std::string aRegion, std::string aFailureDomain)
    : region(std::move(aRegion))
    , failureDomain(std::move(aFailureDomain))
    , sharing(aSelf, this->region)
  {
  }

  ServerRecord* Find(const std::string& aServer);
  double MeanResponseTime(std::string_view aService) const;
  // Marks the servers whose processes have said that they are leaving. They stay so although their
  // report may be missing for a time.
  void RestoreLeaving();
  // Rebuilds the lookup tables of the servers.
  void BuildIndex();
  // Checks what changes with time: the server isn't ejected, and if it is cold, this VM is one
  // of its warm-up senders.
  bool IsUsableNow(const ServerRecord& aRecord, BootTime aNow);
  // This VM's part of the rate at which a cold server takes requests; std::nullopt if the service
  // names none.
  std::optional<RateShare> WarmupShare(const ServerRecord& aRecord);
  // This VM's part of the rate limit that the server names.
  RateShare LimitShare(const ServerRecord& aRecord);
  // Whether the server's rate limit admits a request of this VM now.
  bool IsWithinLimit(const ServerRecord& aRecord, BootTime aNow);
  // Whether this VM may find out if a limit still applies about which nothing was heard lately.
  bool IsLimitProbeDue(const ServerRecord& aRecord, BootTime aNow);
  // Takes the tokens of a request that is sent to a cold or limited server.
  void TakeTokens(ServerRecord& aRecord, BootTime aNow);
  // The time until the server's rate limit is likely to admit a request.
  std::chrono::milliseconds TimeToLimitToken(const ServerRecord& aRecord, BootTime aNow);
  bool HasCapacity(const ServerRecord& aRecord, double aMeanResponseTime, BootTime aNow);
  std::vector<std::string> RegionOrder(const PlacingRequest& aRequest) const;
  // Fills `ranked` with the usable servers of the region and their ranks for the object. A server
  // that this VM leaves out because of its rate limit sets `limitRetryAfter`.
  void Rank(const PlacingRequest& aRequest, const std::string& aRegion, BootTime aNow);
  // Chooses a server in a region that is below its planned fraction, for a request whose own
  // region is full. This keeps the distribution near the plan; otherwise it would change
  // abruptly once only requests for a full region are left in the queue.
  Placing ChooseBelowPlan(const PlacingRequest& aRequest, BootTime aNow);
  // Chooses a server outside the planned region, which is full, as long as the distribution
  // over the regions stays within kMaxSpilloverShift.
  Placing ChooseSpillover(const PlacingRequest& aRequest,
                          const std::string& aPlanned,
                          BootTime aNow);
  bool HasSpareCapacity(std::string_view aService) const;
  Placing ChooseRanked(const PlacingRequest& aRequest, BootTime aNow);
  // Moves the best server of this VM's failure domain, then the best one outside it, ahead of
  // the rest. Callers of all domains request the same objects, so both servers have seen them.
  // Returns false when there is no server inside or none outside the domain.
  bool PreferOwnDomain();
  // Returns how many of the ranked servers share the request's object.
  std::size_t OwnerCount(const PlacingRequest& aRequest,
                         const ServerRecord& aFirst,
                         BootTime aNow) const;

  std::string region;
  std::string failureDomain;
  std::map<std::string, ServerRecord> servers;
  std::unordered_map<std::uint64_t, ServerRecord*> byHash;
  std::map<std::string, ServiceRecord, std::less<>> services;
  // Servers whose responses have said that they are leaving, with the start of their process.
  std::map<std::string, std::chrono::sys_time<std::chrono::milliseconds>> leaving;
  std::set<std::string> avoided;
  std::set<std::string> unreachable;
  std::set<std::string> regions;
  RegionMix mix;
  ObjectLoad objectLoad;
  // VMs that are heard, by region.
  std::map<std::string, std::size_t> peersByRegion;
  RateSharing sharing;
  // Adopts the time until a server that was left out admits a request if it is the shortest.
  void OfferRetryAfter(std::chrono::milliseconds aWait)
  {
    this->limitRetryAfter = std::min(aWait, this->limitRetryAfter.value_or(aWait));
  }
  // The shortest time until one of the servers left out for its rate limit, or because it wants no
  // requests for a time, admits a request.
  std::optional<std::chrono::milliseconds> limitRetryAfter;
  // A member to reuse its memory between calls.
  std::vector<Ranked> ranked;
};

ServerRecord*
Placement::Impl::Find(const std::string& aServer)
{
  const auto found = this->servers.find(aServer);
  return found == this->servers.end() ? nullptr : &found->second;
}

double
Placement::Impl::MeanResponseTime(std::string_view aService) const
{
  const auto found = this->services.find(aService);
  return found == this->services.end() ? 0 : found->second.meanResponseTime;
}

void
Placement::Impl::RestoreLeaving()
{
  for (auto& [id, record] : this->servers) {
    const auto known = this->leaving.find(id);
    if (known == this->leaving.end()) {
      continue;
    }
    if (known->second == record.Entry().startedAt) {
      record.SetLeaving();
    } else {
      this->leaving.erase(known);
    }
  }
  if (this->leaving.size() > kMaxLeaving) {
    std::erase_if(this->leaving,
                  [this](const auto& aEntry) { return !this->servers.contains(aEntry.first); });
  }
}

void
Placement::Impl::BuildIndex()
{
  this->byHash.clear();
  for (auto& [name, service] : this->services) {
    service.byRegion.clear();
  }
  for (auto& [id, record] : this->servers) {
    const BackendServer& entry = record.Entry();
    this->byHash[record.Hash()] = &record;
    record.SetAvoided(this->avoided.contains(entry.failureDomain));
    this->regions.insert(entry.region);
    if (record.AcceptsRequests()) {
      this->services[entry.service].byRegion[entry.region].push_back(&record);
    }
  }
}

std::optional<RateShare>
Placement::Impl::WarmupShare(const ServerRecord& aRecord)
{
  const auto service = this->services.find(aRecord.Entry().service);
  const double rate = service == this->services.end() ? 0 : service->second.warmupRate;
  if (rate <= 0) {
    return std::nullopt;
  }
  const double fraction =
    this->sharing.FractionOf(aRecord.Hash(), aRecord.Entry().region, kMaxWarmupSenders);
  return RateShare{ .rate = rate * kWarmupRateFraction * fraction };
}

RateShare
Placement::Impl::LimitShare(const ServerRecord& aRecord)
{
  const double rate = std::max(kMinLimit, aRecord.Limit().Rate().value_or(0));
  const double fraction =
    this->sharing.FractionOf(aRecord.Hash(), aRecord.Entry().region, LimitSenders(rate));
  const double part = rate * fraction;
  return { .rate = part, .burst = std::max(1.0, part * kLimitBurstTime.count()) };
}

bool
Placement::Impl::IsLimitProbeDue(const ServerRecord& aRecord, BootTime aNow)
{
  const BootTime silentAt = aRecord.Limit().StatedAt() + kLimitSilence;
  if (aNow < silentAt) {
    return false;
  }
  const std::size_t position = this->sharing.PositionOf(aRecord.Hash(), aRecord.Entry().region);
  return aNow >= silentAt + position * kLimitProbeInterval &&
         aNow >= aRecord.SentAt() + this->sharing.VmCount() * kLimitProbeInterval;
}

bool
Placement::Impl::IsWithinLimit(const ServerRecord& aRecord, BootTime aNow)
{
  if (!aRecord.Limit().Rate()) {
    return true;
  }
  const RateShare share = this->LimitShare(aRecord);
  const bool hasToken = share.rate > 0 && aRecord.LimitTokens().HasToken(share, aNow);
  return hasToken || this->IsLimitProbeDue(aRecord, aNow);
}

std::chrono::milliseconds
Placement::Impl::TimeToLimitToken(const ServerRecord& aRecord, BootTime aNow)
{
  const RateShare share = this->LimitShare(aRecord);
  if (share.rate > 0) {
    return std::chrono::ceil<std::chrono::milliseconds>(
      aRecord.LimitTokens().TimeToToken(share, aNow));
  }
  // Another VM, to which the caller may come, has a token in about the time between two of its own.
  const double rate = std::max(kMinLimit, aRecord.Limit().Rate().value_or(0));
  const auto senders = this->sharing.SenderCount(aRecord.Entry().region, LimitSenders(rate));
  return std::chrono::ceil<std::chrono::milliseconds>(Seconds(static_cast<double>(senders) / rate));
}

void
Placement::Impl::TakeTokens(ServerRecord& aRecord, BootTime aNow)
{
  if (aRecord.IsCold(aNow)) {
    if (const auto share = this->WarmupShare(aRecord)) {
      aRecord.WarmupTokens().Take(*share, aNow);
    }
  }
  if (aRecord.Limit().Rate()) {
    aRecord.LimitTokens().Take(this->LimitShare(aRecord), aNow);
  }
}

bool
Placement::Impl::IsUsableNow(const ServerRecord& aRecord, BootTime aNow)
{
  if (aRecord.IsEjected(aNow) || this->unreachable.contains(aRecord.Entry().failureDomain)) {
    return false;
  }
  const std::string& home = aRecord.Entry().region;
  return !aRecord.IsCold(aNow) ||
         this->sharing.FractionOf(aRecord.Hash(), home, kMaxWarmupSenders) > 0;
}

bool
Placement::Impl::HasCapacity(const ServerRecord& aRecord, double aMeanResponseTime, BootTime aNow)
{
  if (aRecord.IsCold(aNow)) {
    const auto share = this->WarmupShare(aRecord);
    if (share && !aRecord.WarmupTokens().HasToken(*share, aNow)) {
      return false;
    }
  }
  return aRecord.LoadAt(aMeanResponseTime, aNow) < aRecord.UsableSlots(aMeanResponseTime);
}

void
Placement::Impl::Rank(const PlacingRequest& aRequest, const std::string& aRegion, BootTime aNow)
{
  this->ranked.clear();
  const auto service = this->services.find(aRequest.service);
  if (service == this->services.end()) {
    return;
  }
  const auto records = service->second.byRegion.find(aRegion);
  if (records == service->second.byRegion.end()) {
    return;
  }
  for (ServerRecord* const record : records->second) {
    const bool wasTried =
      aRequest.excluded != nullptr &&
      std::find(aRequest.excluded->begin(), aRequest.excluded->end(), record->Entry().id) !=
        aRequest.excluded->end();
    if (wasTried || !this->IsUsableNow(*record, aNow)) {
      continue;
    }
    if (record->BackOffUntil() > aNow) {
      this->OfferRetryAfter(
        std::chrono::ceil<std::chrono::milliseconds>(record->BackOffUntil() - aNow));
    } else if (this->IsWithinLimit(*record, aNow)) {
      this->ranked.push_back({ RendezvousRank(aRequest.object, record->Hash()), record });
    } else {
      this->OfferRetryAfter(this->TimeToLimitToken(*record, aNow));
    }
  }
}

// Orders the regions: the planned one, then this VM's own, then the others by name.
std::vector<std::string>
Placement::Impl::RegionOrder(const PlacingRequest& aRequest) const
{
  std::vector<std::string> order;
  const auto add = [&order, &aRequest](const std::string& aName) {
    const bool isNew = std::find(order.begin(), order.end(), aName) == order.end();
    if (isNew && aRequest.allowed.Allows(aName)) {
      order.push_back(aName);
    }
  };
  const auto service = this->services.find(aRequest.service);
  if (service != this->services.end() && !service->second.plan.empty()) {
    add(RegionAt(service->second.plan, PositionOf(aRequest.object)));
  }
  add(this->region);
  for (const std::string& name : this->regions) {
    add(name);
  }
  return order;
}

std::size_t
Placement::Impl::OwnerCount(const PlacingRequest& aRequest,
                            const ServerRecord& aFirst,
                            BootTime aNow) const
{
  // Callers choose among the region's VMs at random, so each VM sees an equal share.
  const auto local = this->peersByRegion.find(this->region);
  const std::size_t vms =
    local == this->peersByRegion.end() ? 1 : std::max<std::size_t>(1, local->second);
  const double rate = this->objectLoad.RateOf(aRequest.object, aNow) * static_cast<double>(vms);
  const std::chrono::duration<double, std::milli> mean(this->MeanResponseTime(aRequest.service));
  return OwnersFor(rate, mean, aFirst.Entry().slots);
}

bool
Placement::Impl::PreferOwnDomain()
{
  Ranked* own = nullptr;
  Ranked* other = nullptr;
  for (Ranked& candidate : this->ranked) {
    const bool isOwnDomain = candidate.record->Entry().failureDomain == this->failureDomain;
    Ranked*& best = isOwnDomain ? own : other;
    if (best == nullptr || *best < candidate) {
      best = &candidate;
    }
  }
  if (own == nullptr || other == nullptr) {
    return false;
  }
  own->rank = std::numeric_limits<std::uint64_t>::max();
  other->rank = std::numeric_limits<std::uint64_t>::max() - 1;
  return true;
}

Placing
Placement::Impl::ChooseRanked(const PlacingRequest& aRequest, BootTime aNow)
{
  if (this->ranked.empty()) {
    return { PlacingState::kBusy, nullptr };
  }
  const double mean = this->MeanResponseTime(aRequest.service);
  const bool hasLocalOwner = aRequest.isLarge && this->PreferOwnDomain();
  // The first server usually has a free slot, so a heap orders only as many as are needed.
  std::make_heap(this->ranked.begin(), this->ranked.end());
  const ServerRecord& first = *this->ranked.front().record;
  const std::size_t ownerCount = this->OwnerCount(aRequest, first, aNow) + (hasLocalOwner ? 1 : 0);
  const std::size_t owners = std::min(ownerCount, this->ranked.size());
  for (std::size_t i = 0; i < owners; ++i) {
    std::pop_heap(this->ranked.begin(), this->ranked.end());
    const ServerRecord& record = *this->ranked.back().record;
    this->ranked.pop_back();
    if (this->HasCapacity(record, mean, aNow)) {
      return { PlacingState::kSend, &record.Entry() };
    }
  }
  return { PlacingState::kBusy, &first.Entry() };
}

Placing
Placement::Impl::ChooseBelowPlan(const PlacingRequest& aRequest, BootTime aNow)
{
  const auto found = this->services.find(aRequest.service);
  if (found == this->services.end()) {
    return { PlacingState::kBusy, nullptr };
  }
  ServiceRecord& service = found->second;
  DecaySends(service, aNow);
  const double sum = TotalSends(service);
  for (const RegionShare& share : service.plan) {
    const double fraction = sum < kMinSends ? 1.0 : service.sendsByRegion[share.region] / sum;
    if (fraction > share.fraction - kPlanMargin || !aRequest.allowed.Allows(share.region)) {
      continue;
    }
    this->Rank(aRequest, share.region, aNow);
    const Placing placing = this->ChooseRanked(aRequest, aNow);
    if (placing.state == PlacingState::kSend) {
      return placing;
    }
  }
  return { PlacingState::kBusy, nullptr };
}

bool
Placement::Impl::HasSpareCapacity(std::string_view aService) const
{
  const auto found = this->services.find(aService);
  return found != this->services.end() && found->second.hasSpareCapacity;
}

Placing
Placement::Impl::ChooseSpillover(const PlacingRequest& aRequest,
                                 const std::string& aPlanned,
                                 BootTime aNow)
{
  std::vector<std::pair<double, std::string>> order;
  for (const std::string& name : this->regions) {
    const auto moved = this->mix.MovedFractionWith(name, aNow);
    const bool mayTake = name != aPlanned && aRequest.allowed.Allows(name);
    if (moved && *moved <= kMaxSpilloverShift && mayTake) {
      order.emplace_back(*moved, name);
    }
  }
  std::sort(order.begin(), order.end());
  for (const auto& [moved, name] : order) {
    this->Rank(aRequest, name, aNow);
    const Placing placing = this->ChooseRanked(aRequest, aNow);
    if (placing.state == PlacingState::kSend) {
      return placing;
    }
  }
  return { PlacingState::kBusy, nullptr };
}

Placement::Placement(std::string_view aSelf, std::string aRegion, std::string aFailureDomain)
  : impl(std::make_unique<Impl>(aSelf, std::move(aRegion), std::move(aFailureDomain)))
{
}

Placement::~Placement() = default;

void
Placement::SetServers(const std::vector<BackendServer>& aServers, BootTime aReadAt)
{
  std::map<std::string, ServerRecord> kept;
  for (const BackendServer& server : aServers) {
    const auto old = this->impl->servers.find(server.id);
    const bool isSame =
      old != this->impl->servers.end() && old->second.Entry().startedAt == server.startedAt &&
      old->second.Entry().address == server.address && old->second.Entry().port == server.port;
    if (isSame) {
      old->second.Update(server, aReadAt);
      kept.emplace(server.id, std::move(old->second));
    } else {
      ServerRecord& record = kept.emplace(server.id, ServerRecord(server, aReadAt)).first->second;
      if (old != this->impl->servers.end()) {
        // What was stated before the restart doesn't apply to the new process.
        record.OnLimit(std::nullopt, aReadAt);
      }
    }
    this->impl->services.try_emplace(server.service);
  }
  this->impl->servers = std::move(kept);
  this->impl->RestoreLeaving();
  this->impl->BuildIndex();
}

void
Placement::SetServices(const std::unordered_map<std::string, Service>& aServices)
{
  for (const auto& [name, service] : aServices) {
    this->impl->services[name].warmupRate = service.warmupRate;
  }
}

void
Placement::SetAvoidedDomains(const std::vector<std::string>& aDomains, BootTime aNow)
{
  const std::set<std::string> next(aDomains.begin(), aDomains.end());
  for (auto& [id, record] : this->impl->servers) {
    const std::string& domain = record.Entry().failureDomain;
    if (this->impl->avoided.contains(domain) && !next.contains(domain)) {
      record.SuspectRestart(aNow);
    }
  }
  this->impl->avoided = next;
  this->impl->BuildIndex();
}

void
Placement::SetUnreachableDomains(const std::set<std::string>& aDomains)
{
  this->impl->unreachable = aDomains;
}

void
Placement::SetPeers(const std::vector<PlacingPeer>& aPeers)
{
  this->impl->peersByRegion.clear();
  for (const PlacingPeer& peer : aPeers) {
    ++this->impl->peersByRegion[peer.region];
  }
}

void
Placement::SetFleet(const std::vector<PlacingPeer>& aVms)
{
  this->impl->sharing.SetVms(aVms);
}

void
Placement::SetPlan(const std::string& aService, std::vector<RegionShare> aPlan)
{
  this->impl->services[aService].plan = std::move(aPlan);
}

void
Placement::SetSpareCapacity(const std::string& aService, bool aHasSpareCapacity)
{
  this->impl->services[aService].hasSpareCapacity = aHasSpareCapacity;
}

Placing
Placement::Choose(const PlacingRequest& aRequest, BootTime aNow)
{
  this->impl->limitRetryAfter.reset();
  for (const std::string& name : this->impl->RegionOrder(aRequest)) {
    this->impl->Rank(aRequest, name, aNow);
    if (this->impl->ranked.empty()) {
      continue;
    }
    const Placing placing = this->impl->ChooseRanked(aRequest, aNow);
    if (placing.state == PlacingState::kSend) {
      return placing;
    }
    Placing fallback = this->impl->HasSpareCapacity(aRequest.service)
                         ? this->impl->ChooseSpillover(aRequest, name, aNow)
                         : this->impl->ChooseBelowPlan(aRequest, aNow);
    if (fallback.state != PlacingState::kSend) {
      fallback.server = placing.server;
    }
    return fallback;
  }
  if (this->impl->limitRetryAfter) {
    return { PlacingState::kLimited, nullptr, *this->impl->limitRetryAfter };
  }
  return {};
}

void
Placement::OnRequest(std::uint64_t aObject, BootTime aNow)
{
  this->impl->objectLoad.OnRequest(aObject, aNow);
}

void
Placement::OnSent(const std::string& aServer, BootTime aNow)
{
  if (ServerRecord* const record = this->impl->Find(aServer)) {
    this->impl->TakeTokens(*record, aNow);
    record->OnSent(aNow);
    ServiceRecord& service = this->impl->services[record->Entry().service];
    DecaySends(service, aNow);
    service.sendsByRegion[record->Entry().region] += 1;
    this->impl->mix.OnSent(record->Entry().region, aNow);
  }
}

void
Placement::OnRelayed(const std::string& aServer, BootTime aNow)
{
  if (ServerRecord* const record = this->impl->Find(aServer)) {
    record->OnSent(aNow);
  }
}

void
Placement::OnEnded(const std::string& aServer,
                   SendOutcome aOutcome,
                   std::chrono::milliseconds aDuration,
                   BootTime aNow)
{
  ServerRecord* const record = this->impl->Find(aServer);
  if (record == nullptr) {
    return;
  }
  record->OnEnded(aOutcome, aDuration, aNow);
  if (aOutcome == SendOutcome::kServed) {
    double& mean = this->impl->services[record->Entry().service].meanResponseTime;
    const auto sample = static_cast<double>(aDuration.count());
    mean += (mean > 0 ? kResponseTimeWeight : 1.0) * (sample - mean);
  }
}

void
Placement::OnLoad(const std::string& aServer, const ServerLoad& aLoad, BootTime aNow)
{
  if (ServerRecord* const record = this->impl->Find(aServer)) {
    record->OnLoad(aLoad, aNow);
  }
}

void
Placement::OnPeerLoad(std::uint64_t aServerHash, int aRequests, BootTime aNow)
{
  const auto found = this->impl->byHash.find(aServerHash);
  if (found != this->impl->byHash.end()) {
    found->second->OnPeerLoad(aRequests, aNow);
  }
}

void
Placement::OnLeaving(const std::string& aServer)
{
  ServerRecord* const record = this->impl->Find(aServer);
  if (record == nullptr || record->IsLeaving()) {
    return;
  }
  this->impl->leaving[aServer] = record->Entry().startedAt;
  record->SetLeaving();
  this->impl->BuildIndex();
}

void
Placement::OnBackOff(const std::string& aServer, std::chrono::milliseconds aTime, BootTime aNow)
{
  if (ServerRecord* const record = this->impl->Find(aServer)) {
    record->OnBackOff(aNow + std::min<std::chrono::milliseconds>(aTime, kMaxBackOff));
  }
}

bool
Placement::OnLimit(const std::string& aServer, std::optional<double> aRate, BootTime aNow)
{
  ServerRecord* const record = this->impl->Find(aServer);
  return record != nullptr && record->OnLimit(aRate, aNow);
}

bool
Placement::OnPeerLimit(const KnownLimit& aLimit, BootTime aNow)
{
  const auto found = this->impl->byHash.find(aLimit.server);
  return found != this->impl->byHash.end() && aLimit.statedAt <= aNow &&
         found->second->OnLimit(aLimit.rate, aLimit.statedAt);
}

std::vector<KnownLimit>
Placement::KnownLimits(BootTime aNow) const
{
  std::vector<KnownLimit> limits;
  for (const auto& [id, record] : this->impl->servers) {
    const NamedLimit& limit = record.Limit();
    const bool wasWithdrawn =
      limit.ChangedAt() != BootTime{} && aNow - limit.ChangedAt() < kWithdrawalReportTime;
    if (limit.Rate() || wasWithdrawn) {
      limits.push_back({ record.Hash(), limit.Rate(), limit.StatedAt(), limit.ChangedAt() });
    }
  }
  return limits;
}

std::optional<double>
Placement::LimitOf(const std::string& aServer) const
{
  const ServerRecord* const record = this->impl->Find(aServer);
  return record == nullptr ? std::nullopt : record->Limit().Rate();
}

std::vector<RegionState>
Placement::Regions(const std::string& aService, BootTime aNow) const
{
  std::map<std::string, double> slots;
  for (const std::string& name : this->impl->regions) {
    slots[name] = 0;
  }
  const double mean = this->impl->MeanResponseTime(aService);
  for (const auto& [id, record] : this->impl->servers) {
    const BackendServer& entry = record.Entry();
    const bool counts =
      entry.service == aService && record.AcceptsRequests() && !record.IsCold(aNow);
    slots[entry.region] += counts ? SlotsWithinLimit(record, mean) : 0;
  }
  std::vector<RegionState> states;
  states.reserve(slots.size());
  for (const auto& [name, count] : slots) {
    states.push_back({ name, count, 0 });
  }
  return states;
}

std::vector<std::string>
Placement::ServiceNames() const
{
  std::vector<std::string> names;
  names.reserve(this->impl->services.size());
  for (const auto& [name, record] : this->impl->services) {
    names.push_back(name);
  }
  return names;
}

std::chrono::milliseconds
Placement::MeanResponseTime(std::string_view aService) const
{
  return std::chrono::milliseconds(
    static_cast<std::int64_t>(this->impl->MeanResponseTime(aService)));
}

std::size_t
Placement::ServerCount() const
{
  return this->impl->servers.size();
}

std::vector<ServerStatus>
Placement::ServerStatuses(BootTime aNow) const
{
  std::vector<ServerStatus> statuses;
  for (const auto& [id, record] : this->impl->servers) {
    const BackendServer& entry = record.Entry();
    const double mean = this->impl->MeanResponseTime(entry.service);
    statuses.push_back({ id,
                         entry.service,
                         entry.region,
                         StateOf(record, aNow),
                         record.LoadAt(mean, aNow),
                         record.UsableSlots(mean),
                         record.Limit().Rate() });
  }
  return statuses;
}

const BackendServer*
Placement::Find(const std::string& aServer) const
{
  const ServerRecord* const record = this->impl->Find(aServer);
  return record == nullptr ? nullptr : &record->Entry();
}

bool
Placement::AcceptsRequests(const std::string& aServer) const
{
  const ServerRecord* const record = this->impl->Find(aServer);
  return record != nullptr && record->AcceptsRequests();
}

bool
Placement::IsBackedOff(const std::string& aServer, BootTime aNow) const
{
  const ServerRecord* const record = this->impl->Find(aServer);
  return record != nullptr && record->BackOffUntil() > aNow;
}

} // namespace plantainhaven::placing
