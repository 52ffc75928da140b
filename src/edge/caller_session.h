#pragma once

#include "edge/net.h"
#include "edge/request_run.h"

namespace plantainhaven::edge {

// Serves the requests of one caller's connection until it is closed.
Task<void>
ServeCaller(TrafficState& aState, Tcp::socket aSocket);

} // namespace plantainhaven::edge
