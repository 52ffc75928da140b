#include "plantainhaven/policy/placing/wait_queue.h"
#include "policy/placing/placing_support.h"

#include <catch2/catch.hpp>

namespace plantainhaven::placing {
namespace {

using std::chrono::milliseconds;

QueuedRequest
MakeRequest(std::uint64_t aId, int aPriority, milliseconds aArrival, milliseconds aObjective)
{
  return { .id = aId,
           .priority = aPriority,
           .arrivedAt = At(aArrival),
           .objectiveAt = At(aObjective),
           .latestStart = At(std::chrono::seconds(10)),
           .regions = {} };
}

// Guards against estimating the queueing time of region-restricted requests from the completions
// of all regions: requests of a high-traffic account restricted to the smallest region were then
// admitted although they couldn't start in time.
TEST_CASE("Requests restricted to a region are admitted by its completion rate")
{
  WaitQueue queue;
  const BootTime now = At(milliseconds(0));
  QueuedRequest restricted = MakeRequest(0, 1, milliseconds(0), milliseconds(0));
  restricted.latestStart = now + milliseconds(500);
  restricted.regions = { "north" };
  // Completions count for a set of regions only after its first request has been queued.
  queue.TryEnqueue(restricted, now);
  queue.Dequeue(0);
  for (int i = 0; i < 100; ++i) {
    queue.OnCompletion(i % 10 == 0 ? "north" : "south", now);
  }
  QueuedRequest unrestricted = restricted;
  unrestricted.regions = {};
  int admittedRestricted = 0;
  int admittedUnrestricted = 0;
  for (std::uint64_t id = 1; id <= 100; ++id) {
    restricted.id = id;
    unrestricted.id = 1000 + id;
    admittedRestricted += queue.TryEnqueue(restricted, now).admitted ? 1 : 0;
    admittedUnrestricted += queue.TryEnqueue(unrestricted, now).admitted ? 1 : 0;
  }
  CHECK(admittedRestricted == 5);
  CHECK(admittedUnrestricted == 45);
  CHECK(queue.Size() == 50);
}

TEST_CASE(
  "Free slots go to higher priorities first, then to requests that can meet their objective")
{
  WaitQueue queue;
  const BootTime now = At(milliseconds(100));
  queue.TryEnqueue(MakeRequest(1, 2, milliseconds(0), milliseconds(50)), now);
  queue.TryEnqueue(MakeRequest(2, 2, milliseconds(10), milliseconds(300)), now);
  queue.TryEnqueue(MakeRequest(3, 1, milliseconds(20), milliseconds(300)), now);
  queue.TryEnqueue(MakeRequest(4, 2, milliseconds(30), milliseconds(300)), now);
  CHECK(queue.DequeueOrder(now) == std::vector<std::uint64_t>{ 3, 2, 4, 1 });
}

TEST_CASE("A request that can't start in time is rejected immediately with a retry delay")
{
  WaitQueue queue;
  const BootTime now = At(milliseconds(0));
  for (int i = 0; i < 100; ++i) {
    queue.OnCompletion("north", now);
  }
  QueuedRequest request = MakeRequest(0, 1, milliseconds(0), milliseconds(0));
  request.latestStart = now + milliseconds(500);
  std::size_t admitted = 0;
  milliseconds retryAfter{ 0 };
  for (std::uint64_t id = 1; id <= 200; ++id) {
    request.id = id;
    const Admission admission = queue.TryEnqueue(request, now);
    admitted += admission.admitted ? 1 : 0;
    retryAfter = admission.retryAfter;
  }
  CHECK(admitted == 50);
  CHECK(retryAfter >= milliseconds(500));
  CHECK(queue.Size() == 50);
}

TEST_CASE("A standing queue admits only requests that can meet their objective")
{
  WaitQueue queue;
  const BootTime start = At(milliseconds(0));
  const BootTime overloaded = start + WaitQueue::kStandingQueueTime + milliseconds(1);
  REQUIRE(queue.TryEnqueue(MakeRequest(1, 2, milliseconds(0), milliseconds(200)), start).admitted);
  // Late, but in a burst a slot may still become free before its deadline.
  REQUIRE(queue.TryEnqueue(MakeRequest(2, 2, milliseconds(0), milliseconds(0)), start).admitted);
  CHECK(queue.RequestsToReject(start).empty());

  CHECK(queue.RequestsToReject(overloaded) == std::vector<std::uint64_t>{ 1, 2 });
  CHECK_FALSE(
    queue.TryEnqueue(MakeRequest(3, 2, milliseconds(401), milliseconds(410)), overloaded).admitted);
  CHECK(
    queue.TryEnqueue(MakeRequest(4, 2, milliseconds(401), milliseconds(900)), overloaded).admitted);

  for (const std::uint64_t id : { 1, 2, 4 }) {
    queue.Dequeue(id);
  }
  CHECK(
    queue.TryEnqueue(MakeRequest(5, 2, milliseconds(401), milliseconds(410)), overloaded).admitted);
}

TEST_CASE("Arrivals of higher priority cause rejection of a queued request of lower priority")
{
  WaitQueue queue;
  const BootTime now = At(milliseconds(0));
  for (int i = 0; i < 10; ++i) {
    queue.OnCompletion("north", now);
  }
  QueuedRequest late = MakeRequest(1, 2, milliseconds(0), milliseconds(0));
  late.latestStart = now + milliseconds(200);
  REQUIRE(queue.TryEnqueue(late, now).admitted);
  CHECK(queue.RequestsToReject(now).empty());
  for (std::uint64_t id = 2; id <= 5; ++id) {
    QueuedRequest urgent = MakeRequest(id, 0, milliseconds(1), milliseconds(900));
    queue.TryEnqueue(urgent, now);
  }
  CHECK(queue.RequestsToReject(now) == std::vector<std::uint64_t>{ 1 });
}

} // namespace
} // namespace plantainhaven::placing
