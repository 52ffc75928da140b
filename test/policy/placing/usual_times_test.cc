#include "plantainhaven/policy/placing/usual_times.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <random>
#include <string>

namespace plantainhaven::placing {
namespace {

using std::chrono::milliseconds;

TEST_CASE("The usual time of a route is one that few of its requests exceed")
{
  struct Case
  {
    const char* name;
    double median;
    // Standard deviation of the logarithm.
    double spread;
  };
  const Case cases[] = { { "constant", 1440, 0 }, { "narrow", 360, 0.2 }, { "wide", 480, 0.6 } };
  for (const Case& entry : cases) {
    CAPTURE(entry.name);
    std::mt19937_64 random(7);
    std::lognormal_distribution<double> draw(std::log(entry.median), entry.spread);
    UsualTimes times;
    int exceeded = 0;
    constexpr int kRequests = 2000;
    for (int i = 0; i < kRequests; ++i) {
      const milliseconds took(std::llround(draw(random)));
      exceeded += times.Of("read") && took > *times.Of("read") ? 1 : 0;
      times.OnAnswered("read", took);
    }
    CHECK(exceeded < kRequests / 8);
    CHECK(times.Of("read")->count() < entry.median * 5);
  }
}

TEST_CASE("Routes have usual times of their own, and none before their first answer")
{
  UsualTimes times;
  CHECK_FALSE(times.Of("read"));
  times.OnAnswered("read", milliseconds(100));
  times.OnAnswered("book", milliseconds(900));
  CHECK(times.Of("read") >= milliseconds(100));
  CHECK(times.Of("read") < milliseconds(900));
  CHECK(times.Of("book") >= milliseconds(900));
  CHECK_FALSE(times.Of("list"));
}

TEST_CASE("The number of routes that are kept is bounded, and the newest is among them")
{
  UsualTimes times;
  for (std::size_t i = 0; i <= UsualTimes::kMaxRoutes; ++i) {
    times.OnAnswered("route-" + std::to_string(i), milliseconds(5));
  }
  CHECK(times.Of("route-" + std::to_string(UsualTimes::kMaxRoutes)));
  CHECK_FALSE(times.Of("route-0"));
}

} // namespace
} // namespace plantainhaven::placing
