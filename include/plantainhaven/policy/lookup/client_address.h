#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace plantainhaven {

// An IP number of a client. Client blocks are IPv4, so only that form has a value; an
// IPv6 address is valid and lies in no block.
struct ClientAddress
{
  std::optional<std::uint32_t> ipv4;
};

// Reads an IP number; an IPv4 address mapped into IPv6 counts as IPv4. Nothing when the
// text isn't an IP number.
std::optional<ClientAddress>
ParseClientAddress(const std::string& aText);

} // namespace plantainhaven
