#include "plantainhaven/policy/placing/object_load.h"

#include "policy/placing/placing_support.h"

#include <catch2/catch.hpp>

namespace plantainhaven::placing {
namespace {

using std::chrono::milliseconds;

} // namespace

TEST_CASE("The number of servers that share an object depends on its load")
{
  struct Case
  {
    double rate;
    milliseconds time;
    double slots;
    std::size_t owners;
  };
  const Case cases[] = {
    { 0, milliseconds(100), 9, 1 },    { 10, milliseconds(100), 9, 1 },
    { 44, milliseconds(100), 9, 1 },   { 46, milliseconds(100), 9, 2 },
    { 100, milliseconds(100), 9, 3 },  { 100, milliseconds(0), 9, 1 },
    { 10, milliseconds(1000), 1, 11 },
  };
  for (const Case& entry : cases) {
    CAPTURE(entry.rate, entry.time.count(), entry.slots);
    CHECK(OwnersFor(entry.rate, entry.time, entry.slots) == entry.owners);
  }
}

TEST_CASE("An object's rate is measured and decays")
{
  ObjectLoad load;
  CHECK(load.RateOf(1, At(milliseconds(0))) == 0);
  for (int i = 0; i < 200; ++i) {
    load.OnRequest(1, At(milliseconds(100 * i)));
  }
  CHECK(load.RateOf(1, At(milliseconds(20000))) == Approx(10).epsilon(0.1));
  CHECK(load.RateOf(1, At(milliseconds(40000))) < 0.1);
}

TEST_CASE("The number of tracked objects is bounded")
{
  ObjectLoad load;
  for (std::uint64_t object = 0; object < 100000; ++object) {
    load.OnRequest(object, At(milliseconds(object / 100)));
    CHECK(load.Size() <= 4096);
  }
}

} // namespace plantainhaven::placing
