#pragma once

#include <string>
#include <string_view>

namespace plantainhaven {

// SHA-256 of the bytes, in lower-case hexadecimal (64 characters).
std::string
Sha256Hex(std::string_view aBytes);

// Compares without leaking, through time, where the first difference lies.
bool
EqualInConstantTime(std::string_view aLeft, std::string_view aRight) noexcept;

// 128 bits from the system's generator in hexadecimal, for change ids.
std::string
RandomId();

// 256 bits from the system's generator in hexadecimal, for new client keys.
std::string
RandomKey();

} // namespace plantainhaven
