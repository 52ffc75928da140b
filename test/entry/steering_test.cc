#include "plantainhaven/entry/steering.h"

#include "entry/request_fixture.h"

#include <catch2/catch.hpp>

#include <map>

using namespace plantainhaven;

TEST_CASE("without a policy the own region comes first, the others evenly, lost ones last")
{
  const bool ownLost = GENERATE(false, true);
  ConfigWriter config;
  config.AddService("s", 1000);
  for (const char* region : { "a", "b", "c" }) {
    config.AddServer(std::string("s-") + region, "s", region, "domain");
  }
  const auto tables = RequestTables::Build(config.Apply());
  const BootTime now = BootClock::Now();
  Steering steering({ "b", 5 });
  steering.Update(*tables, now);
  if (ownLost) {
    steering.OnReport("s-b", { 0, true }, now);
  }
  std::map<std::string, int> first;
  for (int i = 0; i < 1000; ++i) {
    const RegionPlan plan = steering.Plan(*tables->FindService("s"), now);
    REQUIRE(plan.regions.size() == 3);
    CHECK(plan.regions[ownLost ? 2 : 0] == "b");
    ++first[plan.regions[ownLost ? 0 : 1]];
  }
  CHECK(first["a"] + first["c"] == 1000);
  CHECK(first["a"] > 400);
  CHECK(first["c"] > 400);
}
