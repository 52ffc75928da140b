#pragma once

#include <cstdint>
#include <stdexcept>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace plantainhaven {

// A TCP port on loopback that was free just now.
inline std::uint16_t
FreePort()
{
  const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  const bool found =
    ::bind(descriptor, generic, size) == 0 && ::getsockname(descriptor, generic, &size) == 0;
  ::close(descriptor);
  if (!found) {
    throw std::runtime_error("no free port on loopback");
  }
  return ntohs(address.sin_port);
}

} // namespace plantainhaven
