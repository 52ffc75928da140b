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

// A backend server as the request path uses it.
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

// Share of a service's traffic that one region takes, in percent.
struct RegionWeight
{
  std::string region;
  double percent = 0;
};

// Target split of a service and how fast traffic may move towards it.
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
  // In order of region name; every region that has a server of the service.
  std::vector<RegionServers> regions;
  std::optional<SplitPolicy> policy;
};

// What the request path needs of one revision of the configuration. Immutable once
// built, so that any number of threads may read it.
class RequestTables
{
public:
  // Builds the tables of a configuration.
  static std::shared_ptr<const RequestTables> Build(const Configuration& aConfiguration);
  ~RequestTables();
  RequestTables(const RequestTables&) = delete;
  RequestTables& operator=(const RequestTables&) = delete;

  Revision AppliedRevision() const;
  // The route with the longest matching path prefix; between equal prefixes one that
  // names the method goes before "*". Null when none matches. `aPath` is decoded.
  const RouteEntry* MatchRoute(std::string_view aMethod, std::string_view aPath) const;
  // Client account of a key's SHA-256 in lower-case hexadecimal, null when the digest
  // is unknown or stands for more than one account.
  const std::string* AccountOfDigest(std::string_view aDigest) const;
  const ServiceEntry* FindService(std::string_view aName) const;
  const std::vector<ServiceEntry>& Services() const;
  // True when the configuration limits the link between two regions.
  bool HasLink(std::string_view aFromRegion, std::string_view aToRegion) const;

private:
  RequestTables();
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace plantainhaven
