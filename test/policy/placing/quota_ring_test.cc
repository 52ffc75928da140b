#include "plantainhaven/policy/placing/quota_ring.h"

#include <catch2/catch.hpp>

namespace plantainhaven::placing {

TEST_CASE("What other ranges leave of a range is all that they don't cover")
{
  struct Case
  {
    const char* name;
    QuotaRange range;
    QuotaRanges others;
    QuotaRanges remainder;
  };
  const Case cases[] = {
    { "none", { 10, 20 }, {}, { { 10, 20 } } },
    { "empty ranges", { 10, 20 }, { { 15, 15 }, { 0, 0 } }, { { 10, 20 } } },
    { "overlap at the end", { 0, 100 }, { { 50, 100 } }, { { 0, 50 } } },
    { "overlap in the middle", { 0, 100 }, { { 30, 50 } }, { { 0, 30 }, { 50, 100 } } },
    { "overlapping, unordered",
      { 0, 100 },
      { { 60, 80 }, { 0, 20 }, { 10, 30 } },
      { { 30, 60 }, { 80, 100 } } },
    { "fully covered", { 20, 40 }, { { 0, 100 } }, {} },
    { "adjacent ranges", { 20, 40 }, { { 0, 20 }, { 40, 60 } }, { { 20, 40 } } },
  };
  for (const Case& entry : cases) {
    CAPTURE(entry.name);
    const QuotaRanges others = Merged(entry.others);
    const QuotaRanges remainder = Without({ entry.range }, others);
    CHECK(remainder == entry.remainder);
    CHECK(Common({ entry.range }, others) == Without({ entry.range }, remainder));
    CHECK(TotalLength(Common({ entry.range }, others)) + TotalLength(remainder) ==
          entry.range.Length());
  }
}

} // namespace plantainhaven::placing
