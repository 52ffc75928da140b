#pragma once

#include "settings.pb.h"

namespace plantainhaven {

// Runs plantain-entryd with checked settings until SIGTERM or SIGINT, then stops
// gracefully: it leaves the look-up answers, serves on for entry.leave_wait, lets
// callers move to other connections and waits for the requests in flight. Returns the
// exit status.
int
RunEntry(const EntrydSettings& aSettings);

} // namespace plantainhaven
