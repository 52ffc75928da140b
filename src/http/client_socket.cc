#include "http/client_socket.h"

#include <algorithm>
#include <cerrno>
#include <optional>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace plantainhaven {

namespace {

using Clock = std::chrono::steady_clock;

std::optional<sockaddr_in>
ParseAddress(const HttpClientOptions& aOptions)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aOptions.port);
  if (::inet_pton(AF_INET, aOptions.address.c_str(), &address.sin_addr) != 1) {
    return std::nullopt;
  }
  return address;
}

} // namespace

int
StartConnect(const HttpClientOptions& aOptions)
{
  const auto address = ParseAddress(aOptions);
  if (!address) {
    return -1;
  }
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor < 0) {
    return -1;
  }
  const int on = 1;
  ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  const auto* generic = reinterpret_cast<const sockaddr*>(&*address);
  if (::connect(descriptor, generic, sizeof(*address)) != 0 && errno != EINPROGRESS) {
    ::close(descriptor);
    return -1;
  }
  return descriptor;
}

bool
FinishConnect(int aDescriptor, std::chrono::milliseconds aLongest)
{
  const auto until = Clock::now() + aLongest;
  pollfd entry{ aDescriptor, POLLOUT, 0 };
  int ready = 0;
  do {
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(until - Clock::now());
    ready = ::poll(&entry, 1, static_cast<int>(std::max<std::int64_t>(left.count(), 0)));
  } while (ready < 0 && errno == EINTR);
  int fault = 0;
  socklen_t size = sizeof(fault);
  return ready > 0 && (entry.revents & POLLHUP) == 0 &&
         ::getsockopt(aDescriptor, SOL_SOCKET, SO_ERROR, &fault, &size) == 0 && fault == 0;
}

bool
IsQuiet(int aDescriptor)
{
  pollfd entry{ aDescriptor, POLLIN | POLLRDHUP, 0 };
  return ::poll(&entry, 1, 0) == 0;
}

} // namespace plantainhaven
