#pragma once

#include "policy/config/faults.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <variant>

namespace plantainhaven {

// An IPv4 prefix. Bits of the address beyond the length are zero.
struct Ipv4Prefix
{
  std::uint32_t address = 0;
  std::uint8_t length = 0;

  friend bool operator==(const Ipv4Prefix&, const Ipv4Prefix&) = default;
  friend bool operator<(const Ipv4Prefix& aLeft, const Ipv4Prefix& aRight)
  {
    return std::tie(aLeft.address, aLeft.length) < std::tie(aRight.address, aRight.length);
  }
};

// Reads a canonical CIDR such as 10.1.2.0/24. A fault, whose field is left empty,
// when it doesn't parse, is IPv6 or has address bits set beyond its length.
std::variant<Ipv4Prefix, FieldViolation>
ParseCidr(std::string_view aCidr);

// Writes a prefix as 10.1.2.0/24.
std::string
FormatCidr(Ipv4Prefix aPrefix);

// Name of the client_block resource of a prefix: its CIDR with '_' for '/'.
std::string
BlockName(Ipv4Prefix aPrefix);

// The prefix that a client_block's name stands for; nothing for any other name.
std::optional<Ipv4Prefix>
PrefixOfBlockName(std::string_view aName);

// True for an IPv4 or IPv6 number.
bool
IsIpAddress(const std::string& aText);

} // namespace plantainhaven
