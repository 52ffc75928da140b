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

// VMs that share a cold server's rate, and the part of the rate that they use. Two views
// of who they are may overlap for a while without going over the rate.
constexpr std::size_t kColdSenders = 4;
constexpr double kColdUse = 0.8;
// Weight of the newest response in a service's usual time; about twenty responses count.
constexpr double kUsualTimeWeight = 0.05;
// Time constant in which sends count for the mix of regions; half the window of the largest
// shift.
constexpr Seconds kMixTime{ 1.0 };
// Sends below which the mix says nothing.
constexpr double kLeastMix = 5.0;
// A region takes what waits for another one while its part of the sends lies this far below
// its part of the plan.
constexpr double kMixSlack = 0.02;
// While there is spare room, a region takes what finds its own region full as long as this
// part of the requests, or less, changes its region; the split may move as much again.
constexpr double kMostOverflow = 0.06;
constexpr std::uint64_t kPositionSalt = 0x5bd1e9955bd1e995ULL;

struct ServiceRecord
{
  std::vector<RegionShare> plan;
  bool hasSpareCapacity = false;
  double warmupRate = 0;
  double usualTime = 0;
  // Sends by region, fading, as of `mixedAt`.
  std::map<std::string, double> mix;
  BootTime mixedAt{};
  // Servers that may be used but for what changes by itself with time, by region.
  std::map<std::string, std::vector<ServerRecord*>> byRegion;
};

void
FadeMix(ServiceRecord& aService, BootTime aNow)
{
  const double passed = std::max(0.0, Seconds(aNow - aService.mixedAt) / kMixTime);
  for (auto& [region, sends] : aService.mix) {
    sends *= std::exp(-passed);
  }
  aService.mixedAt = aNow;
}

double
MixOf(const ServiceRecord& aService)
{
  double sum = 0;
  for (const auto& [region, sends] : aService.mix) {
    sum += sends;
  }
  return sum;
}

// A server with its place in an object's order; the highest rank comes first.
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

// Where an object lies between 0 and 1 for the split between regions.
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
  // Sorts the servers by service and region anew.
  void BuildIndex();
  // Whether time allows the server: not ejected; a cold one only if this VM is among those
  // that warm it.
  bool IsUsableNow(const ServerRecord& aRecord, BootTime aNow);
  bool WarmsUp(const ServerRecord& aRecord);
  bool IsAmongWarmers(const ServerRecord& aRecord) const;
  bool HasNearSender(const std::string& aRegion) const;
  std::chrono::nanoseconds ColdInterval(const ServerRecord& aRecord) const;
  std::size_t ColdSenderCount(const ServerRecord& aRecord) const;
  bool HasRoom(const ServerRecord& aRecord, double aUsualTime, BootTime aNow) const;
  std::vector<std::string> RegionOrder(const PlacingRequest& aRequest) const;
  // The servers of the region that may be used, ranked for the object, in `ranked`.
  void Rank(const PlacingRequest& aRequest, const std::string& aRegion, BootTime aNow);
  // Where a request may go while its own region is full, so that the mix of regions stays
  // near the plan: otherwise it changes at once when what waits for a full region is all
  // that is left.
  Placing ChooseBehindPlan(const PlacingRequest& aRequest, BootTime aNow);
  // A server of another region than the planned one, which is full, as far as the mix of
  // regions allows.
  Placing ChooseOverflow(const PlacingRequest& aRequest,
                         const std::string& aPlanned,
                         BootTime aNow);
  bool HasSpareCapacity(std::string_view aService) const;
  Placing ChooseRanked(const PlacingRequest& aRequest, BootTime aNow);
  // Ranks the first server of this VM's failure domain, then the first of the others, ahead
  // of the rest. Both domains' callers ask for the same objects, so both servers know them.
  // False when all are in one domain.
  bool PutNearFirst();
  // How many of the ranked servers share the request's object.
  std::size_t Owners(const PlacingRequest& aRequest,
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
  // Whether this VM warms a server, by the server's hash, while the senders stay the same.
  std::unordered_map<std::uint64_t, bool> warms;
  // Kept between calls for its memory.
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
  return found == this->services.end() ? 0 : found->second.usualTime;
}

