#include "plantainhaven/policy/placing/caller_directory.h"
#include "plantainhaven/policy/placing/retry_token_bucket.h"
#include "plantainhaven/policy/placing/routing.h"

#include <catch2/catch.hpp>

namespace plantainhaven::placing {
namespace {

TEST_CASE("Callers are directed to the VMs of their region, those of their domain first")
{
  const std::vector<EntryVm> vms{ { "1", "a:1", "north", "north-b" },
                                  { "2", "a:2", "north", "north-a" },
                                  { "3", "a:3", "south", "south-a" } };
  struct Case
  {
    std::string region;
    std::string domain;
    std::size_t most;
    std::vector<std::string> expected;
  };
  const Case cases[] = {
    { "north", "north-a", 64, { "a:2", "a:1" } },
    { "south", "south-b", 64, { "a:3" } },
    { "west", "west-a", 64, { "a:1", "a:2", "a:3" } },
    { "north", "north-b", 1, { "a:1" } },
  };
  for (const Case& entry : cases) {
    CAPTURE(entry.region, entry.domain);
    CHECK(AddressesFor(vms, entry.region, entry.domain, entry.most) == entry.expected);
  }
  CHECK(AddressesFor({}, "north", "north-a", 64).empty());
}

// With a fixed fraction of the slack for each VM, 25 or more VMs together exceeded the slack.
TEST_CASE("The retry budgets of all VMs together stay within the fleet's slack")
{
  struct Case
  {
    double slack;
    std::size_t vms;
  };
  const Case cases[] = {
    { 60, 1 }, { 60, 10 }, { 62, 25 }, { 164, 62 }, { 220, 90 }, { 300, 300 }
  };
  for (const Case& entry : cases) {
    CAPTURE(entry.slack, entry.vms);
    CHECK(RetryBurst(entry.slack, entry.vms) * static_cast<double>(entry.vms) <= entry.slack);
    CHECK(RetryBurst(entry.slack, entry.vms) >= 1.0);
  }
}

TEST_CASE("Retries stay below their fraction of the first attempts")
{
  RetryTokenBucket allowance(0.2, 2);
  CHECK_FALSE(allowance.TryAcquire());
  int repeats = 0;
  for (int i = 0; i < 100; ++i) {
    allowance.OnFirstAttempt();
    repeats += allowance.TryAcquire() ? 1 : 0;
  }
  CHECK(repeats <= 20);
  CHECK(repeats >= 19);
}

TEST_CASE("The longest prefix of a host selects the route")
{
  Routing routing;
  for (const char* prefix : { "/", "/a/", "/a/b/" }) {
    Route route;
    route.name = prefix;
    route.prefix = prefix;
    routing.AddRoute("shop.example", route);
  }
  struct Case
  {
    std::string host;
    std::string path;
    std::string expected;
  };
  const Case cases[] = {
    { "shop.example", "/a/b/c", "/a/b/" },
    { "shop.example", "/a/x", "/a/" },
    { "shop.example", "/a", "/" },
    { "other.example", "/a/b/", "" },
  };
  for (const Case& entry : cases) {
    CAPTURE(entry.host, entry.path);
    const Route* const route = routing.FindRoute(entry.host, entry.path);
    CHECK((route == nullptr ? std::string() : route->name) == entry.expected);
  }
}

TEST_CASE("A key belongs to one account")
{
  Routing routing;
  routing.accounts.resize(2);
  routing.accounts[1].name = "second";
  CHECK(routing.AddKey("k", 1));
  CHECK(routing.AddKey("k", 1));
  CHECK_FALSE(routing.AddKey("k", 0));
  CHECK(routing.FindAccount("k")->name == "second");
  CHECK(routing.FindAccount("other") == nullptr);
}

TEST_CASE("Callers are sent to VMs with a path to backend servers while enough have one")
{
  struct Case
  {
    std::string name;
    std::vector<bool> hasPath;
    std::vector<std::string> named;
  };
  const Case cases[] = {
    { "all", { true, true, true, true }, { "a:1", "a:2", "a:3", "a:4" } },
    { "one without", { true, false, true, true }, { "a:1", "a:3", "a:4" } },
    { "half without", { false, true, false, true }, { "a:2", "a:4" } },
    { "most without", { false, false, false, true }, { "a:4", "a:1" } },
    { "none with a path", { false, false, false, false }, { "a:1", "a:2", "a:3", "a:4" } },
  };
  for (const Case& entry : cases) {
    CAPTURE(entry.name);
    std::vector<EntryVm> vms;
    for (std::size_t i = 0; i < entry.hasPath.size(); ++i) {
      const std::string name = std::to_string(i + 1);
      vms.push_back({ name, "a:" + name, "north", "north-a", entry.hasPath[i] });
    }
    CHECK(AddressesFor(vms, "north", "north-a", 64) == entry.named);
  }
}

} // namespace
} // namespace plantainhaven::placing
