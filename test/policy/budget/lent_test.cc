#include "policy/budget/lent.h"

#include <catch2/catch.hpp>

namespace plantainhaven {

namespace {

constexpr BootTime kUntil{ std::chrono::seconds(10) };

struct Report
{
  TokenThousandths spent;
  TokenThousandths returned;
  // The expected amount that the lender may add to its tokens, and the expected amount
  // outstanding afterwards.
  TokenThousandths gained;
  TokenThousandths outstanding;
};

struct ReportsCase
{
  const char* name;
  std::vector<Report> reports;
};

} // namespace

TEST_CASE("Reports on a grant hold totals, so duplicate and reordered reports change nothing")
{
  const std::array cases{
    ReportsCase{ "in order", { { 1000, 0, 0, 4000 }, { 1000, 2000, 2000, 2000 } } },
    ReportsCase{ "duplicated", { { 1000, 2000, 2000, 2000 }, { 1000, 2000, 0, 2000 } } },
    ReportsCase{ "reordered", { { 2000, 1000, 1000, 2000 }, { 1000, 0, 0, 2000 } } },
    ReportsCase{ "closed, then duplicated", { { 2000, 3000, 3000, 0 }, { 2000, 3000, 0, 0 } } },
    ReportsCase{ "more than was lent", { { 4000, 2000, 0, 5000 } } },
    ReportsCase{ "negative", { { -1, 0, 0, 5000 }, { 0, -1, 0, 5000 } } },
  };
  for (const ReportsCase& reportsCase : cases) {
    INFO(reportsCase.name);
    LentGrants lent;
    lent.Add(7, "borrower", 1, 5000, kUntil);
    CHECK(lent.RecordUsage(7, "stranger", 0, 5000) == 0);
    CHECK(lent.RecordUsage(8, "borrower", 0, 5000) == 0);
    for (const Report& report : reportsCase.reports) {
      CHECK(lent.RecordUsage(7, "borrower", report.spent, report.returned) == report.gained);
      CHECK(lent.Outstanding() == report.outstanding);
    }
    lent.Expire(kUntil);
    CHECK(lent.Outstanding() == 0);
    CHECK(lent.RecordUsage(7, "borrower", 5000, 0) == 0);
  }
}

} // namespace plantainhaven
