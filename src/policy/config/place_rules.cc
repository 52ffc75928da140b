#include "policy/config/place_rules.h"

#include "policy/config/cidr.h"

#include <algorithm>
#include <set>

namespace plantainhaven {

namespace {

constexpr std::size_t kLongestName = 128;
constexpr const char* kNameRule = "1 to 128 characters of a-z, 0-9, '-', '.' and '_'";

bool
IsNameCharacter(char aByte)
{
  return (aByte >= 'a' && aByte <= 'z') || (aByte >= '0' && aByte <= '9') || aByte == '-' ||
         aByte == '.' || aByte == '_';
}

bool
IsName(const std::string& aName)
{
  return !aName.empty() && aName.size() <= kLongestName &&
         std::all_of(aName.begin(), aName.end(), IsNameCharacter);
}

bool
IsDomainOf(const Resource& aRegion, const std::string& aDomain)
{
  const auto& domains = aRegion.region().failure_domains();
  return std::find(domains.begin(), domains.end(), aDomain) != domains.end();
}

std::string
DomainsOf(const Resource& aRegion)
{
  std::string text;
  for (const std::string& domain : aRegion.region().failure_domains()) {
    text += (text.empty() ? "" : ", ") + domain;
  }
  return text;
}

// A server or VM as far as its place goes.
struct Place
{
  std::string kind;
  std::string name;
  std::string region;
  std::string failureDomain;
};

template<typename Spec>
Place
PlaceOf(const Resource& aResource, const Spec& aSpec)
{
  return { KindOf(aResource), aResource.name(), aSpec.region(), aSpec.failure_domain() };
}

Fault
CheckPlace(const Place& aPlace, const WriteView& aView)
{
  const Resource& region = *aView.Find("region", aPlace.region);
  if (IsDomainOf(region, aPlace.failureDomain)) {
    return std::nullopt;
  }
  return FieldFault{ aPlace.kind + ".failure_domain",
                     Quote(aPlace.failureDomain),
                     "a failure domain of region " + Quote(aPlace.region),
                     "name one of: " + DomainsOf(region) };
}

Fault
CheckIpNumber(const std::string& aField, const std::string& aAddress)
{
  if (IsIpNumber(aAddress)) {
    return std::nullopt;
  }
  return FieldFault{
    aField, Quote(aAddress), "an IP number", "write an address such as 10.0.0.7, not a host name"
  };
}

} // namespace

Fault
CheckRegion(const Resource& aResource, const WriteView& aView)
{
  const auto& domains = aResource.region().failure_domains();
  for (auto domain = domains.begin(); domain != domains.end(); ++domain) {
    if (!IsName(*domain)) {
      return FieldFault{ "region.failure_domains", Quote(*domain), kNameRule, "rename the domain" };
    }
    if (std::find(domains.begin(), domain, *domain) != domain) {
      return FieldFault{
        "region.failure_domains", Quote(*domain) + " twice", "each name once", "remove one"
      };
    }
  }
  Fault fault;
  const auto check = [&](const Place& aPlace) {
    if (aPlace.region == aResource.name() && !IsDomainOf(aResource, aPlace.failureDomain)) {
      fault = FieldFault{ "region.failure_domains",
                          DomainsOf(aResource),
                          "also " + Quote(aPlace.failureDomain) + ", where " + aPlace.kind + " " +
                            Quote(aPlace.name) + " is",
                          "keep the domain, or move or delete what is in it first" };
    }
  };
  aView.ForEach("backend_server", [&](const Resource& aServer) {
    check(PlaceOf(aServer, aServer.backend_server()));
  });
  aView.ForEach("entry_vm", [&](const Resource& aVm) { check(PlaceOf(aVm, aVm.entry_vm())); });
  return fault;
}

Fault
CheckBackendServer(const Resource& aResource, const WriteView& aView)
{
  const BackendServer& server = aResource.backend_server();
  const Fault fault = CheckPlace(PlaceOf(aResource, server), aView);
  return fault ? fault : CheckIpNumber("backend_server.address", server.address());
}

Fault
CheckEntryVm(const Resource& aResource, const WriteView& aView)
{
  const EntryVm& vm = aResource.entry_vm();
  if (Fault fault = CheckPlace(PlaceOf(aResource, vm), aView)) {
    return fault;
  }
  if (Fault fault = CheckIpNumber("entry_vm.address", vm.address())) {
    return fault;
  }
  if (vm.state() != EntryVm::ACTIVE && vm.state() != EntryVm::LEAVING) {
    return FieldFault{
      "entry_vm.state", std::to_string(vm.state()), "ACTIVE or LEAVING", "set the state"
    };
  }
  std::set<std::uint32_t> ports;
  for (const std::uint32_t port :
       { vm.entry_port(), vm.lookup_port(), vm.api_port(), vm.peer_port(), vm.budget_port() }) {
    if (!ports.insert(port).second) {
      return FieldFault{ "entry_vm",
                         "port " + std::to_string(port) + " twice",
                         "five different ports",
                         "give each purpose a port of its own" };
    }
  }
  return std::nullopt;
}

Result<Done>
CheckName(const Resource& aResource)
{
  if (IsName(aResource.name())) {
    return Done{};
  }
  return MakeFault(aResource,
                   { "name", Quote(aResource.name()), kNameRule, "rename the resource" });
}

} // namespace plantainhaven
