#include "plantainhaven/policy/placing/caller_directory.h"
#include "plantainhaven/policy/placing/quota_ring.h"
#include "plantainhaven/policy/placing/retry_token_bucket.h"
#include "plantainhaven/policy/placing/routing.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <numeric>

namespace plantainhaven::placing {
namespace {

constexpr QuotaRange kWhole{ 0, kQuotaRingSize };

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

TEST_CASE("The whole quota is split once and keeps its sum")
{
  std::vector<VmQuota> parts{ { "a", kWhole }, { "b", {} }, { "c", {} }, { "d", {} } };
  const auto shared = SplitQuota(parts, "a", 90);
  REQUIRE(shared);
  CHECK(shared->size() == 4);
  CHECK(shared->front().vm == "a");
  std::uint32_t sum = 0;
  for (const VmQuota& part : *shared) {
    CHECK(part.range.Length() == kQuotaRingSize / 4);
    sum += part.range.Length();
  }
  CHECK(sum == kQuotaRingSize);
}

// With 90 VMs a single write for all of them exceeded the store's size limit, so no VM got its
// share of the quota and nearly every request with a key was rejected.
TEST_CASE("Many VMs get their quotas in several writes")
{
  std::vector<VmQuota> parts{ { "a", kWhole } };
  for (int i = 0; i < 89; ++i) {
    parts.push_back({ "vm-" + std::to_string(i), {} });
  }
  int writes = 0;
  while (const auto shared = SplitQuota(parts, "a", 49)) {
    REQUIRE(++writes <= 2);
    CHECK(shared->size() <= 50);
    for (const VmQuota& changed : *shared) {
      const auto part = std::find_if(
        parts.begin(), parts.end(), [&](const VmQuota& aPart) { return aPart.vm == changed.vm; });
      part->range = changed.range;
    }
  }
  std::uint32_t sum = 0;
  for (const VmQuota& part : parts) {
    CHECK(part.range.Length() > 0);
    sum += part.range.Length();
    for (const VmQuota& other : parts) {
      CHECK((other.vm == part.vm || !other.range.Contains(part.range.begin)));
    }
  }
  CHECK(sum == kQuotaRingSize);
}

TEST_CASE("A VM with less than two equal shares gives no quota away")
{
  struct Case
  {
    std::string name;
    std::vector<VmQuota> parts;
  };
  const Case cases[] = {
    { "one joins four",
      { { "a", { 0, 250000 } },
        { "b", { 250000, 500000 } },
        { "c", { 500000, 750000 } },
        { "d", { 750000, 1000000 } },
        { "e", {} } } },
    { "alone", { { "a", kWhole } } },
    { "not listed", { { "b", kWhole }, { "c", {} } } },
  };
  for (const Case& entry : cases) {
    CAPTURE(entry.name);
    CHECK_FALSE(SplitQuota(entry.parts, "a", 90));
  }
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
