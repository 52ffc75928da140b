#include "platform/url.h"

#include <charconv>

namespace plantainhaven {

namespace {

constexpr std::string_view kUnreserved =
  "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
constexpr char kHexDigits[] = "0123456789ABCDEF";
constexpr int kHexBase = 16;
constexpr std::size_t kEscapeDigits = 2;

} // namespace

std::string
PercentEncode(std::string_view aText)
{
  std::string encoded;
  encoded.reserve(aText.size());
  for (const char character : aText) {
    if (kUnreserved.find(character) != std::string_view::npos) {
      encoded += character;
      continue;
    }
    const auto byte = static_cast<unsigned char>(character);
    encoded += '%';
    encoded += kHexDigits[byte / kHexBase];
    encoded += kHexDigits[byte % kHexBase];
  }
  return encoded;
}

std::optional<std::string>
PercentDecode(std::string_view aText)
{
  std::string decoded;
  decoded.reserve(aText.size());
  for (std::size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] != '%') {
      decoded += aText[i];
      continue;
    }
    const std::string_view digits = aText.substr(i + 1, kEscapeDigits);
    const char* end = digits.data() + digits.size();
    unsigned value = 0;
    const auto [stop, failure] = std::from_chars(digits.data(), end, value, kHexBase);
    if (failure != std::errc() || stop != end || digits.size() != kEscapeDigits) {
      return std::nullopt;
    }
    decoded += static_cast<char>(value);
    i += kEscapeDigits;
  }
  return decoded;
}

std::string_view
EncodedPath(std::string_view aTarget) noexcept
{
  return aTarget.substr(0, aTarget.find('?'));
}

} // namespace plantainhaven
