#include "plantainhaven/policy/placing/named_limit.h"

#include "policy/placing/placing_support.h"

#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <vector>

namespace plantainhaven::placing {
namespace {

using std::chrono::milliseconds;

TEST_CASE("The newest statement of a server determines its limit")
{
  struct Statement
  {
    std::optional<double> rate;
    milliseconds at;
  };
  struct Case
  {
    std::string name;
    std::vector<Statement> statements;
    std::optional<double> expected;
  };
  const Case cases[] = {
    { "never named", { { {}, milliseconds(0) } }, {} },
    { "named", { { {}, milliseconds(0) }, { 5, milliseconds(10) } }, 5 },
    { "changed", { { 5, milliseconds(0) }, { 3, milliseconds(10) } }, 3 },
    { "older statement of another VM", { { 5, milliseconds(10) }, { 3, milliseconds(0) } }, 5 },
    { "response from before the limit", { { 5, milliseconds(0) }, { {}, milliseconds(20) } }, 5 },
    { "withdrawn", { { 5, milliseconds(0) }, { {}, milliseconds(1500) } }, {} },
    { "named again meanwhile",
      { { 5, milliseconds(0) }, { 5, milliseconds(900) }, { {}, milliseconds(1500) } },
      5 },
    { "older limit after the withdrawal",
      { { 5, milliseconds(0) }, { {}, milliseconds(1500) }, { 5, milliseconds(1400) } },
      {} },
  };
  for (const Case& entry : cases) {
    CAPTURE(entry.name);
    NamedLimit limit;
    for (const Statement& statement : entry.statements) {
      limit.OnStatement(statement.rate, At(statement.at));
    }
    CHECK(limit.Rate() == entry.expected);
  }
}

TEST_CASE("Only a statement that changes the limit counts as a change")
{
  NamedLimit limit;
  CHECK(limit.OnStatement(5, At(milliseconds(0))));
  CHECK_FALSE(limit.OnStatement(5, At(milliseconds(700))));
  CHECK(limit.StatedAt() == At(milliseconds(700)));
  CHECK(limit.ChangedAt() == At(milliseconds(0)));
  CHECK(limit.OnStatement(4, At(milliseconds(800))));
  CHECK(limit.OnStatement(std::nullopt, At(milliseconds(1900))));
}

} // namespace
} // namespace plantainhaven::placing
