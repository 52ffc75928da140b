#pragma once

#include "plantainhaven/common/time.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace plantainhaven::placing {

// A request queued until a service's backend servers have a free slot.
struct QueuedRequest
{
  std::uint64_t id = 0;
  // 0 is the highest priority.
  int priority = 0;
  BootTime arrivedAt{};
  // If started by this time, the response is likely to meet the latency objective.
  BootTime objectiveAt{};
  // If started after this time, the response arrives too late to be useful.
  BootTime latestStart{};
  // Regions where the request may run; empty for all regions.
  std::vector<std::string> regions;
};

// Whether a request is admitted to the queue.
struct Admission
{
  bool admitted = false;
  // If not admitted: the time after which a free slot is likely.
  std::chrono::milliseconds retryAfter{ 0 };
};

// The queue of this VM's requests for one service, ordered by priority, then requests that can
// still meet their latency objective first, then by arrival. Rejects a request immediately if it
// wouldn't start in time at the current completion rate. A request restricted to some regions is
// judged by the completion rate of those regions and queues only behind requests with the same
// restriction. If requests have been queued without a break for longer than kStandingQueueTime,
// this indicates overload rather than a burst: then only requests that can meet their objective
// are admitted, since slots spent on late requests would delay those too. Not thread-safe.
class WaitQueue
{
public:
  static constexpr std::chrono::milliseconds kStandingQueueTime{ 400 };

  WaitQueue();
  ~WaitQueue();
  WaitQueue(WaitQueue&&) noexcept;
  WaitQueue& operator=(WaitQueue&&) noexcept;

  // Adds the request to the queue, or rejects it.
  Admission TryEnqueue(const QueuedRequest& aRequest, BootTime aNow);
  void Dequeue(std::uint64_t aId);
  // A request of the service that this VM sent to the region has completed, so a slot may be free
  // there.
  void OnCompletion(const std::string& aRegion, BootTime aNow);

  // Ids of the queued requests in the order in which free slots are offered to them.
  std::vector<std::uint64_t> DequeueOrder(BootTime aNow) const;
  // Ids of the queued requests that can no longer start in time and are to be rejected.
  std::vector<std::uint64_t> RequestsToReject(BootTime aNow) const;
  std::size_t Size() const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace plantainhaven::placing
