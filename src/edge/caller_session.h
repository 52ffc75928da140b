#pragma once

#include "edge/caller_body.h"
#include "edge/caller_watch.h"
#include "edge/net.h"
#include "edge/traffic_state.h"

#include <cstddef>

namespace plantainhaven::edge {

// What a session does with the requests on its connection.
struct SessionHandler
{
  // Name of the counter of accepted connections.
  const char* connectionsMetric;
  // Size of the fields that are added to those of the caller.
  std::size_t extraHeaderBytes;
  // Handles a request. Returns false when the connection must be closed.
  Task<bool> (*run)(TrafficState&, beast::tcp_stream&, CallerWatch&, CallerRequest&, CallerBody&);
};

// For requests of callers.
extern const SessionHandler kCallerSession;
// For requests that other VMs relay through this one.
extern const SessionHandler kRelaySession;

// Serves the requests on one connection until it is closed.
Task<void>
ServeSession(TrafficState& aState, Tcp::socket aSocket, const SessionHandler& aHandler);

} // namespace plantainhaven::edge
