#include "plantainhaven/policy/placing/wait_queue.h"
#include "policy/placing/placing_support.h"

#include <catch2/catch.hpp>

namespace plantainhaven::placing {
namespace {

using std::chrono::milliseconds;

QueuedRequest
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
  WaitQueue line;
  const BootTime now = At(milliseconds(0));
  QueuedRequest bound = MakeWaiter(0, 1, milliseconds(0), milliseconds(0));
  bound.latestStart = now + milliseconds(500);
  bound.regions = { "north" };
  // The group is known from its first waiter on.
  line.TryEnqueue(bound, now);
  line.Dequeue(0);
  for (int i = 0; i < 100; ++i) {
    line.OnCompletion(i % 10 == 0 ? "north" : "south", now);
  }
  QueuedRequest free = bound;
  free.regions = {};
  int admittedBound = 0;
  int admittedFree = 0;
  for (std::uint64_t id = 1; id <= 100; ++id) {
    bound.id = id;
    free.id = 1000 + id;
    admittedBound += line.TryEnqueue(bound, now).admitted ? 1 : 0;
    admittedFree += line.TryEnqueue(free, now).admitted ? 1 : 0;
  }
  CHECK(admittedBound == 5);
  CHECK(admittedFree == 45);
  CHECK(line.Size() == 50);
}

TEST_CASE("Room goes to the urgent first, then to those that still meet their objective")
{
  WaitQueue line;
  const BootTime now = At(milliseconds(100));
  line.TryEnqueue(MakeWaiter(1, 2, milliseconds(0), milliseconds(50)), now);
  line.TryEnqueue(MakeWaiter(2, 2, milliseconds(10), milliseconds(300)), now);
  line.TryEnqueue(MakeWaiter(3, 1, milliseconds(20), milliseconds(300)), now);
  line.TryEnqueue(MakeWaiter(4, 2, milliseconds(30), milliseconds(300)), now);
  CHECK(line.DequeueOrder(now) == std::vector<std::uint64_t>{ 3, 2, 4, 1 });
}

TEST_CASE("What can't start in time is refused at once, with a time to come back")
{
  WaitQueue line;
  const BootTime now = At(milliseconds(0));
  for (int i = 0; i < 100; ++i) {
    line.OnCompletion("north", now);
  }
  QueuedRequest waiter = MakeWaiter(0, 1, milliseconds(0), milliseconds(0));
  waiter.latestStart = now + milliseconds(500);
  std::size_t admitted = 0;
  milliseconds back{ 0 };
  for (std::uint64_t id = 1; id <= 200; ++id) {
    waiter.id = id;
    const Admission admission = line.TryEnqueue(waiter, now);
    admitted += admission.admitted ? 1 : 0;
    back = admission.retryAfter;
  }
  CHECK(admitted == 50);
  CHECK(back >= milliseconds(500));
  CHECK(line.Size() == 50);
}

TEST_CASE("While the line stands, only what can meet its objective waits")
{
  WaitQueue line;
  const BootTime start = At(milliseconds(0));
  const BootTime overloaded = start + WaitQueue::kStandingQueueTime + milliseconds(1);
  REQUIRE(line.TryEnqueue(MakeWaiter(1, 2, milliseconds(0), milliseconds(200)), start).admitted);
  // Late in a burst: there may still be room before its deadline.
  REQUIRE(line.TryEnqueue(MakeWaiter(2, 2, milliseconds(0), milliseconds(0)), start).admitted);
  CHECK(line.RequestsToReject(start).empty());

  CHECK(line.RequestsToReject(overloaded) == std::vector<std::uint64_t>{ 1, 2 });
  CHECK_FALSE(
    line.TryEnqueue(MakeWaiter(3, 2, milliseconds(401), milliseconds(410)), overloaded).admitted);
  CHECK(
    line.TryEnqueue(MakeWaiter(4, 2, milliseconds(401), milliseconds(900)), overloaded).admitted);

  for (const std::uint64_t id : { 1, 2, 4 }) {
    line.Dequeue(id);
  }
  CHECK(
    line.TryEnqueue(MakeWaiter(5, 2, milliseconds(401), milliseconds(410)), overloaded).admitted);
}

TEST_CASE("Urgent arrivals make the least urgent hopeless")
{
  WaitQueue line;
  const BootTime now = At(milliseconds(0));
  for (int i = 0; i < 10; ++i) {
    line.OnCompletion("north", now);
  }
  QueuedRequest late = MakeWaiter(1, 2, milliseconds(0), milliseconds(0));
  late.latestStart = now + milliseconds(200);
  REQUIRE(line.TryEnqueue(late, now).admitted);
  CHECK(line.RequestsToReject(now).empty());
  for (std::uint64_t id = 2; id <= 5; ++id) {
    QueuedRequest urgent = MakeWaiter(id, 0, milliseconds(1), milliseconds(900));
    line.TryEnqueue(urgent, now);
  }
  CHECK(line.RequestsToReject(now) == std::vector<std::uint64_t>{ 1 });
}

} // namespace
} // namespace plantainhaven::placing
