#pragma once

namespace plantainhaven::edge {

// Holds SIGTERM, SIGINT and SIGHUP back from the calling thread, and from those that it starts,
// until the process handles them. They stay pending meanwhile.
void
HoldSignals();

// Delivers what was held back. Call when handlers are installed.
void
ReleaseSignals();

} // namespace plantainhaven::edge
