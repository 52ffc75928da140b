#include "plantainhaven/policy/placing/placement.h"

#include "plantainhaven/policy/placing/object_load.h"
#include "plantainhaven/policy/placing/region_mix.h"
#include "plantainhaven/policy/placing/rendezvous.h"
#include "policy/placing/server_record.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <set>
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
  if (aRecord.Entry().isDraining) {
    return "draining";
  }
  if (aRecord.IsAvoided()) {
    return "domain_emptied";
  }
  if (aRecord.IsEjected(aNow)) {
    return "failing";
  }
  return aRecord.IsCold(aNow) ? "cold" : "ready";
}

struct Sender
{
  PlacingPeer peer;
  std::uint64_t hash = 0;
};

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
  ServerRecord* Find(const std::string& aServer);
  double MeanResponseTime(std::string_view aService) const;
  // Rebuilds the lookup tables of the servers.
  void BuildIndex();
  // Checks what changes with time: the server isn't ejected, and if it is cold, this VM is one
  // of its warm-up senders.
  bool IsUsableNow(const ServerRecord& aRecord, BootTime aNow);
  bool IsWarmupSender(const ServerRecord& aRecord);
  bool ComputeIsWarmupSender(const ServerRecord& aRecord) const;
  bool HasLocalSender(const std::string& aRegion) const;
  std::chrono::nanoseconds WarmupInterval(const ServerRecord& aRecord) const;
  std::size_t WarmupSenderCount(const ServerRecord& aRecord) const;
  bool HasCapacity(const ServerRecord& aRecord, double aMeanResponseTime, BootTime aNow) const;
  std::vector<std::string> RegionOrder(const PlacingRequest& aRequest) const;
  // Fills `ranked` with the usable servers of the region and their ranks for the object.
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

  std::string self;
  std::uint64_t selfHash = 0;
  std::string region;
  std::string failureDomain;
  std::map<std::string, ServerRecord> servers;
  std::unordered_map<std::uint64_t, ServerRecord*> byHash;
  std::map<std::string, ServiceRecord, std::less<>> services;
  std::set<std::string> avoided;
  std::set<std::string> regions;
  RegionMix mix;
  ObjectLoad objectLoad;
  std::vector<Sender> senders;
  std::map<std::string, std::size_t> sendersByRegion;
  // Cached results of IsWarmupSender() by server hash; cleared when servers or senders change.
  std::unordered_map<std::uint64_t, bool> warmupSenders;
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
Placement::Impl::BuildIndex()
{
  this->byHash.clear();
  this->warmupSenders.clear();
  for (auto& [name, service] : this->services) {
    service.byRegion.clear();
  }
  for (auto& [id, record] : this->servers) {
    const BackendServer& entry = record.Entry();
    this->byHash[record.Hash()] = &record;
    record.SetAvoided(this->avoided.contains(entry.failureDomain));
    this->regions.insert(entry.region);
    if (!entry.isDraining && !record.IsAvoided()) {
      this->services[entry.service].byRegion[entry.region].push_back(&record);
    }
  }
}

bool
Placement::Impl::HasLocalSender(const std::string& aRegion) const
{
  const auto found = this->sendersByRegion.find(aRegion);
  return found != this->sendersByRegion.end() && found->second > 0;
}

std::size_t
Placement::Impl::WarmupSenderCount(const ServerRecord& aRecord) const
{
  const auto local = this->sendersByRegion.find(aRecord.Entry().region);
  const std::size_t count =
    local == this->sendersByRegion.end() ? this->senders.size() : local->second;
  return std::min(kMaxWarmupSenders, count);
}

bool
Placement::Impl::IsWarmupSender(const ServerRecord& aRecord)
{
  const auto [known, isNew] = this->warmupSenders.try_emplace(aRecord.Hash(), false);
  if (isNew) {
    known->second = this->ComputeIsWarmupSender(aRecord);
  }
  return known->second;
}

bool
Placement::Impl::ComputeIsWarmupSender(const ServerRecord& aRecord) const
{
  const std::string& home = aRecord.Entry().region;
  const bool hasLocal = this->HasLocalSender(home);
  if (hasLocal && this->region != home) {
    return false;
  }
  const std::uint64_t own = RendezvousRank(aRecord.Hash(), this->selfHash);
  std::size_t ahead = 0;
  for (const Sender& sender : this->senders) {
    const bool counts = sender.hash != this->selfHash && (!hasLocal || sender.peer.region == home);
    if (counts && RendezvousRank(aRecord.Hash(), sender.hash) > own) {
      ++ahead;
    }
  }
  return ahead < kMaxWarmupSenders;
}

