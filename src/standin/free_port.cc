#include "plantainhaven/standin/free_port.h"

#include <cerrno>
#include <netinet/in.h>
#include <sys/socket.h>
#include <system_error>
#include <unistd.h>

namespace plantainhaven {

std::uint16_t
FreePort()
{
  const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  auto* const generic = reinterpret_cast<sockaddr*>(&address);
  const bool isFound =
    ::bind(descriptor, generic, size) == 0 && ::getsockname(descriptor, generic, &size) == 0;
  const int fault = errno;
  ::close(descriptor);
  if (!isFound) {
    throw std::system_error(fault, std::generic_category(), "no free port on loopback");
  }
  return ntohs(address.sin_port);
}

} // namespace plantainhaven
