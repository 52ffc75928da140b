#include "plantainhaven/standin/free_port.h"

#include <mutex>
#include <netinet/in.h>
#include <optional>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace plantainhaven {

namespace {

// The range ends below the ports of scripts/lib.sh, which begin at 20000.
constexpr std::uint16_t kFirstPort = 12000;
constexpr std::uint16_t kPorts = 8000;
// Distance between the first ports of processes with consecutive ids, so that concurrent
// processes search different parts of the range.
constexpr int kStride = 97;

// Returns the bound port, or nothing when the port is in use.
std::optional<std::uint16_t>
TryPort(std::uint16_t aPort)
{
  const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  auto* const generic = reinterpret_cast<sockaddr*>(&address);
  const bool isFound =
    ::bind(descriptor, generic, size) == 0 && ::getsockname(descriptor, generic, &size) == 0;
  ::close(descriptor);
  return isFound ? std::optional<std::uint16_t>(ntohs(address.sin_port)) : std::nullopt;
}

} // namespace

std::uint16_t
FreePort()
{
  static std::mutex sMutex;
  static PortRange sPorts;
  const std::lock_guard<std::mutex> lock(sMutex);
  return sPorts.Next();
}

PortRange::PortRange()
  : offset(static_cast<std::uint16_t>(::getpid() * kStride % kPorts))
{
}

std::uint16_t
PortRange::Next()
{
  for (int tries = 0; tries < kPorts; ++tries) {
    const int place = (this->offset + this->handedOut++) % kPorts;
    if (const auto port = TryPort(static_cast<std::uint16_t>(kFirstPort + place))) {
      return *port;
    }
  }
  throw std::runtime_error("no free port left between 12000 and 19999");
}

} // namespace plantainhaven
