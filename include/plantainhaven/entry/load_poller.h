#pragma once

#include "plantainhaven/entry/backend_pool.h"
#include "plantainhaven/entry/steering.h"
#include "plantainhaven/entry/view_state.h"

#include <chrono>
#include <memory>

namespace plantainhaven {

struct LoadPollerOptions
{
  std::chrono::milliseconds interval{ 250 };
  std::chrono::milliseconds timeout{ 200 };
  // Servers asked at once.
  std::size_t threads = 4;
};

// Asks every backend server for its load in turn, over the kept connection that has been
// idle longest, which thereby proves alive or is dropped. A server that doesn't answer is
// judged by the outcomes of requests alone.
class LoadPoller
{
public:
  // The services must outlive the poller.
  LoadPoller(LoadPollerOptions aOptions,
             const ViewState& aView,
             BackendPool& aPool,
             Steering& aSteering);
  // Stops.
  ~LoadPoller();
  LoadPoller(const LoadPoller&) = delete;
  LoadPoller& operator=(const LoadPoller&) = delete;

  void Start();
  void Stop();
  // Asks one server, now.
  void Poll(const ServerEntry& aServer);

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace plantainhaven
