#pragma once

#include "plantainhaven/policy/config/configuration.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace plantainhaven {

// A backend server as the request path sees it.
struct ServerEntry
{
  std::string name;
  std::string service;
  std::string region;
  std::string failureDomain;
  std::string address;
  std::uint16_t port = 0;
  std::uint32_t slots = 0;
  std::uint32_t maxConnections = 0;
  bool draining = false;
};

struct RouteEntry
{
  std::string method;
  std::string pathPrefix;
  std::string service;
  bool open = false;
  bool idempotent = false;
};

// Share of a service's traffic that one region receives, in percent.
struct RegionWeight
{
  std::string region;
  double percent = 0;
};

// Target split of a service, and a rate limit for shifts: in each interval at most
// `capPoints` percentage points may move to other regions.
struct SplitPolicy
{
  std::vector<RegionWeight> target;
  double capPoints = 0;
  std::chrono::nanoseconds interval{ 0 };
};

struct RegionServers
{
  std::string region;
  std::vector<ServerEntry> servers;
};

struct ServiceEntry
{
  std::string name;
  std::chrono::nanoseconds timeout{ 0 };
  std::uint32_t maxAttempts = 1;
  std::chrono::nanoseconds slowStart{ 0 };
  // Every region that has a server of the service, sorted by name.
  std::vector<RegionServers> regions;
  std::optional<SplitPolicy> policy;
};

// The part of one configuration revision that the request path needs, indexed for its
// look-ups. Immutable once built, so that any number of threads may read it.
class RequestTables
{
public:
  // Builds the tables of a configuration.
  static std::shared_ptr<const RequestTables> Build(const Configuration& aConfiguration);
  ~RequestTables();
  RequestTables(const RequestTables&) = delete;
  RequestTables& operator=(const RequestTables&) = delete;

  Revision AppliedRevision() const;
  // Returns the route with the longest matching path prefix, or null when none matches.
  // Between equal prefixes, a route for the given method takes precedence over one for "*".
  // `aPath` is percent-decoded.
  const RouteEntry* MatchRoute(std::string_view aMethod, std::string_view aPath) const;
  // Returns the client account of a key, or null when the digest is unknown or belongs to
  // more than one account. `aDigest` is the key's SHA-256 in lower-case hexadecimal.
  const std::string* AccountOfDigest(std::string_view aDigest) const;
  const ServiceEntry* FindService(std::string_view aName) const;
  const std::vector<ServiceEntry>& Services() const;
  // Returns true when the configuration limits the bandwidth from one region to the other.
  bool HasLink(std::string_view aFromRegion, std::string_view aToRegion) const;

private:
  RequestTables();
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace plantainhaven
