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

TEST_CASE("a shift reaches its target and stays")
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

TEST_CASE("in no window of the interval does a shift move more than its cap")
{
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    const double cap = 1 + static_cast<double>(random() % 30);
    const std::chrono::nanoseconds interval = milliseconds(500 + random() % 5000);
    SplitPolicy policy = PolicyOf(RandomTarget(random), cap, interval);
    std::vector<std::string> lost;
    BootTime now{};
    TrafficShift shift(RandomTarget(random), now);
    std::deque<Snapshot> window = { { now, shift.Weights() } };
    double most = 0;
    for (int i = 0; i < 300; ++i) {
      // Steps of all lengths, pauses of many intervals among them.
      const bool paused = random() % 40 == 0;
      now += paused ? interval * 20 : interval * static_cast<std::int64_t>(random() % 100) / 400;
      if (random() % 30 == 0) {
        policy.target = RandomTarget(random);
      }
      if (random() % 30 == 0) {
        lost.assign(random() % 2, std::string(1, static_cast<char>('a' + random() % 3)));
      }
      shift.Advance(policy, lost, now);
      window.push_back({ now, shift.Weights() });
      // The first entry kept is the position at the window's begin.
      while (window.size() > 1 && window[1].at <= now - interval) {
        window.pop_front();
      }
      // Directly after a pause the position before it held up to now.
      for (const Snapshot& snapshot : window) {
        most = std::max(most, PointsBetween(snapshot.weights, shift.Weights()));
      }
    }
    CHECK(most <= cap + 1e-9);
    CHECK(most > 0);
  }
}

TEST_CASE("a lost region's part moves at the cap to the others")
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
  CHECK(PointsBetween(before, shift.Weights()) == 0);
}

TEST_CASE("draws fall on regions by their weights")
{
  const TrafficShift shift({ { "a", 25 }, { "b", 0 }, { "c", 75 } }, BootTime{});
  CHECK(shift.RegionAt(0) == "a");
  CHECK(shift.RegionAt(0.2499) == "a");
  CHECK(shift.RegionAt(0.2501) == "c");
  CHECK(shift.RegionAt(0.999999) == "c");
}
