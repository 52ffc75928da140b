#include "plantainhaven/policy/request/request_tables.h"

#include "plantainhaven/common/digest.h"
#include "plantainhaven/common/settings.h"

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <tuple>
#include <unordered_map>

namespace plantainhaven {

namespace {

struct KeyEntry
{
  std::string digest;
  // Empty when several accounts have a key with this digest.
  std::string account;
};

// Transparent hash, so that a look-up by string_view needs no copy.
struct DigestHash
{
  using is_transparent = void;
  std::size_t operator()(std::string_view aDigest) const noexcept
  {
    return std::hash<std::string_view>{}(aDigest);
  }
};

struct LinkName
{
  std::string from;
  std::string to;
  bool operator<(const LinkName& aOther) const
  {
    return std::tie(this->from, this->to) < std::tie(aOther.from, aOther.to);
  }
};

ServerEntry
ToServer(const Resource& aResource)
{
  const BackendServer& spec = aResource.backend_server();
  ServerEntry server;
  server.name = aResource.name();
  server.service = spec.service();
  server.region = spec.region();
  server.failureDomain = spec.failure_domain();
  server.address = spec.address();
  server.port = static_cast<std::uint16_t>(spec.port());
  server.slots = spec.slots();
  server.maxConnections = spec.max_connections();
  server.draining = spec.draining();
  return server;
}

RouteEntry
ToRoute(const Resource& aResource)
{
  const Route& spec = aResource.route();
  return { spec.method(), spec.path_prefix(), spec.service(), spec.open(), spec.idempotent() };
}

SplitPolicy
ToPolicy(const TrafficPolicy& aSpec)
{
  SplitPolicy policy;
  for (const TrafficPolicy::Weight& weight : aSpec.weights()) {
    policy.target.push_back({ weight.region(), weight.percent() });
  }
  policy.capPoints = aSpec.cap_points();
  policy.interval = ToChrono(aSpec.interval());
  return policy;
}

ServiceEntry
ToService(const Resource& aResource)
{
  const Service& spec = aResource.service();
  ServiceEntry service;
  service.name = aResource.name();
  service.timeout = ToChrono(spec.timeout());
  service.maxAttempts = std::max<std::uint32_t>(1, spec.max_attempts());
  service.slowStart = ToChrono(spec.slow_start());
  return service;
}

std::vector<ServerEntry>&
ServersOfRegion(ServiceEntry& aService, const std::string& aRegion)
{
  for (RegionServers& group : aService.regions) {
    if (group.region == aRegion) {
      return group.servers;
    }
  }
  aService.regions.push_back({ aRegion, {} });
  return aService.regions.back().servers;
}

// Orders routes by descending prefix length, then a named method before "*".
bool
TakesPrecedence(const RouteEntry& aLeft, const RouteEntry& aRight)
{
  if (aLeft.pathPrefix.size() != aRight.pathPrefix.size()) {
    return aLeft.pathPrefix.size() > aRight.pathPrefix.size();
  }
  return aLeft.method != "*" && aRight.method == "*";
}

} // namespace

struct RequestTables::Impl
{
  void AddKey(const Key& aKey);
  void AddServer(const Resource& aResource);
  void AddPolicy(const Resource& aResource);
  ServiceEntry* MutableService(std::string_view aName);

  Revision revision = 0;
  std::vector<RouteEntry> routes;
  std::unordered_map<std::string, KeyEntry, DigestHash, std::equal_to<>> keys;
  std::vector<ServiceEntry> services;
  std::set<LinkName> links;
};

void
RequestTables::Impl::AddKey(const Key& aKey)
{
  KeyEntry& entry = this->keys[aKey.digest()];
  const bool isNew = entry.digest.empty();
  entry.digest = aKey.digest();
  if (isNew) {
    entry.account = aKey.client_account();
  } else if (entry.account != aKey.client_account()) {
    entry.account.clear();
  }
}

ServiceEntry*
RequestTables::Impl::MutableService(std::string_view aName)
{
  const auto found = std::find_if(this->services.begin(),
                                  this->services.end(),
                                  [&](const ServiceEntry& aEntry) { return aEntry.name == aName; });
  return found == this->services.end() ? nullptr : &*found;
}

void
RequestTables::Impl::AddServer(const Resource& aResource)
{
  ServerEntry server = ToServer(aResource);
  ServiceEntry* service = this->MutableService(server.service);
  if (service == nullptr) {
    return;
  }
  ServersOfRegion(*service, server.region).push_back(std::move(server));
}

void
RequestTables::Impl::AddPolicy(const Resource& aResource)
{
  ServiceEntry* service = this->MutableService(aResource.traffic_policy().service());
  if (service != nullptr) {
    service->policy = ToPolicy(aResource.traffic_policy());
  }
}

RequestTables::RequestTables()
  : impl(std::make_unique<Impl>())
{
}

RequestTables::~RequestTables() = default;

std::shared_ptr<const RequestTables>
RequestTables::Build(const Configuration& aConfiguration)
{
  std::shared_ptr<RequestTables> tables(new RequestTables());
  Impl& impl = *tables->impl;
  impl.revision = aConfiguration.AppliedRevision();
  aConfiguration.ForEach(
    "service", [&](const Resource& aResource) { impl.services.push_back(ToService(aResource)); });
  aConfiguration.ForEach("backend_server",
                         [&](const Resource& aResource) { impl.AddServer(aResource); });
  aConfiguration.ForEach("traffic_policy",
                         [&](const Resource& aResource) { impl.AddPolicy(aResource); });
  aConfiguration.ForEach(
    "route", [&](const Resource& aResource) { impl.routes.push_back(ToRoute(aResource)); });
  aConfiguration.ForEach("key", [&](const Resource& aResource) { impl.AddKey(aResource.key()); });
  aConfiguration.ForEach("link", [&](const Resource& aResource) {
    impl.links.insert({ aResource.link().from_region(), aResource.link().to_region() });
  });
  std::stable_sort(impl.routes.begin(), impl.routes.end(), TakesPrecedence);
  for (ServiceEntry& service : impl.services) {
    std::sort(service.regions.begin(),
              service.regions.end(),
              [](const RegionServers& aLeft, const RegionServers& aRight) {
                return aLeft.region < aRight.region;
              });
  }
  return tables;
}

Revision
RequestTables::AppliedRevision() const
{
  return this->impl->revision;
}

const RouteEntry*
RequestTables::MatchRoute(std::string_view aMethod, std::string_view aPath) const
{
  for (const RouteEntry& route : this->impl->routes) {
    const bool methodMatches = route.method == "*" || route.method == aMethod;
    if (methodMatches && aPath.starts_with(route.pathPrefix)) {
      return &route;
    }
  }
  return nullptr;
}

const std::string*
RequestTables::AccountOfDigest(std::string_view aDigest) const
{
  const auto found = this->impl->keys.find(aDigest);
  if (found == this->impl->keys.end()) {
    return nullptr;
  }
  const KeyEntry& entry = found->second;
  if (entry.account.empty() || !EqualInConstantTime(entry.digest, aDigest)) {
    return nullptr;
  }
  return &entry.account;
}

const ServiceEntry*
RequestTables::FindService(std::string_view aName) const
{
  return this->impl->MutableService(aName);
}

const std::vector<ServiceEntry>&
RequestTables::Services() const
{
  return this->impl->services;
}

bool
RequestTables::HasLink(std::string_view aFromRegion, std::string_view aToRegion) const
{
  return this->impl->links.contains({ std::string(aFromRegion), std::string(aToRegion) });
}

} // namespace plantainhaven
