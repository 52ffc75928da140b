#include "plantainhaven/common/digest.h"

#include <array>
#include <cstdint>
#include <span>
#include <stdexcept>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/rand.h>
#include <openssl/sha.h>

namespace plantainhaven {

namespace {

constexpr std::size_t kIdBytes = 16;
constexpr std::size_t kKeyBytes = 32;
constexpr unsigned kBitsPerDigit = 4;
constexpr unsigned kDigitMask = 0x0F;

std::string
Hex(std::span<const std::uint8_t> aBytes)
{
  constexpr std::string_view digits = "0123456789abcdef";
  std::string text;
  text.reserve(aBytes.size() * 2);
  for (const std::uint8_t byte : aBytes) {
    text += digits[byte >> kBitsPerDigit];
    text += digits[byte & kDigitMask];
  }
  return text;
}

// Fetches OpenSSL's SHA-256 implementation once: the fetch costs more than the digest of a
// short text.
const EVP_MD*
Sha256Method()
{
  static const EVP_MD* const kMethod = EVP_MD_fetch(nullptr, "SHA256", nullptr);
  return kMethod;
}

template<std::size_t Size>
std::string
RandomHex()
{
  std::array<std::uint8_t, Size> bytes{};
  if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
    throw std::runtime_error("the system's random generator gave no bytes");
  }
  return Hex(bytes);
}

} // namespace

std::string
Sha256Hex(std::string_view aBytes)
{
  std::array<std::uint8_t, SHA256_DIGEST_LENGTH> digest{};
  if (EVP_Digest(aBytes.data(), aBytes.size(), digest.data(), nullptr, Sha256Method(), nullptr) !=
      1) {
    throw std::runtime_error("OpenSSL computed no SHA-256");
  }
  return Hex(digest);
}

bool
EqualInConstantTime(std::string_view aLeft, std::string_view aRight) noexcept
{
  return aLeft.size() == aRight.size() &&
         CRYPTO_memcmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

std::string
RandomId()
{
  return RandomHex<kIdBytes>();
}

std::string
RandomKey()
{
  return RandomHex<kKeyBytes>();
}

} // namespace plantainhaven
