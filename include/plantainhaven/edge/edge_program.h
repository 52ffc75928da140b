#pragma once

#include "edge.pb.h"

namespace plantainhaven {

// Runs plantain-edged until SIGTERM: one thread for control state, one for traffic.
// Returns the exit status.
int
RunEdge(const EdgedSettings& aSettings);

} // namespace plantainhaven
