#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace plantainhaven::placing {

// One of the services that may run a route's requests.
struct RouteTarget
{
  std::string service;
  // Share of the requests relative to the other targets' weights.
  double weight = 1.0;
};

// Configuration of the requests below one path of one host.
struct Route
{
  std::string name;
  // Begins and ends with a slash.
  std::string prefix;
  // Requests may safely run more than once.
  bool isIdempotent = false;
  std::chrono::milliseconds timeout{ 0 };
  // Target response time; later responses are worth less to the caller.
  std::chrono::milliseconds latencyObjective{ 0 };
  // Maximum number of backend servers to which one request may be sent.
  int maxAttempts = 1;
  // 0 is the most urgent.
  int priority = 0;
  // Requests need no key.
  bool isPublic = false;
  // Backend servers handle requests faster for objects that they have seen recently.
  bool hasAffinity = false;
  // Regions where requests may run; empty for all.
  std::vector<std::string> allowedRegions;
  std::vector<RouteTarget> targets;
};

// A client account with its limits.
struct Account
{
  std::string name;
  // If set, takes precedence over the route's priority.
  std::optional<int> priority;
  // Requests per second over the whole fleet; 0 for no limit.
  double rate = 0;
  double burst = 0;
  std::vector<std::string> allowedRegions;
};

// Configuration of a service.
struct Service
{
  std::string name;
  std::string healthPath;
  // Maximum number of connections to one backend server from all VMs together.
  int maxConnections = 0;
  // A backend server is cold for this long after its start. While cold, it accepts only
  // `warmupRate` requests per second.
  std::chrono::milliseconds warmupTime{ 0 };
  double warmupRate = 0;
};

// Limits on the size and duration of a caller's requests.
struct CallerLimits
{
  std::size_t maxHeaderBytes = 16384;
  std::size_t maxBodyBytes = 1 << 20;
  std::chrono::milliseconds headerTimeout{ 3000 };
  std::chrono::milliseconds idleTimeout{ 15000 };
};

// One version of the configuration with lookup tables. Immutable once built.
class Routing
{
public:
  std::uint64_t version = 0;
  CallerLimits limits;
  std::vector<Account> accounts;
  std::unordered_map<std::string, Service> services;

  // Adds a route of a host.
  void AddRoute(const std::string& aHost, Route aRoute);
  // Assigns a key to accounts[aAccount]. Returns false if it belongs to another account.
  bool AddKey(const std::string& aKey, std::size_t aAccount);

  // Returns the route with the longest matching path prefix; null if none matches.
  const Route* FindRoute(std::string_view aHost, std::string_view aPath) const;
  // Returns the account to which a key belongs; null if there is none.
  const Account* FindAccount(const std::string& aKey) const;
  // Returns whether requests need keys unless their route is public.
  bool HasAccounts() const { return !this->accounts.empty(); }
  std::size_t RouteCount() const;

private:
  // Longest prefix first.
  std::unordered_map<std::string, std::vector<Route>> routesByHost;
  std::unordered_map<std::string, std::size_t> accountByKey;
};

using RoutingPtr = std::shared_ptr<const Routing>;

// A backend server's report about itself.
struct BackendServer
{
  std::string id;
  std::string service;
  std::string address;
  std::uint16_t port = 0;
  std::string failureDomain;
  std::string region;
  // Number of requests that it runs concurrently.
  int slots = 1;
  bool isDraining = false;
  // Start of the process by its own clock; it changes when the process restarts under the
  // same id.
  std::chrono::sys_time<std::chrono::milliseconds> startedAt{};
  // Remaining warm-up time at the time of the report.
  std::chrono::milliseconds warmupLeft{ 0 };
  std::int64_t reportNumber = 0;
};

// The regions where a request may run: those that both lists allow. An empty list allows all
// regions. If the lists are disjoint, no region is allowed.
struct AllowedRegions
{
  bool all = true;
  std::vector<std::string> names;

  bool Allows(std::string_view aRegion) const;
};

AllowedRegions
IntersectRegions(const std::vector<std::string>& aFirst, const std::vector<std::string>& aSecond);

} // namespace plantainhaven::placing
