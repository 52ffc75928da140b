#include "http/server_connection.h"

#include <array>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace plantainhaven {

namespace {

constexpr std::size_t kDiscardSize = 16384;

// The other end of a connection; of another family than AF_INET when not known.
sockaddr_in
PeerName(int aDescriptor)
{
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  if (::getpeername(aDescriptor, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
    return {};
  }
  return address;
}

std::string
PeerAddress(int aDescriptor)
{
  const sockaddr_in address = PeerName(aDescriptor);
  std::array<char, INET_ADDRSTRLEN> text{};
  if (address.sin_family != AF_INET) {
    return {};
  }
  ::inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
  return text.data();
}

} // namespace

ServerConnection::ServerConnection(int aDescriptor)
  : stream(aDescriptor)
  , descriptor(aDescriptor)
  , remoteAddress(PeerAddress(aDescriptor))
  , remotePort(ntohs(PeerName(aDescriptor).sin_port))
{
  const int on = 1;
  ::setsockopt(this->descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

ServerConnection::~ServerConnection()
{
  ::close(this->descriptor);
}

bool
ServerConnection::IsQuiet() const
{
  pollfd entry{ this->descriptor, POLLIN, 0 };
  return !this->stream.HasInput() && ::poll(&entry, 1, 0) == 0;
}

void
ServerConnection::SendLast(const std::string& aBytes)
{
  if (!aBytes.empty()) {
    ::send(this->descriptor, aBytes.data(), aBytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
  }
  ::shutdown(this->descriptor, SHUT_WR);
}

bool
ServerConnection::Discard()
{
  std::array<char, kDiscardSize> bytes;
  const ssize_t count = ::recv(this->descriptor, bytes.data(), bytes.size(), MSG_DONTWAIT);
  return count > 0 || (count < 0 && (errno == EAGAIN || errno == EINTR));
}

void
ServerConnection::Cut()
{
  ::shutdown(this->descriptor, SHUT_RDWR);
}

} // namespace plantainhaven
