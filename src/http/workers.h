#pragma once

#include "http/server_connection.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace plantainhaven {

// Threads that serve connections on which a request came, and the bounded queue
// before them.
class Workers
{
public:
  using Serve = std::function<void(std::unique_ptr<ServerConnection>)>;

  Workers(std::size_t aThreads, std::size_t aQueue, Serve aServe);
  // Drops what is queued and joins the threads.
  ~Workers();
  Workers(const Workers&) = delete;
  Workers& operator=(const Workers&) = delete;

  // Queues a connection. When the queue is full the connection stays with the
  // caller and the return value is false.
  bool Offer(std::unique_ptr<ServerConnection>& aConnection);
  // Connections queued or served.
  std::size_t Busy() const;
  // Waits at most `aLongest` until nothing is queued or served; true when so.
  bool WaitUntilFree(std::chrono::milliseconds aLongest);

private:
  void Run();

  std::size_t threadCount;
  std::size_t queueSize;
  Serve serve;
  mutable std::mutex mutex;
  std::condition_variable offered;
  std::condition_variable freed;
  std::deque<std::unique_ptr<ServerConnection>> queue;
  std::size_t serving = 0;
  bool stopping = false;
  std::vector<std::thread> threads;
};

} // namespace plantainhaven
