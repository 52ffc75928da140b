#include "plantainhaven/policy/placing/stop_schedule.h"

#include <catch2/catch.hpp>

namespace plantainhaven::placing {
namespace {

using std::chrono::milliseconds;

const BootTime kEarliest(std::chrono::seconds(1000));

milliseconds
SinceEarliest(BootTime aTime)
{
  return std::chrono::duration_cast<milliseconds>(aTime - kEarliest);
}

TEST_CASE("Times of a planned stop, from the earliest time of the signal")
{
  struct Case
  {
    const char* name;
    milliseconds seenAfter;
    milliseconds grace;
    milliseconds acceptUntil;
    milliseconds endAt;
  };
  const Case cases[] = {
    { "seen at once", milliseconds(0), milliseconds(6000), milliseconds(3000), milliseconds(5400) },
    { "seen late", milliseconds(300), milliseconds(6000), milliseconds(3000), milliseconds(5400) },
    { "a break-off before the last sixth could be a loss",
      milliseconds(600),
      milliseconds(6000),
      milliseconds(3000),
      milliseconds(5600) },
    { "seen so late that the process would be killed first",
      milliseconds(2000),
      milliseconds(6000),
      milliseconds(3000),
      milliseconds(5650) },
    { "short grace", milliseconds(0), milliseconds(4000), milliseconds(2000), milliseconds(3400) },
    { "long grace", milliseconds(0), milliseconds(30000), milliseconds(3000), milliseconds(29400) },
  };
  for (const Case& entry : cases) {
    CAPTURE(entry.name);
    const StopSchedule schedule({ kEarliest, kEarliest + entry.seenAfter }, entry.grace);
    CHECK(SinceEarliest(schedule.AcceptUntil()) == entry.acceptUntil);
    CHECK(SinceEarliest(schedule.EndAt()) == entry.endAt);
    CHECK(schedule.EndAt() <= schedule.EndBufferedAt());
    CHECK(schedule.EndBufferedAt() < schedule.ExitAt());
    CHECK(schedule.ExitAt() < kEarliest + entry.grace);
  }
}

TEST_CASE(
  "A request fits into the rest of the grace period if its server can answer before the end")
{
  struct Case
  {
    milliseconds at;
    milliseconds time;
    bool fits;
  };
  const Case cases[] = {
    { milliseconds(0), milliseconds(5400), true },
    { milliseconds(0), milliseconds(5401), false },
    { milliseconds(2900), milliseconds(2500), true },
    { milliseconds(2900), milliseconds(5600), false },
    { milliseconds(5399), milliseconds(1), true },
    { milliseconds(5400), milliseconds(1), false },
  };
  const StopSchedule schedule({ kEarliest, kEarliest }, milliseconds(6000));
  for (const Case& entry : cases) {
    CAPTURE(entry.at.count(), entry.time.count());
    CHECK(schedule.Fits(entry.time, kEarliest + entry.at) == entry.fits);
  }
}

} // namespace
} // namespace plantainhaven::placing
