#include "plantainhaven/policy/placing/region_mix.h"
#include "policy/placing/placing_support.h"

#include <catch2/catch.hpp>

namespace plantainhaven::placing {
namespace {

using std::chrono::milliseconds;

// Records one request every 10 ms; `aNorth` of each ten run in the north.
void
Send(RegionMix& aMix, int aNorth, milliseconds aFrom, milliseconds aUntil)
{
  for (auto at = aFrom; at < aUntil; at += milliseconds(10)) {
    aMix.OnSent(at.count() / 10 % 10 < aNorth ? "north" : "south", At(at));
  }
}

TEST_CASE("The moved fraction compares the current window with the previous one")
{
  struct Case
  {
    int previous;
    int current;
    double expected;
  };
  const Case cases[] = { { 2, 2, 0.0 }, { 2, 4, 0.2 }, { 8, 3, 0.5 }, { 10, 0, 1.0 } };
  for (const Case& entry : cases) {
    CAPTURE(entry.previous, entry.current);
    RegionMix mix;
    Send(mix, entry.previous, milliseconds(0), milliseconds(2000));
    Send(mix, entry.current, milliseconds(2000), milliseconds(4000));
    const auto moved = mix.MovedFractionWith("south", At(milliseconds(3999)));
    REQUIRE(moved);
    // A bucket of 50 ms may count in the wrong window.
    CHECK(*moved == Approx(entry.expected).margin(0.05));
  }
}

TEST_CASE("One more request shifts the distribution towards its region")
{
  RegionMix mix;
  Send(mix, 5, milliseconds(0), milliseconds(2000));
  Send(mix, 6, milliseconds(2000), milliseconds(4000));
  const BootTime now = At(milliseconds(3999));
  REQUIRE(mix.MovedFractionWith("north", now));
  CHECK(*mix.MovedFractionWith("north", now) > *mix.MovedFractionWith("south", now));
}

TEST_CASE("There is no moved fraction for too few requests or only old ones")
{
  RegionMix mix;
  Send(mix, 10, milliseconds(0), milliseconds(100));
  Send(mix, 0, milliseconds(1900), milliseconds(2000));
  CHECK_FALSE(mix.MovedFractionWith("north", At(milliseconds(2000))));
  Send(mix, 10, milliseconds(3000), milliseconds(3500));
  CHECK_FALSE(mix.MovedFractionWith("north", At(milliseconds(9000))));
}

} // namespace
} // namespace plantainhaven::placing
