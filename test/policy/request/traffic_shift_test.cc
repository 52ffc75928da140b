#include "plantainhaven/policy/request/traffic_shift.h"

#include <catch2/catch.hpp>

#include <deque>
#include <random>

using namespace plantainhaven;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct Snapshot
{
  BootTime at;
  std::vector<RegionWeight> weights;
};

SplitPolicy
PolicyOf(std::vector<RegionWeight> aTarget, double aCap, std::chrono::nanoseconds aInterval)
{
  return { std::move(aTarget), aCap, aInterval };
}

double
PercentOf(const TrafficShift& aShift, const std::string& aRegion)
{
  for (const RegionWeight& weight : aShift.Weights()) {
    if (weight.region == aRegion) {
      return weight.percent;
    }
  }
  return 0;
}

std::vector<RegionWeight>
RandomTarget(std::mt19937_64& aRandom)
{
  const double first = static_cast<double>(aRandom() % 101);
  const double second = static_cast<double>(aRandom() % 101) * (100 - first) / 100;
  return { { "a", first }, { "b", second }, { "c", 100 - first - second } };
}

} // namespace

TEST_CASE("a shift reaches its target and stays there")
{
  TrafficShift shift({ { "a", 100 } }, BootTime{});
  const SplitPolicy policy = PolicyOf({ { "a", 20 }, { "b", 80 } }, 10, seconds(1));
  BootTime now{};
  for (int i = 0; i < 1000; ++i) {
    now += milliseconds(50);
    shift.Advance(policy, {}, now);
  }
  CHECK(PercentOf(shift, "a") == Approx(20));
  CHECK(PercentOf(shift, "b") == Approx(80));
}

TEST_CASE("a shift moves at most its cap in any window as long as the interval")
{
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    const double cap = 1 + static_cast<double>(random() % 30);
    const std::chrono::nanoseconds interval = milliseconds(500 + random() % 5000);
    SplitPolicy policy = PolicyOf(RandomTarget(random), cap, interval);
    std::vector<std::string> unavailable;
    BootTime now{};
    TrafficShift shift(RandomTarget(random), now);
    std::deque<Snapshot> window = { { now, shift.Weights() } };
    double maxMoved = 0;
    for (int i = 0; i < 300; ++i) {
      // Random steps, including pauses of 20 intervals.
      const bool paused = random() % 40 == 0;
      now += paused ? interval * 20 : interval * static_cast<std::int64_t>(random() % 100) / 400;
      if (random() % 30 == 0) {
        policy.target = RandomTarget(random);
      }
      if (random() % 30 == 0) {
        unavailable.assign(random() % 2, std::string(1, static_cast<char>('a' + random() % 3)));
      }
      shift.Advance(policy, unavailable, now);
      window.push_back({ now, shift.Weights() });
      // The first remaining entry is the split at the start of the window.
      while (window.size() > 1 && window[1].at <= now - interval) {
        window.pop_front();
      }
      // After a pause, the split from before it was in effect until now.
      for (const Snapshot& snapshot : window) {
        maxMoved = std::max(maxMoved, SplitDistance(snapshot.weights, shift.Weights()));
      }
    }
    CHECK(maxMoved <= cap + 1e-9);
    CHECK(maxMoved > 0);
  }
}

TEST_CASE("the share of an unavailable region moves to the others at the cap")
{
  TrafficShift shift({ { "a", 50 }, { "b", 25 }, { "c", 25 } }, BootTime{});
  const SplitPolicy policy = PolicyOf({ { "a", 50 }, { "b", 25 }, { "c", 25 } }, 10, seconds(1));
  BootTime now{};
  for (int i = 0; i < 40; ++i) {
    now += milliseconds(25);
    shift.Advance(policy, { "a" }, now);
  }
  CHECK(PercentOf(shift, "a") == Approx(50 - 10 / 1.1));
  CHECK(PercentOf(shift, "b") == Approx(PercentOf(shift, "c")));

  const std::vector<RegionWeight> before = shift.Weights();
  shift.Advance(policy, { "a", "b", "c" }, now + milliseconds(100));
  CHECK(SplitDistance(before, shift.Weights()) == 0);
}

TEST_CASE("regions are picked in proportion to their weights")
{
  const TrafficShift shift({ { "a", 25 }, { "b", 0 }, { "c", 75 } }, BootTime{});
  CHECK(shift.PickRegion(0) == "a");
  CHECK(shift.PickRegion(0.2499) == "a");
  CHECK(shift.PickRegion(0.2501) == "c");
  CHECK(shift.PickRegion(0.999999) == "c");
}
