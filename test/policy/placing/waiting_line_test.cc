#include "plantainhaven/policy/placing/waiting_line.h"
#include "policy/placing/placing_support.h"

#include <catch2/catch.hpp>

namespace plantainhaven::placing {
namespace {

using std::chrono::milliseconds;

Waiter
MakeWaiter(std::uint64_t aId, int aPriority, milliseconds aArrival, milliseconds aObjective)
{
  return { .id = aId,
           .priority = aPriority,
           .arrivedAt = At(aArrival),
           .objectiveAt = At(aObjective),
           .latestStart = At(std::chrono::seconds(10)),
           .regions = {} };
}

// A hot account's requests were bound to the smallest region; their wait was reckoned by the
// completions of all regions, so that they waited in vain.
TEST_CASE("What is bound to a region waits by the completions there")
{
  WaitingLine line;
  const BootTime now = At(milliseconds(0));
  Waiter bound = MakeWaiter(0, 1, milliseconds(0), milliseconds(0));
  bound.latestStart = now + milliseconds(500);
  bound.regions = { "north" };
  // The group is known from its first waiter on.
  line.Join(bound, now);
  line.Leave(0);
  for (int i = 0; i < 100; ++i) {
    line.OnCompletion(i % 10 == 0 ? "north" : "south", now);
  }
  Waiter free = bound;
  free.regions = {};
  int admittedBound = 0;
  int admittedFree = 0;
  for (std::uint64_t id = 1; id <= 100; ++id) {
    bound.id = id;
    free.id = 1000 + id;
    admittedBound += line.Join(bound, now).admitted ? 1 : 0;
    admittedFree += line.Join(free, now).admitted ? 1 : 0;
  }
  CHECK(admittedBound == 5);
  CHECK(admittedFree == 45);
  CHECK(line.Size() == 50);
}

TEST_CASE("Room goes to the urgent first, then to those that still meet their objective")
{
  WaitingLine line;
  const BootTime now = At(milliseconds(100));
  line.Join(MakeWaiter(1, 2, milliseconds(0), milliseconds(50)), now);
  line.Join(MakeWaiter(2, 2, milliseconds(10), milliseconds(300)), now);
  line.Join(MakeWaiter(3, 1, milliseconds(20), milliseconds(300)), now);
  line.Join(MakeWaiter(4, 2, milliseconds(30), milliseconds(300)), now);
  CHECK(line.Order(now) == std::vector<std::uint64_t>{ 3, 2, 4, 1 });
}

TEST_CASE("What can't start in time is refused at once, with a time to come back")
{
  WaitingLine line;
  const BootTime now = At(milliseconds(0));
  for (int i = 0; i < 100; ++i) {
    line.OnCompletion("north", now);
  }
  Waiter waiter = MakeWaiter(0, 1, milliseconds(0), milliseconds(0));
  waiter.latestStart = now + milliseconds(500);
  std::size_t admitted = 0;
  milliseconds back{ 0 };
  for (std::uint64_t id = 1; id <= 200; ++id) {
    waiter.id = id;
    const Admission admission = line.Join(waiter, now);
    admitted += admission.admitted ? 1 : 0;
    back = admission.retryAfter;
  }
  CHECK(admitted == 50);
  CHECK(back >= milliseconds(500));
  CHECK(line.Size() == 50);
}

TEST_CASE("While the line stands, only what can meet its objective waits")
{
  WaitingLine line;
  const BootTime start = At(milliseconds(0));
  const BootTime overloaded = start + WaitingLine::kStanding + milliseconds(1);
  REQUIRE(line.Join(MakeWaiter(1, 2, milliseconds(0), milliseconds(200)), start).admitted);
  // Late in a burst: there may still be room before its deadline.
  REQUIRE(line.Join(MakeWaiter(2, 2, milliseconds(0), milliseconds(0)), start).admitted);
  CHECK(line.Hopeless(start).empty());

  CHECK(line.Hopeless(overloaded) == std::vector<std::uint64_t>{ 1, 2 });
  CHECK_FALSE(
    line.Join(MakeWaiter(3, 2, milliseconds(401), milliseconds(410)), overloaded).admitted);
  CHECK(line.Join(MakeWaiter(4, 2, milliseconds(401), milliseconds(900)), overloaded).admitted);

  for (const std::uint64_t id : { 1, 2, 4 }) {
    line.Leave(id);
  }
  CHECK(line.Join(MakeWaiter(5, 2, milliseconds(401), milliseconds(410)), overloaded).admitted);
}

TEST_CASE("Urgent arrivals make the least urgent hopeless")
{
  WaitingLine line;
  const BootTime now = At(milliseconds(0));
  for (int i = 0; i < 10; ++i) {
    line.OnCompletion("north", now);
  }
  Waiter late = MakeWaiter(1, 2, milliseconds(0), milliseconds(0));
  late.latestStart = now + milliseconds(200);
  REQUIRE(line.Join(late, now).admitted);
  CHECK(line.Hopeless(now).empty());
  for (std::uint64_t id = 2; id <= 5; ++id) {
    Waiter urgent = MakeWaiter(id, 0, milliseconds(1), milliseconds(900));
    line.Join(urgent, now);
  }
  CHECK(line.Hopeless(now) == std::vector<std::uint64_t>{ 1 });
}

} // namespace
} // namespace plantainhaven::placing
