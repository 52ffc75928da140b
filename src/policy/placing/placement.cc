#include "plantainhaven/policy/placing/placement.h"

#include "plantainhaven/policy/placing/rendezvous.h"
#include "policy/placing/server_record.h"

#include <algorithm>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>

namespace plantainhaven::placing {
namespace {

using Seconds = std::chrono::duration<double>;

// Servers that share an object: enough for bursts of one object, few enough that each
// knows it.
constexpr double kSpreadShare = 0.34;
constexpr std::size_t kLeastSpread = 2;
// VMs that share a cold server's rate, and the part of the rate that they use. Two views
// of who they are may overlap for a while without going over the rate.
constexpr std::size_t kColdSenders = 4;
constexpr double kColdUse = 0.8;
// Weight of the newest response in a service's usual time; about twenty responses count.
constexpr double kUsualTimeWeight = 0.05;
constexpr std::uint64_t kPositionSalt = 0x5bd1e9955bd1e995ULL;

struct ServiceRecord
{
  std::vector<RegionShare> plan;
  double warmupRate = 0;
  double usualTime = 0;
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
  using Records = std::vector<ServerRecord*>;

  ServerRecord* Find(const std::string& aServer);
  double UsualTime(std::string_view aService) const;
  // Not draining, not in an emptied failure domain, not ejected; of a cold server only if
  // this VM is among those that warm it.
  bool IsUsable(const ServerRecord& aRecord, BootTime aNow) const;
  bool WarmsUp(const ServerRecord& aRecord) const;
  std::chrono::nanoseconds ColdInterval(const ServerRecord& aRecord) const;
  std::size_t ColdSenderCount(const ServerRecord& aRecord) const;
  bool HasRoom(const ServerRecord& aRecord, double aUsualTime, BootTime aNow) const;
  Records Usable(const PlacingRequest& aRequest, const std::string& aRegion, BootTime aNow);
  std::vector<std::string> RegionOrder(const PlacingRequest& aRequest) const;
  Placing ChooseAmong(Records& aRecords, const PlacingRequest& aRequest, BootTime aNow) const;

