#pragma once

namespace plantainhaven {

// Version of all programs, as --version prints it.
constexpr const char* kVersion = "0.1.0";

} // namespace plantainhaven
