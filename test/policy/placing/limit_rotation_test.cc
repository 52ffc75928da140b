#include "plantainhaven/policy/placing/limit_rotation.h"

#include "policy/placing/placing_support.h"

#include <catch2/catch.hpp>
#include <set>
#include <vector>

namespace plantainhaven::placing {
namespace {

using std::chrono::seconds;

TEST_CASE("Each report holds the changed limits, and all others come in turn")
{
  const std::size_t kCounts[] = { 0, 5, LimitRotation::kMaxOthers, 100 };
  for (const std::size_t count : kCounts) {
    CAPTURE(count);
    std::vector<KnownLimit> known;
    for (std::uint64_t i = 0; i < count; ++i) {
      known.push_back({ i, 2.0, At(seconds(20)), At(seconds(0)) });
    }
    known.push_back({ 1000, 3.0, At(seconds(20)), At(seconds(19)) });
    LimitRotation rotation;
    std::set<std::uint64_t> told;
    for (std::size_t report = 0; report * LimitRotation::kMaxOthers < count + 1; ++report) {
      const auto selected = rotation.Next(known, At(seconds(20)));
      REQUIRE(selected.size() <= LimitRotation::kMaxOthers + 1);
      CHECK(selected.front().server == 1000);
      for (const KnownLimit& limit : selected) {
        told.insert(limit.server);
      }
    }
    CHECK(told.size() == count + 1);
  }
}

} // namespace
} // namespace plantainhaven::placing
