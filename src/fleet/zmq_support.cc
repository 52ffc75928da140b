#include "fleet/zmq_support.h"

#include <algorithm>
#include <limits>
#include <string_view>

namespace plantainhaven {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::string_view kTcpScheme = "tcp://";
constexpr std::string_view kEndpointCharacters = "0123456789abcdefABCDEF.:[]";

constexpr milliseconds kConnectTimeout{ 1000 };
constexpr milliseconds kHandshakeTimeout{ 1000 };
constexpr milliseconds kMaxReconnectInterval{ 1000 };
constexpr seconds kKeepAliveIdle{ 5 };
constexpr seconds kKeepAliveInterval{ 2 };
constexpr int kKeepAliveProbes = 3;

int
ToInt(std::chrono::milliseconds aTime)
{
  return static_cast<int>(aTime.count());
}

int
ToInt(std::chrono::seconds aTime)
{
  return static_cast<int>(aTime.count());
}

} // namespace

zmq::socket_t
OpenZmqSocket(zmq::context_t& aContext, zmq::socket_type aType, const ZmqSocketOptions& aOptions)
{
  zmq::socket_t socket(aContext, aType);
  socket.set(zmq::sockopt::linger, 0);
  socket.set(zmq::sockopt::immediate, true);
  socket.set(zmq::sockopt::sndhwm, aOptions.queue);
  socket.set(zmq::sockopt::rcvhwm, aOptions.queue);
  socket.set(zmq::sockopt::maxmsgsize, aOptions.maxMessageBytes);
  socket.set(zmq::sockopt::connect_timeout, ToInt(kConnectTimeout));
  socket.set(zmq::sockopt::handshake_ivl, ToInt(kHandshakeTimeout));
  socket.set(zmq::sockopt::reconnect_ivl, ToInt(aOptions.reconnect));
  socket.set(zmq::sockopt::reconnect_ivl_max, ToInt(kMaxReconnectInterval));
  socket.set(zmq::sockopt::tcp_keepalive, 1);
  socket.set(zmq::sockopt::tcp_keepalive_idle, ToInt(kKeepAliveIdle));
  socket.set(zmq::sockopt::tcp_keepalive_intvl, ToInt(kKeepAliveInterval));
  socket.set(zmq::sockopt::tcp_keepalive_cnt, kKeepAliveProbes);
  return socket;
}

std::string
TcpEndpoint(const std::string& aAddress, std::uint16_t aPort)
{
  const bool isIpv6 = aAddress.find(':') != std::string::npos;
  const std::string host = isIpv6 ? "[" + aAddress + "]" : aAddress;
  return std::string(kTcpScheme) + host + ":" + std::to_string(aPort);
}

bool
IsTcpEndpoint(const std::string& aEndpoint)
{
  const std::string_view endpoint = aEndpoint;
  if (endpoint.substr(0, kTcpScheme.size()) != kTcpScheme) {
    return false;
  }
  const std::string_view rest = endpoint.substr(kTcpScheme.size());
  return !rest.empty() && rest.find_first_not_of(kEndpointCharacters) == std::string_view::npos;
}

Result<Done>
BindTcp(zmq::socket_t& aSocket, const std::string& aAddress, std::uint16_t aPort)
{
  const std::string endpoint = TcpEndpoint(aAddress, aPort);
  try {
    aSocket.set(zmq::sockopt::ipv6, aAddress.find(':') != std::string::npos);
    aSocket.bind(endpoint);
  } catch (const zmq::error_t& error) {
    return Error{ ErrorKind::kUnavailable,
                  "can't listen on " + endpoint + ": " + error.what(),
                  "choose an address of this VM and a port that no other process uses" };
  }
  return Done{};
}

bool
WaitReadable(zmq::socket_t& aSocket, std::chrono::milliseconds aTimeout)
{
  zmq::pollitem_t item{ aSocket.handle(), 0, ZMQ_POLLIN, 0 };
  const milliseconds timeout = std::max(aTimeout, milliseconds(0));
  try {
    return zmq::poll(&item, 1, timeout) > 0;
  } catch (const zmq::error_t&) {
    // A signal interrupted the wait; the caller polls again.
    return false;
  }
}

std::vector<zmq::message_t>
ReceiveParts(zmq::socket_t& aSocket)
{
  std::vector<zmq::message_t> parts;
  bool more = true;
  while (more) {
    zmq::message_t part;
    try {
      if (!aSocket.recv(part, zmq::recv_flags::dontwait)) {
        return {};
      }
    } catch (const zmq::error_t&) {
      return {};
    }
    more = part.more();
    parts.push_back(std::move(part));
  }
  return parts;
}

bool
ParsePart(const zmq::message_t& aPart, google::protobuf::MessageLite& aMessage)
{
  if (aPart.size() > static_cast<std::size_t>(std::numeric_limits<int>::max())) {
    return false;
  }
  return aMessage.ParseFromArray(aPart.data(), static_cast<int>(aPart.size()));
}

zmq::message_t
ToPart(const google::protobuf::MessageLite& aMessage)
{
  zmq::message_t part(aMessage.ByteSizeLong());
  aMessage.SerializeToArray(part.data(), static_cast<int>(part.size()));
  return part;
}

} // namespace plantainhaven
