#pragma once

namespace plantainhaven {

// Version of all programs, printed by --version.
constexpr const char* kVersion = "0.1.0";

} // namespace plantainhaven
