#pragma once

#include <string>
#include <string_view>

namespace plantainhaven {

// Returns the SHA-256 digest of the bytes in lower-case hexadecimal (64 characters).
// Throws std::runtime_error when OpenSSL fails.
std::string
Sha256Hex(std::string_view aBytes);

// Compares in a time that doesn't depend on the position of the first difference, so that
// an attacker can't guess a secret byte by byte.
bool
EqualInConstantTime(std::string_view aLeft, std::string_view aRight) noexcept;

// Returns 128 bits from OpenSSL's random generator in hexadecimal, for change ids. Throws
// std::runtime_error when the generator fails.
std::string
RandomId();

// Returns 256 bits from OpenSSL's random generator in hexadecimal, for new client keys.
// Throws std::runtime_error when the generator fails.
std::string
RandomKey();

} // namespace plantainhaven
