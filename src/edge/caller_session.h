#pragma once

#include "edge/net.h"
#include "edge/request_run.h"

namespace plantainhaven::edge {

// Serves one caller's connection until it ends.
Task<void>
ServeCaller(TrafficState& aState, Tcp::socket aSocket);

} // namespace plantainhaven::edge