  std::string self;
  std::uint64_t selfHash = 0;
  std::string region;
  std::map<std::string, ServerRecord> servers;
  std::unordered_map<std::string, std::vector<std::string>> idsByService;
  std::map<std::string, ServiceRecord, std::less<>> services;
  std::set<std::string> avoided;
  std::set<std::string> regions;
  std::vector<PlacingPeer> peers;
};

ServerRecord*
Placement::Impl::Find(const std::string& aServer)
{
  const auto found = this->servers.find(aServer);
  return found == this->servers.end() ? nullptr : &found->second;
}

double
Placement::Impl::UsualTime(std::string_view aService) const
{
  const auto found = this->services.find(aService);
  return found == this->services.end() ? 0 : found->second.usualTime;
}

std::size_t
Placement::Impl::ColdSenderCount(const ServerRecord& aRecord) const
{
  const auto near = static_cast<std::size_t>(
    std::count_if(this->peers.begin(), this->peers.end(), [&aRecord](const PlacingPeer& aPeer) {
      return aPeer.region == aRecord.Entry().region;
    }));
  return std::min(kColdSenders, near > 0 ? near : this->peers.size());
}

bool
Placement::Impl::WarmsUp(const ServerRecord& aRecord) const
{
  const std::string& home = aRecord.Entry().region;
  const bool hasNear = std::any_of(this->peers.begin(),
                                   this->peers.end(),
                                   [&home](const auto& aPeer) { return aPeer.region == home; });
  if (hasNear && this->region != home) {
    return false;
  }
  const std::uint64_t own = RendezvousRank(aRecord.Hash(), this->selfHash);
  std::size_t ahead = 0;
  for (const PlacingPeer& peer : this->peers) {
    const bool counts = peer.name != this->self && (!hasNear || peer.region == home);
    if (counts && RendezvousRank(aRecord.Hash(), StableHash(peer.name)) > own) {
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
  const double senders =
    static_cast<double>(std::max<std::size_t>(1, this->ColdSenderCount(aRecord)));
  return std::chrono::duration_cast<std::chrono::nanoseconds>(Seconds(senders / (rate * kColdUse)));
}

bool
Placement::Impl::IsUsable(const ServerRecord& aRecord, BootTime aNow) const
{
  const BackendServer& entry = aRecord.Entry();
  if (entry.isDraining || this->avoided.contains(entry.failureDomain)) {
    return false;
  }
  return !aRecord.IsEjected(aNow) && (!aRecord.IsCold(aNow) || this->WarmsUp(aRecord));
}

bool
Placement::Impl::HasRoom(const ServerRecord& aRecord, double aUsualTime, BootTime aNow) const
{
  if (aRecord.IsCold(aNow) && !aRecord.MaySendWhileCold(this->ColdInterval(aRecord), aNow)) {
    return false;
  }
  return aRecord.LoadAt(aNow) < aRecord.UsableSlots(aUsualTime);
}

Placement::Impl::Records
Placement::Impl::Usable(const PlacingRequest& aRequest, const std::string& aRegion, BootTime aNow)
{
  Records records;
  const auto ids = this->idsByService.find(std::string(aRequest.service));
  if (ids == this->idsByService.end()) {
    return records;
  }
  for (const std::string& id : ids->second) {
    ServerRecord* const record = this->Find(id);
    const bool wasTried = aRequest.excluded != nullptr &&
                          std::find(aRequest.excluded->begin(), aRequest.excluded->end(), id) !=
                            aRequest.excluded->end();
    if (record != nullptr && !wasTried && record->Entry().region == aRegion &&
        this->IsUsable(*record, aNow)) {
      records.push_back(record);
    }
  }
  return records;
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

Placing
Placement::Impl::ChooseAmong(Records& aRecords, const PlacingRequest& aRequest, BootTime aNow) const
{
  std::sort(aRecords.begin(), aRecords.end(), [&aRequest](const auto* aLeft, const auto* aRight) {
    return RendezvousRank(aRequest.object, aLeft->Hash()) >
           RendezvousRank(aRequest.object, aRight->Hash());
  });
  const auto base = static_cast<std::size_t>(static_cast<double>(aRecords.size()) * kSpreadShare);
  const std::size_t spread = std::max(kLeastSpread, base);
  const double usual = this->UsualTime(aRequest.service);
  for (std::size_t i = 0; i < std::min(spread, aRecords.size()); ++i) {
    if (this->HasRoom(*aRecords[i], usual, aNow)) {
      return { PlacingState::kSend, &aRecords[i]->Entry() };
    }
  }
  return { PlacingState::kBusy, nullptr };
}

Placement::Placement(std::string aSelf, std::string aRegion)
  : impl(std::make_unique<Impl>())
{
  this->impl->selfHash = StableHash(aSelf);
  this->impl->self = std::move(aSelf);
  this->impl->region = std::move(aRegion);
}

Placement::~Placement() = default;

void
Placement::SetServers(const std::vector<BackendServer>& aServers, BootTime aReadAt)
{
  std::map<std::string, ServerRecord> kept;
  this->impl->idsByService.clear();
  for (const BackendServer& server : aServers) {
    const auto old = this->impl->servers.find(server.id);
    const bool isSame = old != this->impl->servers.end() &&
                        old->second.Entry().startedAtUnixMs == server.startedAtUnixMs &&
                        old->second.Entry().address == server.address &&
                        old->second.Entry().port == server.port;
    if (isSame) {
      old->second.Update(server, aReadAt);
      kept.emplace(server.id, std::move(old->second));
    } else {
      kept.emplace(server.id, ServerRecord(server, aReadAt));
    }
    this->impl->idsByService[server.service].push_back(server.id);
    this->impl->services.try_emplace(server.service);
    this->impl->regions.insert(server.region);
  }
  this->impl->servers = std::move(kept);
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
}

void
Placement::SetPeers(std::vector<PlacingPeer> aPeers)
{
  this->impl->peers = std::move(aPeers);
}

void
Placement::SetPlan(const std::string& aService, std::vector<RegionShare> aPlan)
{
  this->impl->services[aService].plan = std::move(aPlan);
}

Placing
Placement::Choose(const PlacingRequest& aRequest, BootTime aNow)
{
  for (const std::string& name : this->impl->RegionOrder(aRequest)) {
    Impl::Records records = this->impl->Usable(aRequest, name, aNow);
    if (!records.empty()) {
      return this->impl->ChooseAmong(records, aRequest, aNow);
    }
  }
  return {};
}

void
Placement::OnSent(const std::string& aServer, BootTime aNow)
{
  if (ServerRecord* const record = this->impl->Find(aServer)) {
    record->OnSent(aNow);
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

std::vector<RegionState>
Placement::Regions(const std::string& aService, BootTime aNow) const
{
  std::map<std::string, double> slots;
  for (const std::string& name : this->impl->regions) {
    slots[name] = 0;
  }
  for (const auto& [id, record] : this->impl->servers) {
    const BackendServer& entry = record.Entry();
    const bool counts = entry.service == aService && !entry.isDraining &&
                        !this->impl->avoided.contains(entry.failureDomain) && !record.IsCold(aNow);
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
Placement::UsualTime(std::string_view aService) const
{
  return std::chrono::milliseconds(static_cast<std::int64_t>(this->impl->UsualTime(aService)));
}

std::size_t
Placement::ServerCount() const
{
  return this->impl->servers.size();
}

bool
Placement::MayUse(const std::string& aServer, BootTime aNow) const
{
  const auto found = this->impl->servers.find(aServer);
  return found != this->impl->servers.end() && this->impl->IsUsable(found->second, aNow);
}

} // namespace plantainhaven::placing
