#pragma once

#include "edge.pb.h"

namespace plantainhaven {

// Call first in main(): signals that come before RunEdge() handles them wait until then.
void
PrepareEdge();

// Runs plantain-edged until SIGTERM or SIGINT, with one thread for control state and one for
// traffic. Returns the exit status.
int
RunEdge(const EdgedSettings& aSettings);

} // namespace plantainhaven
