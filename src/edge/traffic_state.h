#pragma once

#include "edge/dispatcher.h"
#include "edge/net.h"
#include "edge/server_paths.h"
#include "edge/token_broker.h"
#include "edge/upstream_pool.h"
#include "plantainhaven/common/metrics.h"
#include "plantainhaven/policy/placing/crash_ledger.h"

#include <chrono>
#include <functional>
#include <list>
#include <random>
#include <utility>

namespace plantainhaven::edge {

// State that all requests on the traffic thread share.
struct TrafficState
{
  asio::io_context& context;
  Dispatcher& dispatcher;
  TokenBroker& tokens;
  // Connections to backend servers, and to VMs that relay requests.
  UpstreamPool& pool;
  UpstreamPool& relayPool;
  ServerPaths& paths;
  placing::CrashLedger& crashes;
  Metrics& metrics;
  std::mt19937_64& random;
  // SIGTERM was received: responses tell callers to close their connections.
  bool isStopping = false;
  // The process is about to exit: new requests are rejected.
  bool isClosing = false;
  // The grace period ends: requests are answered at once, whatever they wait for.
  bool isEnding = false;
  // Called when the grace period ends; see EndNotice.
  std::list<std::function<void()>> onEnding{};
  // Other VMs have had a newer configuration in force for so long that this one's must not be used
  // any more.
  bool isConfigurationOutdated = false;
  // Requests of callers and of other VMs.
  int openRequests = 0;
  // Requests of other VMs.
  int relayedRequests = 0;
};

// Calls an action when the grace period ends, unless it is destroyed before.
class EndNotice
{
public:
  EndNotice(TrafficState& aState, std::function<void()> aAction)
    : state(aState)
    , position(aState.onEnding.insert(aState.onEnding.end(), std::move(aAction)))
  {
  }
  ~EndNotice() { this->state.onEnding.erase(this->position); }
  EndNotice(const EndNotice&) = delete;
  EndNotice& operator=(const EndNotice&) = delete;

private:
  TrafficState& state;
  std::list<std::function<void()>>::iterator position;
};

} // namespace plantainhaven::edge
