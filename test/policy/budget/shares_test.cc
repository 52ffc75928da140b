#include "plantainhaven/policy/budget/specs.h"

#include <catch2/catch.hpp>

#include <algorithm>

namespace plantainhaven {

namespace {

std::vector<BudgetMember>
Fleet(int aCount)
{
  std::vector<BudgetMember> members;
  members.reserve(static_cast<std::size_t>(aCount));
  for (int i = 0; i < aCount; ++i) {
    members.push_back(BudgetMember{ "vm" + std::to_string(i), "", "", 1, false });
  }
  return members;
}

} // namespace

TEST_CASE("Shares sum exactly to the budget and don't depend on the order of members")
{
  const std::array specs{
    AccountBudget("tiny", 0.01, 1),
    AccountBudget("small", 7, 5),
    AccountBudget("odd", 333.333, 101.7),
    AccountBudget("largest", 1e6, 1e6),
    RegionSlotsBudget("trainee-portal", "kochi", 63, std::chrono::seconds(10)),
    RegionSlotsBudget("depot-desk", "sohar", 1, std::chrono::seconds(10)),
    ServerConnectionsBudget("server-1", 360, std::chrono::seconds(10)),
    LinkBudget("kochi", "trivandrum", 1e7),
  };
  for (const BudgetSpec& spec : specs) {
    for (const int count : { 1, 2, 11, 66, 740 }) {
      for (const std::int64_t floor : { 0, 333, 750, 1000 }) {
        CAPTURE(spec.id.name, count, floor);
        std::vector<BudgetMember> members = Fleet(count);
        std::vector<BudgetMember> reversed(members.rbegin(), members.rend());
        Share sum;
        bool fractions = false;
        bool negative = false;
        bool sameInReverse = true;
        const std::size_t checked = count > 100 ? 3 : members.size();
        for (std::size_t i = 0; i < members.size(); ++i) {
          const Share share = ShareOf(spec, members, members[i].name, floor);
          sum.ratePerSecond += share.ratePerSecond;
          sum.capacity += share.capacity;
          negative = negative || share.ratePerSecond < 0 || share.capacity < 0;
          fractions = fractions || share.capacity % kOneToken != 0;
          sameInReverse =
            sameInReverse &&
            (i >= checked || share == ShareOf(spec, reversed, members[i].name, floor));
        }
        CHECK(sum == Share{ spec.ratePerSecond, spec.capacity });
        CHECK_FALSE(negative);
        CHECK(sameInReverse);
        CHECK_FALSE((IsConcurrency(spec.id.type) && fractions));
      }
    }
  }
}

TEST_CASE("A leaving member is home only when all are leaving, and only members have a share")
{
  const BudgetSpec spec = AccountBudget("account", 10, 3);
  std::vector<BudgetMember> members = Fleet(5);
  for (std::size_t left = members.size(); left > 1; --left) {
    const std::size_t home = HoldersOf(spec, members).front();
    CHECK_FALSE(members[home].leaving);
    members[home].leaving = true;
  }
  for (BudgetMember& member : members) {
    member.leaving = true;
  }
  CHECK(HoldersOf(spec, members).size() == 1);
  CHECK(ShareOf(spec, members, "stranger") == Share{});
  CHECK(ShareOf(spec, {}, "vm0") == Share{});
}

} // namespace plantainhaven
