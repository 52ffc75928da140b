#include "policy/config/cross_field_rules.h"

#include "policy/config/configuration_impl.h"
#include "policy/config/field_violation.h"
#include "policy/config/location_rules.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <optional>
#include <utility>

namespace plantainhaven {

namespace {

constexpr std::size_t kDigestLength = 64;
constexpr double kPercentTotal = 100;
// Allows for rounding in sums of binary fractions, for example of 33.3, 33.3 and 33.4.
constexpr double kPercentTolerance = 1e-6;

// Returns the name of another resource of the same kind for which `aConflicts` holds;
// empty if there is none.
template<typename Predicate>
std::string
FindConflicting(const Resource& aResource, const WriteView& aView, Predicate aConflicts)
{
  std::string found;
  aView.ForEach(KindOf(aResource), [&](const Resource& aOther) {
    if (aOther.name() != aResource.name() && aConflicts(aOther)) {
      found = aOther.name();
    }
  });
  return found;
}

OptionalViolation
CheckMethod(const std::string& aMethod)
{
  const bool upperCase = std::all_of(
    aMethod.begin(), aMethod.end(), [](char aByte) { return aByte >= 'A' && aByte <= 'Z'; });
  if (upperCase || aMethod == "*") {
    return std::nullopt;
  }
  return FieldViolation{
    "route.method", Quote(aMethod), "an HTTP method in upper case or *", "write GET, POST or *"
  };
}

OptionalViolation
CheckPathPrefix(const std::string& aPrefix)
{
  const bool plain = std::all_of(aPrefix.begin(), aPrefix.end(), [](char aByte) {
    return aByte > ' ' && aByte < '\x7f' && aByte != '?' && aByte != '#';
  });
  if (aPrefix.front() == '/' && plain) {
    return std::nullopt;
  }
  return FieldViolation{ "route.path_prefix",
                         Quote(aPrefix),
                         "a path that begins with / and has no blanks, query or fragment",
                         "write a path such as /lessons, with other characters percent-encoded" };
}

OptionalViolation
CheckRoute(const Resource& aResource, const WriteView& aView)
{
  const Route& route = aResource.route();
  if (OptionalViolation violation = CheckMethod(route.method())) {
    return violation;
  }
  if (OptionalViolation violation = CheckPathPrefix(route.path_prefix())) {
    return violation;
  }
  const std::string other = FindConflicting(aResource, aView, [&](const Resource& aOther) {
    return aOther.route().method() == route.method() &&
           aOther.route().path_prefix() == route.path_prefix();
  });
  if (other.empty()) {
    return std::nullopt;
  }
  return FieldViolation{ "route.path_prefix",
                         Quote(route.path_prefix()),
                         "one that no other route has with method " + route.method(),
                         "change or delete route " + Quote(other) };
}

OptionalViolation
CheckKey(const Resource& aResource, const WriteView& aView)
{
  const std::string& digest = aResource.key().digest();
  const bool hexadecimal = std::all_of(digest.begin(), digest.end(), [](char aByte) {
    return (aByte >= '0' && aByte <= '9') || (aByte >= 'a' && aByte <= 'f');
  });
  if (digest.size() != kDigestLength || !hexadecimal) {
    return FieldViolation{ "key.digest",
                           std::to_string(digest.size()) + " characters",
                           "64 hexadecimal digits in lower case",
                           "write the SHA-256 of the key, never the key itself" };
  }
  const std::string other = FindConflicting(
    aResource, aView, [&](const Resource& aOther) { return aOther.key().digest() == digest; });
  if (other.empty()) {
    return std::nullopt;
  }
  return FieldViolation{ "key.digest",
                         "the digest of key " + Quote(other),
                         "one that no other key has",
                         "issue a new key" };
}

OptionalViolation
CheckWeights(const TrafficPolicy& aPolicy)
{
  std::set<std::string> regions;
  double sum = 0;
  for (const TrafficPolicy::Weight& weight : aPolicy.weights()) {
    sum += weight.percent();
    if (!regions.insert(weight.region()).second) {
      return FieldViolation{ "traffic_policy.weights",
                             "region " + Quote(weight.region()) + " twice",
                             "each region once",
                             "add its percents up in one weight" };
    }
  }
  if (std::abs(sum - kPercentTotal) <= kPercentTolerance) {
    return std::nullopt;
  }
  return FieldViolation{ "traffic_policy.weights",
                         "a split with the sum " + FormatNumber(sum) + " %",
                         "the sum 100 %",
                         "correct the percents" };
}

OptionalViolation
CheckTrafficPolicy(const Resource& aResource, const WriteView& aView)
{
  const TrafficPolicy& policy = aResource.traffic_policy();
  if (OptionalViolation violation = CheckWeights(policy)) {
    return violation;
  }
  const std::string other = FindConflicting(aResource, aView, [&](const Resource& aOther) {
    return aOther.traffic_policy().service() == policy.service();
  });
  if (other.empty()) {
    return std::nullopt;
  }
  return FieldViolation{ "traffic_policy.service",
                         Quote(policy.service()),
                         "a service without another traffic policy",
                         "change traffic_policy " + Quote(other) + " instead" };
}

OptionalViolation
CheckLink(const Resource& aResource, const WriteView& aView)
{
  const Link& link = aResource.link();
  if (link.from_region() == link.to_region()) {
    return FieldViolation{ "link.to_region",
                           Quote(link.to_region()),
                           "another region than from_region",
                           "traffic inside a region needs no link" };
  }
  const std::string other = FindConflicting(aResource, aView, [&](const Resource& aOther) {
    return aOther.link().from_region() == link.from_region() &&
           aOther.link().to_region() == link.to_region();
  });
  if (other.empty()) {
    return std::nullopt;
  }
  return FieldViolation{ "link.to_region",
                         Quote(link.to_region()),
                         "a direction that no other link has",
                         "change link " + Quote(other) + " instead" };
}

OptionalViolation
CheckClientBlock(const Resource& aResource, const WriteView&)
{
  const PackResult edit = PackBlock(aResource, 0);
  const auto* violation = std::get_if<FieldViolation>(&edit);
  return violation == nullptr ? OptionalViolation{} : OptionalViolation(*violation);
}

OptionalViolation
NoCheck(const Resource&, const WriteView&)
{
  return std::nullopt;
}

struct KindCheck
{
  Resource::SpecCase kind;
  OptionalViolation (*check)(const Resource&, const WriteView&);
};

constexpr std::array kKindChecks{
  KindCheck{ Resource::kRegion, CheckRegion },
  KindCheck{ Resource::kService, NoCheck },
  KindCheck{ Resource::kBackendServer, CheckBackendServer },
  KindCheck{ Resource::kRoute, CheckRoute },
  KindCheck{ Resource::kClientAccount, NoCheck },
  KindCheck{ Resource::kKey, CheckKey },
  KindCheck{ Resource::kTrafficPolicy, CheckTrafficPolicy },
  KindCheck{ Resource::kLink, CheckLink },
  KindCheck{ Resource::kClientBlock, CheckClientBlock },
  KindCheck{ Resource::kEntryVm, CheckEntryVm },
};

} // namespace

Result<Done>
CheckCrossFieldRules(const Resource& aResource, const WriteView& aView)
{
  for (const KindCheck& entry : kKindChecks) {
    if (entry.kind == aResource.spec_case()) {
      const OptionalViolation violation = entry.check(aResource, aView);
      return violation ? Result<Done>(InvalidResource(aResource, *violation))
                       : Result<Done>(Done{});
    }
  }
  return Done{};
}

} // namespace plantainhaven
