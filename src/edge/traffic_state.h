#pragma once

#include "edge/dispatcher.h"
#include "edge/net.h"
#include "edge/server_paths.h"
#include "edge/token_broker.h"
#include "edge/upstream_pool.h"
#include "plantainhaven/common/metrics.h"
#include "plantainhaven/policy/placing/crash_ledger.h"

#include <chrono>
#include <random>

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
  // Other VMs have had a newer configuration in force for so long that this one's must not be used
  // any more.
  bool isConfigurationOutdated = false;
  // Requests of callers and of other VMs.
  int openRequests = 0;
  // Requests of other VMs.
  int relayedRequests = 0;
};

} // namespace plantainhaven::edge
