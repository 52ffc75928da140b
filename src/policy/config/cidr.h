#pragma once

#include "policy/config/field_violation.h"

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

// Parses a canonical CIDR such as 10.1.2.0/24. Returns a violation with an empty field
// name if the text doesn't parse, is IPv6 or has address bits set beyond the length.
std::variant<Ipv4Prefix, FieldViolation>
ParseCidr(std::string_view aCidr);

// Formats a prefix in CIDR notation, for example 10.1.2.0/24.
std::string
FormatCidr(Ipv4Prefix aPrefix);

// Returns the name of the client_block resource of a prefix: its CIDR with '_' for '/'.
std::string
BlockName(Ipv4Prefix aPrefix);

// Returns the prefix that the name of a client_block resource denotes; nothing for any
// other name.
std::optional<Ipv4Prefix>
PrefixOfBlockName(std::string_view aName);

// Returns true for a valid IPv4 or IPv6 address.
bool
IsIpAddress(const std::string& aText);

} // namespace plantainhaven