void
Placement::Impl::BuildIndex()
{
  this->byHash.clear();
  this->warms.clear();
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
Placement::Impl::HasNearSender(const std::string& aRegion) const
{
  const auto found = this->sendersByRegion.find(aRegion);
  return found != this->sendersByRegion.end() && found->second > 0;
}

std::size_t
Placement::Impl::ColdSenderCount(const ServerRecord& aRecord) const
{
  const auto near = this->sendersByRegion.find(aRecord.Entry().region);
  const std::size_t count =
    near == this->sendersByRegion.end() ? this->senders.size() : near->second;
  return std::min(kColdSenders, count);
}

bool
Placement::Impl::WarmsUp(const ServerRecord& aRecord)
{
  const auto [known, isNew] = this->warms.try_emplace(aRecord.Hash(), false);
  if (isNew) {
    known->second = this->IsAmongWarmers(aRecord);
  }
  return known->second;
}

bool
Placement::Impl::IsAmongWarmers(const ServerRecord& aRecord) const
{
  const std::string& home = aRecord.Entry().region;
  const bool hasNear = this->HasNearSender(home);
  if (hasNear && this->region != home) {
    return false;
  }
  const std::uint64_t own = RendezvousRank(aRecord.Hash(), this->selfHash);
  std::size_t ahead = 0;
  for (const Sender& sender : this->senders) {
    const bool counts = sender.hash != this->selfHash && (!hasNear || sender.peer.region == home);
    if (counts && RendezvousRank(aRecord.Hash(), sender.hash) > own) {
      ++ahead;
    }
  }
  return ahead < kColdSenders;
}

std::chrono::nanoseconds
Placement::Impl::ColdInterval(const ServerRecord& aRecord) const
{
  const auto service = this->services.find(aRecord.Entry().service);
  const double rate = service == this->services.end() ? 0 : service->second.warmupRate;
  if (rate <= 0) {
    return std::chrono::nanoseconds(0);
  }
  const double sharing =
    static_cast<double>(std::max<std::size_t>(1, this->ColdSenderCount(aRecord)));
  return std::chrono::duration_cast<std::chrono::nanoseconds>(Seconds(sharing / (rate * kColdUse)));
}

bool
Placement::Impl::IsUsableNow(const ServerRecord& aRecord, BootTime aNow)
{
  return !aRecord.IsEjected(aNow) && (!aRecord.IsCold(aNow) || this->WarmsUp(aRecord));
}

bool
Placement::Impl::HasRoom(const ServerRecord& aRecord, double aUsualTime, BootTime aNow) const
{
  if (aRecord.IsCold(aNow) && !aRecord.MaySendWhileCold(this->ColdInterval(aRecord), aNow)) {
    return false;
  }
  return aRecord.LoadAt(aUsualTime, aNow) < aRecord.UsableSlots(aUsualTime);
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

// The planned region first, then this VM's own, then the others by name.
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
Placement::Impl::Owners(const PlacingRequest& aRequest,
                        const ServerRecord& aFirst,
                        BootTime aNow) const
{
  // Callers choose among the region's VMs at random, so each sees an equal part.
  const auto near = this->sendersByRegion.find(this->region);
  const std::size_t vms =
    near == this->sendersByRegion.end() ? 1 : std::max<std::size_t>(1, near->second);
  const double rate = this->objectLoad.RateOf(aRequest.object, aNow) * static_cast<double>(vms);
  const std::chrono::duration<double, std::milli> usual(this->MeanResponseTime(aRequest.service));
  return OwnersFor(rate, usual, aFirst.Entry().slots);
}

bool
Placement::Impl::PutNearFirst()
{
  Ranked* own = nullptr;
  Ranked* other = nullptr;
  for (Ranked& candidate : this->ranked) {
    const bool isOwn = candidate.record->Entry().failureDomain == this->failureDomain;
    Ranked*& best = isOwn ? own : other;
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
  const double usual = this->MeanResponseTime(aRequest.service);
  const bool hasNearOwner = aRequest.isLarge && this->PutNearFirst();
  // Mostly the first has room, so the order is found only as far as it is needed.
  std::make_heap(this->ranked.begin(), this->ranked.end());
  const ServerRecord& first = *this->ranked.front().record;
  const std::size_t sharing = this->Owners(aRequest, first, aNow) + (hasNearOwner ? 1 : 0);
  const std::size_t owners = std::min(sharing, this->ranked.size());
  for (std::size_t i = 0; i < owners; ++i) {
    std::pop_heap(this->ranked.begin(), this->ranked.end());
    const ServerRecord& record = *this->ranked.back().record;
    this->ranked.pop_back();
    if (this->HasRoom(record, usual, aNow)) {
      return { PlacingState::kSend, &record.Entry() };
    }
  }
  return { PlacingState::kBusy, &first.Entry() };
}

Placing
Placement::Impl::ChooseBehindPlan(const PlacingRequest& aRequest, BootTime aNow)
{
  const auto found = this->services.find(aRequest.service);
  if (found == this->services.end()) {
    return { PlacingState::kBusy, nullptr };
  }
  ServiceRecord& service = found->second;
  FadeMix(service, aNow);
  const double sum = MixOf(service);
  for (const RegionShare& share : service.plan) {
    const double part = sum < kLeastMix ? 1.0 : service.mix[share.region] / sum;
    if (part > share.fraction - kMixSlack || !aRequest.allowed.Allows(share.region)) {
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
Placement::Impl::ChooseOverflow(const PlacingRequest& aRequest,
                                const std::string& aPlanned,
                                BootTime aNow)
{
  std::vector<std::pair<double, std::string>> order;
  for (const std::string& name : this->regions) {
    const auto moved = this->mix.MovedWith(name, aNow);
    const bool mayTake = name != aPlanned && aRequest.allowed.Allows(name);
    if (moved && *moved <= kMostOverflow && mayTake) {
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
  this->impl->warms.clear();
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
    Placing beyond = this->impl->HasSpareCapacity(aRequest.service)
                       ? this->impl->ChooseOverflow(aRequest, name, aNow)
                       : this->impl->ChooseBehindPlan(aRequest, aNow);
    if (beyond.state != PlacingState::kSend) {
      beyond.server = placing.server;
    }
    return beyond;
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
    FadeMix(service, aNow);
    service.mix[record->Entry().region] += 1;
    this->impl->mix.OnSent(record->Entry().region, aNow);
  }
}

void
Placement::OnEnded(const std::string& aServer,
                   SendOutcome aOutcome,
                   std::chrono::milliseconds aTook,
                   BootTime aNow)
{
  ServerRecord* const record = this->impl->Find(aServer);
  if (record == nullptr) {
    return;
  }
  record->OnEnded(aOutcome, aTook, aNow);
  if (aOutcome == SendOutcome::kServed) {
    double& usual = this->impl->services[record->Entry().service].usualTime;
    const auto took = static_cast<double>(aTook.count());
    usual += (usual > 0 ? kUsualTimeWeight : 1.0) * (took - usual);
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
    const double usual = this->impl->MeanResponseTime(entry.service);
    statuses.push_back({ id,
                         entry.service,
                         entry.region,
                         StateOf(record, aNow),
                         record.LoadAt(usual, aNow),
                         record.UsableSlots(usual) });
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
