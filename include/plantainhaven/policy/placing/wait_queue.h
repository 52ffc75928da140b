#pragma once

#include "plantainhaven/common/time.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace plantainhaven::placing {

// A request that waits for room at a service's backend servers.
struct QueuedRequest
{
  std::uint64_t id = 0;
  // 0 is the most urgent.
  int priority = 0;
  BootTime arrivedAt{};
  // Started by then, the response is likely to meet the latency objective.
  BootTime objectiveAt{};
  // Started later, the response comes too late to be of use.
  BootTime latestStart{};
  // Regions where it may run; empty for all.
  std::vector<std::string> regions;
};

// Whether a request may wait.
struct Admission
{
  bool admitted = false;
  // When not admitted: the time after which room is likely.
  std::chrono::milliseconds retryAfter{ 0 };
};

// Orders the requests that wait at this VM for one service: urgent ones first, among equals
// those that can still meet their latency objective, in the order of arrival. Refuses at
// once what, at the present rate of completions, wouldn't start in time; what is bound to
// some regions goes by the completions there, and waits for those alone. A line that stands
// for longer than kStandingQueueTime shows overload rather than a burst: then only requests that
// can meet their objective wait, since slots spent on late ones would make those late too. Not
// thread-safe.
class WaitQueue
{
public:
  static constexpr std::chrono::milliseconds kStandingQueueTime{ 400 };

  WaitQueue();
  ~WaitQueue();
  WaitQueue(WaitQueue&&) noexcept;
  WaitQueue& operator=(WaitQueue&&) noexcept;

  // Admits the waiter and keeps it, or refuses it.
  Admission TryEnqueue(const QueuedRequest& aWaiter, BootTime aNow);
  void Dequeue(std::uint64_t aId);
  // A request of the service that this VM sent to the region has ended, so that a slot may
  // be free there.
  void OnCompletion(const std::string& aRegion, BootTime aNow);

  // The waiters' ids in the order in which room is to be offered.
  std::vector<std::uint64_t> DequeueOrder(BootTime aNow) const;
  // Waiters that can no longer start in time; each is to be refused.
  std::vector<std::uint64_t> RequestsToReject(BootTime aNow) const;
  std::size_t Size() const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace plantainhaven::placing
