#include "plantainhaven/policy/placing/quota_assignment.h"

#include <catch2/catch.hpp>

namespace plantainhaven::placing {
namespace {

std::uint32_t
OwnedLength(const QuotaAssignment& aAssignment)
{
  std::uint32_t sum = 0;
  for (const auto& [vm, ranges] : aAssignment.Owners()) {
    sum += TotalLength(ranges);
  }
  return sum;
}

} // namespace

TEST_CASE("The whole quota is shared once and keeps its sum")
{
  QuotaAssignment assignment = QuotaAssignment::Whole("a");
  const QuotaRanges given = assignment.Share("a", { "a", "b", "c", "d" }, 4);
  CHECK(TotalLength(given) == kQuotaRingSize / 4 * 3);
  for (const char* vm : { "a", "b", "c", "d" }) {
    CAPTURE(vm);
    CHECK(assignment.LengthOf(vm) == kQuotaRingSize / 4);
  }
  CHECK(OwnedLength(assignment) == kQuotaRingSize);
  CHECK(assignment.Unowned().empty());
  CHECK(assignment.Share("a", { "a", "b", "c", "d" }, 4).empty());
}

// With 90 VMs a single write for all of them exceeded the store's size limit, so no VM got its
// share of the quota and nearly every request with a key was rejected.
TEST_CASE("Many VMs get their quotas in several writes")
{
  QuotaAssignment assignment = QuotaAssignment::Whole("a");
  std::vector<std::string> vms{ "a" };
  for (int i = 0; i < 89; ++i) {
    vms.push_back("vm-" + std::to_string(i));
  }
  std::size_t writes = 0;
  for (; writes * 49 < 89; ++writes) {
    const auto first = vms.begin() + 1 + static_cast<std::ptrdiff_t>(writes * 49);
    const std::vector<std::string> receivers(
      first, std::min(first + 49, vms.begin() + static_cast<std::ptrdiff_t>(vms.size())));
    CHECK(!assignment.Share("a", receivers, vms.size()).empty());
    CHECK(assignment.Owners().size() <= 49 * (writes + 1) + 1);
    CHECK(OwnedLength(assignment) == kQuotaRingSize);
  }
  CHECK(writes == 2);
  for (const std::string& vm : vms) {
    CAPTURE(vm);
    CHECK(assignment.LengthOf(vm) >= kQuotaRingSize / 90);
    CHECK(assignment.RangesOf(vm).size() == 1);
  }
  CHECK(OwnedLength(assignment) == kQuotaRingSize);
  CHECK(assignment.Unowned().empty());
}

TEST_CASE("A VM without much more than an equal part gives no quota away")
{
  struct Case
  {
    std::string name;
    std::vector<std::string> owners;
    std::vector<std::string> vms;
  };
  const Case cases[] = {
    { "one joins four", { "a", "b", "c", "d" }, { "a", "b", "c", "d", "e" } },
    { "alone", { "a" }, { "a" } },
    { "not an owner", { "b" }, { "a", "b", "c" } },
  };
  for (const Case& entry : cases) {
    CAPTURE(entry.name);
    QuotaAssignment assignment;
    assignment.Distribute({ { 0, kQuotaRingSize } }, entry.owners);
    const QuotaAssignment before = assignment;
    CHECK(assignment.Share("a", entry.vms, entry.vms.size()).empty());
    CHECK(assignment == before);
  }
}

TEST_CASE("What a VM leaves goes to those that own least")
{
  struct Case
  {
    const char* name;
    QuotaRanges left;
    std::vector<std::string> heirs;
    std::vector<std::uint32_t> lengths;
  };
  // VM a owns 100,000, VM b 400,000, VM c nothing.
  const Case cases[] = {
    { "one heir", { { 500000, 1000000 } }, { "a" }, { 600000 } },
    { "the one with nothing",
      { { 500000, 800000 } },
      { "a", "b", "c" },
      { 100000, 400000, 300000 } },
    { "two ranges", { { 500000, 600000 }, { 700000, 900000 } }, { "a", "c" }, { 300000, 100000 } },
    { "a range larger than two equal parts",
      { { 500000, 1000000 } },
      { "a", "b", "c", "d", "e" },
      { 100000, 400000, 200000, 300000, 0 } },
  };
  for (const Case& entry : cases) {
    CAPTURE(entry.name);
    QuotaAssignment assignment;
    assignment.Assign({ { 0, 100000 } }, "a");
    assignment.Assign({ { 100000, 500000 } }, "b");
    const std::uint32_t before = OwnedLength(assignment);
    assignment.Distribute(entry.left, entry.heirs);
    CHECK(OwnedLength(assignment) == before + TotalLength(entry.left));
    for (std::size_t i = 0; i < entry.heirs.size(); ++i) {
      CAPTURE(entry.heirs[i]);
      CHECK(assignment.LengthOf(entry.heirs[i]) == entry.lengths[i]);
    }
  }
}

TEST_CASE("Adjacent ranges of one owner are merged")
{
  QuotaAssignment assignment;
  assignment.Assign({ { 0, 10 }, { 20, 30 } }, "a");
  assignment.Assign({ { 10, 20 } }, "a");
  CHECK(assignment.RangesOf("a") == QuotaRanges{ { 0, 30 } });
  assignment.Assign({ { 5, 7 } }, "b");
  CHECK(assignment.RangesOf("a") == QuotaRanges{ { 0, 5 }, { 7, 30 } });
  CHECK(assignment.Unowned() == QuotaRanges{ { 30, kQuotaRingSize } });
}

} // namespace plantainhaven::placing
