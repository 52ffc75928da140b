#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace plantainhaven {

// An IP address of a client. Client blocks are IPv4 only, so `ipv4` is empty for an IPv6
// address, which is valid but belongs to no block.
struct ClientAddress
{
  std::optional<std::uint32_t> ipv4;
};

// Parses an IP address. An IPv4-mapped IPv6 address is treated as IPv4. Returns nothing if
// the text isn't an IP address.
std::optional<ClientAddress>
ParseClientAddress(const std::string& aText);

} // namespace plantainhaven
