#include "plantainhaven/common/log_sampler.h"

#include <catch2/catch.hpp>

namespace plantainhaven {
namespace {

using std::chrono::milliseconds;

BootTime
At(milliseconds aTime)
{
  return BootTime{} + std::chrono::hours(1) + aTime;
}

TEST_CASE("Lines of an event beyond the limit are suppressed and counted")
{
  LogSampler sampler(3);
  int written = 0;
  for (int i = 0; i < 10; ++i) {
    written += sampler.CheckLimit("refused", At(milliseconds(i))).shouldWrite ? 1 : 0;
  }
  CHECK(written == 3);
  SECTION("another event has its own limit")
  {
    CHECK(sampler.CheckLimit("peer", At(milliseconds(11))).shouldWrite);
  }
  SECTION("the next line reports the count once")
  {
    const auto next = sampler.CheckLimit("refused", At(milliseconds(1000)));
    CHECK(next.shouldWrite);
    CHECK(next.suppressed == 7);
    CHECK(sampler.CheckLimit("refused", At(milliseconds(1001))).suppressed == 0);
    CHECK(sampler.TakeSuppressedCounts().empty());
  }
  SECTION("counts that no line has reported can be taken")
  {
    const auto counts = sampler.TakeSuppressedCounts();
    REQUIRE(counts.size() == 1);
    CHECK(counts.at("refused") == 7);
    CHECK(sampler.TakeSuppressedCounts().empty());
  }
}

TEST_CASE("All lines of an event below the limit are written")
{
  LogSampler sampler(3);
  for (int i = 0; i < 100; ++i) {
    CHECK(sampler.CheckLimit("configuration", At(milliseconds(400 * i))).shouldWrite);
  }
}

} // namespace
} // namespace plantainhaven
