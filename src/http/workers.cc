#include "http/workers.h"

namespace plantainhaven {

Workers::Workers(std::size_t aThreads, std::size_t aQueue, Serve aServe)
  : threadCount(aThreads)
  , queueSize(aQueue)
  , serve(std::move(aServe))
{
  for (std::size_t index = 0; index < aThreads; ++index) {
    this->threads.emplace_back([this] { this->Run(); });
  }
}

Workers::~Workers()
{
  {
    const std::lock_guard guard(this->mutex);
    this->stopping = true;
    this->queue.clear();
  }
  this->offered.notify_all();
  for (std::thread& thread : this->threads) {
    thread.join();
  }
}

bool
Workers::Offer(std::unique_ptr<ServerConnection>& aConnection)
{
  {
    const std::lock_guard guard(this->mutex);
    // A free thread takes one at once, so that one doesn't count as waiting.
    const std::size_t room = this->queueSize + this->threadCount - this->serving;
    if (this->stopping || this->queue.size() >= room) {
      return false;
    }
    this->queue.push_back(std::move(aConnection));
  }
  this->offered.notify_one();
  return true;
}

std::size_t
Workers::Busy() const
{
  const std::lock_guard guard(this->mutex);
  return this->queue.size() + this->serving;
}

bool
Workers::WaitUntilFree(std::chrono::milliseconds aLongest)
{
  std::unique_lock lock(this->mutex);
  return this->freed.wait_for(
    lock, aLongest, [this] { return this->queue.empty() && this->serving == 0; });
}

void
Workers::Run()
{
  std::unique_lock lock(this->mutex);
  for (;;) {
    this->offered.wait(lock, [this] { return this->stopping || !this->queue.empty(); });
    if (this->stopping) {
      return;
    }
    auto connection = std::move(this->queue.front());
    this->queue.pop_front();
    ++this->serving;
    lock.unlock();
    this->serve(std::move(connection));
    lock.lock();
    --this->serving;
    if (this->serving == 0 && this->queue.empty()) {
      this->freed.notify_all();
    }
  }
}

} // namespace plantainhaven
