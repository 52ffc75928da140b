#include "plantainhaven/policy/lookup/client_address.h"

#include <cstring>

#include <arpa/inet.h>

namespace plantainhaven {
namespace {

constexpr std::size_t kMappedPrefixBytes = 12;

std::uint32_t
FromNetworkOrder(const void* aBytes)
{
  std::uint32_t value = 0;
  std::memcpy(&value, aBytes, sizeof(value));
  return ntohl(value);
}

} // namespace

std::optional<ClientAddress>
ParseClientAddress(const std::string& aText)
{
  in_addr ipv4{};
  if (inet_pton(AF_INET, aText.c_str(), &ipv4) == 1) {
    return ClientAddress{ FromNetworkOrder(&ipv4) };
  }
  in6_addr ipv6{};
  if (inet_pton(AF_INET6, aText.c_str(), &ipv6) != 1) {
    return std::nullopt;
  }
  if (IN6_IS_ADDR_V4MAPPED(&ipv6)) {
    return ClientAddress{ FromNetworkOrder(ipv6.s6_addr + kMappedPrefixBytes) };
  }
  return ClientAddress{};
}

} // namespace plantainhaven
