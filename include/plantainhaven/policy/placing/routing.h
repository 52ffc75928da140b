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
  // Part of the requests relative to the other targets' weights.
  double weight = 1.0;
};

// What the configuration says of the requests below one path of one host.
struct Route
{
  std::string name;
  // Begins and ends with a slash.
  std::string prefix;
  // Running a request twice does no harm.
  bool isIdempotent = false;
  std::chrono::milliseconds timeout{ 0 };
  // A response within this time is worth most to the caller.
  std::chrono::milliseconds latencyObjective{ 0 };
  // Backend servers to which one request may be sent.
  int maxAttempts = 1;
  // 0 is the most urgent.
  int priority = 0;
  // A request needs no key.
  bool isPublic = false;
  // A backend server that has seen a request's object lately works faster.
  bool hasAffinity = false;
  // Regions where requests may run; empty for all.
  std::vector<std::string> allowedRegions;
  std::vector<RouteTarget> targets;
};

// A client account with what it may use.
struct Account
{
  std::string name;
  // Goes before the route's priority where given.
  std::optional<int> priority;
  // Requests a second over the whole fleet; 0 for no limit.
  double rate = 0;
  double burst = 0;
  std::vector<std::string> allowedRegions;
};

// What the configuration says of a service.
struct Service
{
  std::string name;
  std::string healthPath;
  // Connections that one backend server takes from all VMs together.
  int maxConnections = 0;
  // A backend server that has just started is cold for this long and then takes only
  // this many requests a second.
  std::chrono::milliseconds warmupTime{ 0 };
  double warmupRate = 0;
};

// What a caller may send and how long it may take.
struct CallerLimits
{
  std::size_t maxHeaderBytes = 16384;
  std::size_t maxBodyBytes = 1 << 20;
  std::chrono::milliseconds headerTimeout{ 3000 };
  std::chrono::milliseconds idleTimeout{ 15000 };
};

// One version of the configuration, ready for look-ups. Immutable once built.
class Routing
{
public:
  std::uint64_t version = 0;
  CallerLimits limits;
  std::vector<Account> accounts;
  std::unordered_map<std::string, Service> services;

  // Adds a route of a host.
  void AddRoute(const std::string& aHost, Route aRoute);
  // Lets a key stand for accounts[aAccount]. False when another account holds it.
  bool AddKey(const std::string& aKey, std::size_t aAccount);

  // The route with the longest prefix of the path; null when none matches.
  const Route* FindRoute(std::string_view aHost, std::string_view aPath) const;
  // The account that holds a key; null when none does.
  const Account* FindAccount(const std::string& aKey) const;
  // True when requests need keys unless their route is public.
  bool HasAccounts() const { return !this->accounts.empty(); }
  std::size_t RouteCount() const;

private:
  // Longest prefix first.
  std::unordered_map<std::string, std::vector<Route>> routesByHost;
  std::unordered_map<std::string, std::size_t> accountByKey;
};

using RoutingPtr = std::shared_ptr<const Routing>;

// One backend server as it reported itself.
struct BackendServer
{
  std::string id;
  std::string service;
  std::string address;
  std::uint16_t port = 0;
  std::string failureDomain;
  std::string region;
  // Requests that it runs at once.
  int slots = 1;
  bool isDraining = false;
  // Start of the process by its own clock; a restart under the same id
  // changes it.
  std::chrono::sys_time<std::chrono::milliseconds> startedAt{};
  // How much longer it was cold when it reported.
  std::chrono::milliseconds warmupLeft{ 0 };
  std::int64_t reportNumber = 0;
};

// The part of the regions where a request may run: those that both lists allow. An empty
// list allows all; nothing is left when the lists exclude each other.
struct AllowedRegions
{
  bool all = true;
  std::vector<std::string> names;

  bool Allows(std::string_view aRegion) const;
};

AllowedRegions
IntersectRegions(const std::vector<std::string>& aFirst, const std::vector<std::string>& aSecond);

} // namespace plantainhaven::placing
