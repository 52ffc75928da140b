#include "plantainhaven/policy/placing/region_plan.h"

#include <catch2/catch.hpp>
#include <numeric>

namespace plantainhaven::placing {
namespace {

double
FractionOf(const std::vector<RegionShare>& aShares, const std::string& aRegion)
{
  for (const RegionShare& share : aShares) {
    if (share.region == aRegion) {
      return share.fraction;
    }
  }
  return 0;
}

double
SumOf(const std::vector<RegionShare>& aShares)
{
  return std::accumulate(
    aShares.begin(), aShares.end(), 0.0, [](double aSum, const RegionShare& aShare) {
      return aSum + aShare.fraction;
    });
}

TEST_CASE("A plan keeps requests in the home region while it has free slots")
{
  struct Case
  {
    std::string name;
    std::vector<RegionState> regions;
    double home;
    double east;
    double west;
  };
  const Case cases[] = {
    { "free slots at home",
      { { "east", 90, 10 }, { "home", 90, 50 }, { "west", 90, 10 } },
      1,
      0,
      0 },
    { "no servers at home",
      { { "east", 90, 0 }, { "home", 0, 10 }, { "west", 30, 0 } },
      0,
      0.75,
      0.25 },
    { "small home", { { "east", 100, 0 }, { "home", 20, 24 }, { "west", 100, 60 } }, 0.5, 0.5, 0 },
    { "all regions full", { { "east", 10, 20 }, { "home", 10, 20 }, { "west", 10, 20 } }, 1, 0, 0 },
    { "no servers at all", { { "east", 0, 5 }, { "home", 0, 5 }, { "west", 0, 5 } }, 1, 0, 0 },
  };
  for (const Case& entry : cases) {
    CAPTURE(entry.name);
    const auto plan = PlanRegions(entry.regions, "home");
    CHECK(FractionOf(plan, "home") == Approx(entry.home));
    CHECK(FractionOf(plan, "east") == Approx(entry.east));
    CHECK(FractionOf(plan, "west") == Approx(entry.west));
    CHECK(SumOf(plan) == Approx(1.0));
  }
}

TEST_CASE("A step moves at most the given fraction of the requests")
{
  std::vector<RegionShare> plan{ { "home", 1.0 } };
  const std::vector<RegionShare> target{ { "home", 0.2 }, { "east", 0.5 }, { "west", 0.3 } };
  for (int step = 1; step <= 40; ++step) {
    const auto next = StepTowards(plan, target, 0.02);
    const double moved = FractionOf(plan, "home") - FractionOf(next, "home");
    CAPTURE(step);
    CHECK(moved <= 0.02 + 1e-9);
    CHECK(SumOf(next) == Approx(1.0));
    plan = next;
  }
  CHECK(FractionOf(plan, "home") == Approx(0.2));
}

TEST_CASE("The first plan is adopted without steps")
{
  const std::vector<RegionShare> target{ { "home", 0.4 }, { "east", 0.6 } };
  CHECK(StepTowards({}, target, 0.02) == target);
}

TEST_CASE("A small change of the plan moves few objects to another region")
{
  const std::vector<RegionShare> before{ { "home", 0.5 }, { "east", 0.5 } };
  const std::vector<RegionShare> after{ { "home", 0.48 }, { "east", 0.52 } };
  int moved = 0;
  for (int i = 0; i < 1000; ++i) {
    const double position = i / 1000.0;
    moved += RegionAt(before, position) != RegionAt(after, position) ? 1 : 0;
  }
  CHECK(moved == 20);
}

} // namespace
} // namespace plantainhaven::placing
