#pragma once

#include "load.pb.h"

namespace plantainhaven {

// Marks the scenario's backend server as draining through the resource API, keeping its
// other fields, and waits a bounded time for its acceptance. Returns false and logs the
// reason when that fails.
bool
AskForDrain(const LoadScenario::Drain& aDrain);

} // namespace plantainhaven
