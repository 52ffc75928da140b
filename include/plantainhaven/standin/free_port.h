#pragma once

#include <cstdint>

namespace plantainhaven {

// A port of the loopback interface that nobody listens on. Another process may take it
// meanwhile. Throws std::system_error when there is none.
std::uint16_t
FreePort();

} // namespace plantainhaven
