#pragma once

#include <functional>
#include <memory>
#include <string>

namespace plantainhaven {

// Work that other threads hand to the control thread. Safe for several threads.
class EventQueue
{
public:
  using Event = std::function<void()>;

  EventQueue();
  ~EventQueue();
  EventQueue(const EventQueue&) = delete;
  EventQueue& operator=(const EventQueue&) = delete;

  // Adds an event; never blocks for long.
  void Post(Event aEvent);
  // Runs every event that waits now, in order, on the calling thread.
  void RunAll();

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

// One thread for calls that block, such as those to the platform. Jobs run in order.
class Worker
{
public:
  Worker();
  // Finishes the job that runs and drops those that wait.
  ~Worker();
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  // Adds a job unless one waits or runs; tells whether it was added. So a slow store
  // never piles up work.
  bool TryPost(std::function<void()> aJob);

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace plantainhaven
