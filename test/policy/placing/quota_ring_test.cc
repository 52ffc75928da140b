#include "plantainhaven/policy/placing/quota_ring.h"

#include <catch2/catch.hpp>

namespace plantainhaven::placing {

TEST_CASE("A range without others is their longest gap")
{
  struct Case
  {
    const char* name;
    QuotaRange range;
    std::vector<QuotaRange> others;
    QuotaRange left;
  };
  const Case cases[] = {
    { "none", { 10, 20 }, {}, { 10, 20 } },
    { "empty ones", { 10, 20 }, { { 15, 15 }, { 0, 0 } }, { 10, 20 } },
    { "the end", { 0, 100 }, { { 50, 100 } }, { 0, 50 } },
    { "the middle", { 0, 100 }, { { 30, 50 } }, { 50, 100 } },
    { "overlapping, unordered", { 0, 100 }, { { 60, 80 }, { 0, 20 }, { 10, 30 } }, { 30, 60 } },
    { "all of it", { 20, 40 }, { { 0, 100 } }, {} },
    { "beside it", { 20, 40 }, { { 0, 20 }, { 40, 60 } }, { 20, 40 } },
  };
  for (const Case& entry : cases) {
    CAPTURE(entry.name);
    CHECK(LongestRemainder(entry.range, entry.others) == entry.left);
  }
}

} // namespace plantainhaven::placing
