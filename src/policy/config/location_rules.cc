#include "policy/config/location_rules.h"

#include "policy/config/cidr.h"

#include <algorithm>
#include <set>

namespace plantainhaven {

namespace {

constexpr std::size_t kMaxNameLength = 128;
constexpr const char* kNameRule = "1 to 128 characters of a-z, 0-9, '-', '.' and '_'";

bool
IsNameCharacter(char aByte)
{
  return (aByte >= 'a' && aByte <= 'z') || (aByte >= '0' && aByte <= '9') || aByte == '-' ||
         aByte == '.' || aByte == '_';
}

bool
IsValidName(const std::string& aName)
{
  return !aName.empty() && aName.size() <= kMaxNameLength &&
         std::all_of(aName.begin(), aName.end(), IsNameCharacter);
}

bool
HasDomain(const Resource& aRegion, const std::string& aDomain)
{
  const auto& domains = aRegion.region().failure_domains();
  return std::find(domains.begin(), domains.end(), aDomain) != domains.end();
}

std::string
JoinDomains(const Resource& aRegion)
{
  std::string text;
  for (const std::string& domain : aRegion.region().failure_domains()) {
    text += (text.empty() ? "" : ", ") + domain;
  }
  return text;
}

// Region and failure domain of a server or VM, which `kind` and `name` identify.
struct Location
{
  std::string kind;
  std::string name;
  std::string region;
  std::string failureDomain;
};

template<typename Spec>
Location
LocationOf(const Resource& aResource, const Spec& aSpec)
{
  return { KindOf(aResource), aResource.name(), aSpec.region(), aSpec.failure_domain() };
}

OptionalViolation
CheckLocation(const Location& aLocation, const WriteView& aView)
{
  const Resource& region = *aView.Find("region", aLocation.region);
  if (HasDomain(region, aLocation.failureDomain)) {
    return std::nullopt;
  }
  return FieldViolation{ aLocation.kind + ".failure_domain",
                         Quote(aLocation.failureDomain),
                         "a failure domain of region " + Quote(aLocation.region),
                         "name one of: " + JoinDomains(region) };
}

OptionalViolation
CheckIpAddress(const std::string& aField, const std::string& aAddress)
{
  if (IsIpAddress(aAddress)) {
    return std::nullopt;
  }
  return FieldViolation{
    aField, Quote(aAddress), "an IP number", "write an address such as 10.0.0.7, not a host name"
  };
}

} // namespace

OptionalViolation
CheckRegion(const Resource& aResource, const WriteView& aView)
{
  const auto& domains = aResource.region().failure_domains();
  for (auto domain = domains.begin(); domain != domains.end(); ++domain) {
    if (!IsValidName(*domain)) {
      return FieldViolation{
        "region.failure_domains", Quote(*domain), kNameRule, "rename the domain"
      };
    }
    if (std::find(domains.begin(), domain, *domain) != domain) {
      return FieldViolation{
        "region.failure_domains", Quote(*domain) + " twice", "each name once", "remove one"
      };
    }
  }
  OptionalViolation violation;
  const auto check = [&](const Location& aLocation) {
    if (aLocation.region == aResource.name() && !HasDomain(aResource, aLocation.failureDomain)) {
      violation = FieldViolation{ "region.failure_domains",
                                  JoinDomains(aResource),
                                  "also " + Quote(aLocation.failureDomain) + ", where " +
                                    aLocation.kind + " " + Quote(aLocation.name) + " is",
                                  "keep the domain, or move or delete what is in it first" };
    }
  };
  aView.ForEach("backend_server", [&](const Resource& aServer) {
    check(LocationOf(aServer, aServer.backend_server()));
  });
  aView.ForEach("entry_vm", [&](const Resource& aVm) { check(LocationOf(aVm, aVm.entry_vm())); });
  return violation;
}

OptionalViolation
CheckBackendServer(const Resource& aResource, const WriteView& aView)
{
  const BackendServer& server = aResource.backend_server();
  const OptionalViolation violation = CheckLocation(LocationOf(aResource, server), aView);
  return violation ? violation : CheckIpAddress("backend_server.address", server.address());
}

OptionalViolation
CheckEntryVm(const Resource& aResource, const WriteView& aView)
{
  const EntryVm& vm = aResource.entry_vm();
  if (OptionalViolation violation = CheckLocation(LocationOf(aResource, vm), aView)) {
    return violation;
  }
  if (OptionalViolation violation = CheckIpAddress("entry_vm.address", vm.address())) {
    return violation;
  }
  if (vm.state() != EntryVm::ACTIVE && vm.state() != EntryVm::LEAVING) {
    return FieldViolation{
      "entry_vm.state", std::to_string(vm.state()), "ACTIVE or LEAVING", "set the state"
    };
  }
  std::set<std::uint32_t> ports;
  for (const std::uint32_t port :
       { vm.entry_port(), vm.lookup_port(), vm.api_port(), vm.peer_port(), vm.budget_port() }) {
    if (!ports.insert(port).second) {
      return FieldViolation{ "entry_vm",
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
  if (IsValidName(aResource.name())) {
    return Done{};
  }
  return InvalidResource(aResource,
                         { "name", Quote(aResource.name()), kNameRule, "rename the resource" });
}

} // namespace plantainhaven
