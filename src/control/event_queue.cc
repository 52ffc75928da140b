#include "plantainhaven/control/event_queue.h"

#include <condition_variable>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

namespace plantainhaven {

struct EventQueue::Impl
{
  std::mutex mutex;
  std::vector<Event> waiting;
};

EventQueue::EventQueue()
  : impl(std::make_unique<Impl>())
{
}

EventQueue::~EventQueue() = default;

void
EventQueue::Post(Event aEvent)
{
  const std::scoped_lock lock(this->impl->mutex);
  this->impl->waiting.push_back(std::move(aEvent));
}

void
EventQueue::RunAll()
{
  std::vector<Event> events;
  {
    const std::scoped_lock lock(this->impl->mutex);
    events.swap(this->impl->waiting);
  }
  for (const Event& event : events) {
    event();
  }
}

struct Worker::Impl
{
  std::mutex mutex;
  std::condition_variable changed;
  std::function<void()> job;
  bool busy = false;
  bool stopping = false;
  std::thread thread;

  void Run()
  {
    std::unique_lock lock(this->mutex);
    while (true) {
      this->changed.wait(lock, [this] { return this->stopping || this->job; });
      if (this->stopping) {
        return;
      }
      const std::function<void()> current = std::move(this->job);
      this->job = nullptr;
      this->busy = true;
      lock.unlock();
      current();
      lock.lock();
      this->busy = false;
    }
  }
};

Worker::Worker()
  : impl(std::make_unique<Impl>())
{
  this->impl->thread = std::thread([this] { this->impl->Run(); });
}

Worker::~Worker()
{
  {
    const std::scoped_lock lock(this->impl->mutex);
    this->impl->stopping = true;
  }
  this->impl->changed.notify_all();
  this->impl->thread.join();
}

bool
Worker::TryPost(std::function<void()> aJob)
{
  const std::scoped_lock lock(this->impl->mutex);
  if (this->impl->busy || this->impl->job || this->impl->stopping) {
    return false;
  }
  this->impl->job = std::move(aJob);
  this->impl->changed.notify_all();
  return true;
}

} // namespace plantainhaven