std::chrono::nanoseconds
Placement::Impl::WarmupInterval(const ServerRecord& aRecord) const
{
  const auto service = this->services.find(aRecord.Entry().service);
  const double rate = service == this->services.end() ? 0 : service->second.warmupRate;
  if (rate <= 0) {
    return std::chrono::nanoseconds(0);
  }
  const double senderCount =
    static_cast<double>(std::max<std::size_t>(1, this->WarmupSenderCount(aRecord)));
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
    Seconds(senderCount / (rate * kWarmupRateFraction)));
}

bool
Placement::Impl::IsUsableNow(const ServerRecord& aRecord, BootTime aNow)
{
  return !aRecord.IsEjected(aNow) && (!aRecord.IsCold(aNow) || this->IsWarmupSender(aRecord));
}

bool
Placement::Impl::HasCapacity(const ServerRecord& aRecord,
                             double aMeanResponseTime,
                             BootTime aNow) const
{
  if (aRecord.IsCold(aNow) && !aRecord.MaySendWhileCold(this->WarmupInterval(aRecord), aNow)) {
    return false;
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
    if (!wasTried && this->IsUsableNow(*record, aNow)) {
      this->ranked.push_back({ RendezvousRank(aRequest.object, record->Hash()), record });
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
  const auto local = this->sendersByRegion.find(this->region);
  const std::size_t vms =
    local == this->sendersByRegion.end() ? 1 : std::max<std::size_t>(1, local->second);
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

Placement::Placement(std::string aSelf, std::string aRegion, std::string aFailureDomain)
  : impl(std::make_unique<Impl>())
{
  this->impl->selfHash = StableHash(aSelf);
  this->impl->self = std::move(aSelf);
  this->impl->region = std::move(aRegion);
  this->impl->failureDomain = std::move(aFailureDomain);
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
      kept.emplace(server.id, ServerRecord(server, aReadAt));
    }
    this->impl->services.try_emplace(server.service);
  }
  this->impl->servers = std::move(kept);
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
Placement::SetPeers(std::vector<PlacingPeer> aPeers)
{
  std::vector<Sender> senders;
  senders.reserve(aPeers.size());
  for (PlacingPeer& peer : aPeers) {
    const std::uint64_t hash = StableHash(peer.name);
    senders.push_back({ std::move(peer), hash });
  }
  const bool isSame =
    std::equal(senders.begin(),
               senders.end(),
               this->impl->senders.begin(),
               this->impl->senders.end(),
               [](const Sender& aLeft, const Sender& aRight) {
                 return aLeft.hash == aRight.hash && aLeft.peer.region == aRight.peer.region;
               });
  if (isSame) {
    return;
  }
  this->impl->senders = std::move(senders);
  this->impl->warmupSenders.clear();
  this->impl->sendersByRegion.clear();
  for (const Sender& sender : this->impl->senders) {
    ++this->impl->sendersByRegion[sender.peer.region];
  }
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
    record->OnSent(aNow);
    ServiceRecord& service = this->impl->services[record->Entry().service];
    DecaySends(service, aNow);
    service.sendsByRegion[record->Entry().region] += 1;
    this->impl->mix.OnSent(record->Entry().region, aNow);
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

bool
Placement::OnLimit(const std::string& aServer, std::optional<double> aRate, BootTime aNow)
{
  ServerRecord* const record = this->impl->Find(aServer);
  return record != nullptr && record->OnLimit(aRate, aNow);
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
  for (const auto& [id, record] : this->impl->servers) {
    const BackendServer& entry = record.Entry();
    const bool counts =
      entry.service == aService && !entry.isDraining && !record.IsAvoided() && !record.IsCold(aNow);
    slots[entry.region] += counts ? entry.slots : 0;
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
                         record.UsableSlots(mean) });
  }
  return statuses;
}

bool
Placement::MayUse(const std::string& aServer, BootTime aNow) const
{
  const ServerRecord* const record = this->impl->Find(aServer);
  return record != nullptr && !record->Entry().isDraining && !record->IsAvoided() &&
         this->impl->IsUsableNow(*record, aNow);
}

} // namespace plantainhaven::placing
