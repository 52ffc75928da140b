#pragma once

#include <functional>
#include <memory>
#include <string>

namespace plantainhaven {

// Queue of callbacks that other threads post to the control thread. Thread-safe.
class EventQueue
{
public:
  using Event = std::function<void()>;

  EventQueue();
  ~EventQueue();
  EventQueue(const EventQueue&) = delete;
  EventQueue& operator=(const EventQueue&) = delete;

  // Appends an event. Holds a lock only for the insertion.
  void Post(Event aEvent);
  // Runs the events that are queued at the time of the call, in order, on the calling thread.
  void RunAll();

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

// Runs blocking calls, such as platform calls, on a thread of its own, one job at a time.
class Worker
{
public:
  Worker();
  // Waits for the running job and discards a queued one.
  ~Worker();
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  // Queues a job and returns true, or returns false when another job is queued or running.
  // This keeps jobs from accumulating while the store is slow.
  bool TryPost(std::function<void()> aJob);

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace plantainhaven
