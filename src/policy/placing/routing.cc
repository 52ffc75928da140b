#include "plantainhaven/policy/placing/routing.h"

#include <algorithm>
#include <utility>

namespace plantainhaven::placing {
namespace {

bool
Contains(const std::vector<std::string>& aNames, std::string_view aName)
{
  return std::find(aNames.begin(), aNames.end(), aName) != aNames.end();
}

} // namespace

void
Routing::AddRoute(const std::string& aHost, Route aRoute)
{
  std::vector<Route>& routes = this->routesByHost[aHost];
  const auto position = std::upper_bound(
    routes.begin(), routes.end(), aRoute, [](const Route& aLeft, const Route& aRight) {
      return aLeft.prefix.size() > aRight.prefix.size();
    });
  routes.insert(position, std::move(aRoute));
}

bool
Routing::AddKey(const std::string& aKey, std::size_t aAccount)
{
  const auto [position, isNew] = this->accountByKey.emplace(aKey, aAccount);
  return isNew || position->second == aAccount;
}

const Route*
Routing::FindRoute(std::string_view aHost, std::string_view aPath) const
{
  const auto host = this->routesByHost.find(std::string(aHost));
  if (host == this->routesByHost.end()) {
    return nullptr;
  }
  const auto found =
    std::find_if(host->second.begin(), host->second.end(), [aPath](const Route& aRoute) {
      return aPath.substr(0, aRoute.prefix.size()) == aRoute.prefix;
    });
  return found == host->second.end() ? nullptr : &*found;
}

const Account*
Routing::FindAccount(const std::string& aKey) const
{
  const auto found = this->accountByKey.find(aKey);
  return found == this->accountByKey.end() ? nullptr : &this->accounts[found->second];
}

std::size_t
Routing::RouteCount() const
{
  std::size_t count = 0;
  for (const auto& [host, routes] : this->routesByHost) {
    count += routes.size();
  }
  return count;
}

bool
AllowedRegions::Allows(std::string_view aRegion) const
{
  return this->all || Contains(this->names, aRegion);
}

AllowedRegions
IntersectRegions(const std::vector<std::string>& aFirst, const std::vector<std::string>& aSecond)
{
  AllowedRegions allowed;
  allowed.all = aFirst.empty() && aSecond.empty();
  const std::vector<std::string>& base = aFirst.empty() ? aSecond : aFirst;
  const std::vector<std::string>& filter = aFirst.empty() ? aFirst : aSecond;
  for (const std::string& name : base) {
    if (filter.empty() || Contains(filter, name)) {
      allowed.names.push_back(name);
    }
  }
  return allowed;
}

} // namespace plantainhaven::placing
