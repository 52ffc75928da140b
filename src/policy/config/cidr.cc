#include "policy/config/cidr.h"

#include <arpa/inet.h>

#include <charconv>

namespace plantainhaven {

namespace {

constexpr std::uint8_t kMaxLength = 32;

std::uint32_t
MaskOf(std::uint8_t aLength)
{
  return aLength == 0 ? 0 : ~std::uint32_t{ 0 } << (kMaxLength - aLength);
}

// Parses a decimal number from 0 to `aMax` without sign or leading zeros.
std::optional<std::uint32_t>
ParseNumber(std::string_view aText, std::uint32_t aMax)
{
  std::uint32_t value = 0;
  const char* end = aText.data() + aText.size();
  const auto [stop, error] = std::from_chars(aText.data(), end, value);
  const bool leadingZero = aText.size() > 1 && aText.front() == '0';
  if (error != std::errc{} || stop != end || leadingZero || value > aMax) {
    return std::nullopt;
  }
  return value;
}

std::optional<std::uint32_t>
ParseAddress(std::string_view aText)
{
  constexpr int kByteCount = 4;
  constexpr std::uint32_t kMaxByte = 255;
  std::uint32_t address = 0;
  for (int index = 0; index < kByteCount; ++index) {
    const std::size_t dot = aText.find('.');
    const bool last = index == kByteCount - 1;
    if ((dot == std::string_view::npos) != last) {
      return std::nullopt;
    }
    const std::optional<std::uint32_t> byte = ParseNumber(aText.substr(0, dot), kMaxByte);
    if (!byte) {
      return std::nullopt;
    }
    address = address << 8 | *byte;
    aText = last ? std::string_view{} : aText.substr(dot + 1);
  }
  return address;
}

// Parses address and length, divided by `aSeparator`. Address bits beyond the length are
// kept.
std::optional<Ipv4Prefix>
ParsePrefix(std::string_view aText, char aSeparator)
{
  const std::size_t separatorAt = aText.find(aSeparator);
  if (separatorAt == std::string_view::npos) {
    return std::nullopt;
  }
  const std::optional<std::uint32_t> address = ParseAddress(aText.substr(0, separatorAt));
  const std::optional<std::uint32_t> length =
    ParseNumber(aText.substr(separatorAt + 1), kMaxLength);
  if (!address || !length) {
    return std::nullopt;
  }
  return Ipv4Prefix{ *address, static_cast<std::uint8_t>(*length) };
}

std::string
Format(Ipv4Prefix aPrefix, char aSeparator)
{
  std::string text;
  for (int shift = 24; shift >= 0; shift -= 8) {
    text += std::to_string(aPrefix.address >> shift & 0xff);
    text += shift == 0 ? aSeparator : '.';
  }
  return text + std::to_string(aPrefix.length);
}

} // namespace

std::variant<Ipv4Prefix, FieldViolation>
ParseCidr(std::string_view aCidr)
{
  const std::string actual = Quote(std::string(aCidr));
  if (aCidr.find(':') != std::string_view::npos) {
    return FieldViolation{ {},
                           actual,
                           "an IPv4 block; IPv6 blocks aren't supported",
                           "write the IPv4 blocks of these clients" };
  }
  const std::optional<Ipv4Prefix> prefix = ParsePrefix(aCidr, '/');
  if (!prefix) {
    return FieldViolation{
      {}, actual, "an IPv4 block", "write ADDRESS/LENGTH, for example 10.1.2.0/24"
    };
  }
  const Ipv4Prefix canonical{ prefix->address & MaskOf(prefix->length), prefix->length };
  if (canonical != *prefix) {
    return FieldViolation{ {},
                           actual,
                           "no address bits set beyond the length",
                           "write " + FormatCidr(canonical) + " if the whole block is meant" };
  }
  return canonical;
}

std::string
FormatCidr(Ipv4Prefix aPrefix)
{
  return Format(aPrefix, '/');
}

std::string
BlockName(Ipv4Prefix aPrefix)
{
  return Format(aPrefix, '_');
}

std::optional<Ipv4Prefix>
PrefixOfBlockName(std::string_view aName)
{
  const std::optional<Ipv4Prefix> prefix = ParsePrefix(aName, '_');
  if (!prefix || (prefix->address & ~MaskOf(prefix->length)) != 0) {
    return std::nullopt;
  }
  return prefix;
}

bool
IsIpAddress(const std::string& aText)
{
  in6_addr buffer{};
  return inet_pton(AF_INET, aText.c_str(), &buffer) == 1 ||
         inet_pton(AF_INET6, aText.c_str(), &buffer) == 1;
}

} // namespace plantainhaven
