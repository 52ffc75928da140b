#include "plantainhaven/fleet/peer_link.h"

#include "fleet/zmq_support.h"

#include <list>
#include <unordered_map>
#include <utility>

namespace plantainhaven {
namespace {

constexpr std::int64_t kMaxEnvelopeBytes = 64LL << 20;
constexpr int kSendQueue = 64;
constexpr int kReceiveQueue = 256;
constexpr std::size_t kMaxEndpoints = 4096;
constexpr int kSpareSockets = 64;
// Limits the malformed messages that one Receive() call skips, so that a flood of them can't
// block it.
constexpr int kMaxSkipped = 256;

struct Connection
{
  std::string endpoint;
  zmq::socket_t socket;
};

// Most recently used first.
using Connections = std::list<Connection>;

bool
ParseEnvelope(const std::vector<zmq::message_t>& aParts, Envelope& aMessage)
{
  return aParts.size() == 1 && ParsePart(aParts.front(), aMessage);
}

} // namespace

struct ZmqPeerLink::Impl
{
  Impl();

  // Returns the socket for an endpoint and opens it if necessary; null when that fails.
  zmq::socket_t* FindOrOpen(const std::string& aEndpoint);
  zmq::socket_t* Open(const std::string& aEndpoint);
  void Close(const std::string& aEndpoint);

  zmq::context_t context;
  zmq::socket_t inbound;
  Connections connections;
  std::unordered_map<std::string, Connections::iterator> byEndpoint;
  std::uint64_t bytesSent = 0;
  std::uint64_t bytesReceived = 0;
};

ZmqPeerLink::Impl::Impl()
{
  this->context.set(zmq::ctxopt::max_sockets, static_cast<int>(kMaxEndpoints) + kSpareSockets);
  const ZmqSocketOptions options{ .queue = kReceiveQueue, .maxMessageBytes = kMaxEnvelopeBytes };
  this->inbound = OpenZmqSocket(this->context, zmq::socket_type::pull, options);
}

zmq::socket_t*
ZmqPeerLink::Impl::FindOrOpen(const std::string& aEndpoint)
{
  const auto found = this->byEndpoint.find(aEndpoint);
  if (found == this->byEndpoint.end()) {
    return this->Open(aEndpoint);
  }
  this->connections.splice(this->connections.begin(), this->connections, found->second);
  return &found->second->socket;
}

zmq::socket_t*
ZmqPeerLink::Impl::Open(const std::string& aEndpoint)
{
  if (!IsTcpEndpoint(aEndpoint)) {
    return nullptr;
  }
  if (this->connections.size() >= kMaxEndpoints) {
    this->Close(std::string(this->connections.back().endpoint));
  }
  try {
    const ZmqSocketOptions options{ .queue = kSendQueue, .maxMessageBytes = kMaxEnvelopeBytes };
    zmq::socket_t socket = OpenZmqSocket(this->context, zmq::socket_type::push, options);
    socket.set(zmq::sockopt::ipv6, aEndpoint.find('[') != std::string::npos);
    socket.connect(aEndpoint);
    this->connections.push_front(Connection{ aEndpoint, std::move(socket) });
  } catch (const zmq::error_t&) {
    return nullptr;
  }
  this->byEndpoint[aEndpoint] = this->connections.begin();
  return &this->connections.front().socket;
}

void
ZmqPeerLink::Impl::Close(const std::string& aEndpoint)
{
  const auto found = this->byEndpoint.find(aEndpoint);
  if (found == this->byEndpoint.end()) {
    return;
  }
  this->connections.erase(found->second);
  this->byEndpoint.erase(found);
}

ZmqPeerLink::ZmqPeerLink()
  : impl(std::make_unique<Impl>())
{
}

ZmqPeerLink::~ZmqPeerLink() = default;

Result<Done>
ZmqPeerLink::Bind(const std::string& aAddress, std::uint16_t aPort)
{
  return BindTcp(this->impl->inbound, aAddress, aPort);
}

bool
ZmqPeerLink::Send(const std::string& aEndpoint, const Envelope& aMessage)
{
  const std::size_t size = aMessage.ByteSizeLong();
  if (size > static_cast<std::size_t>(kMaxEnvelopeBytes)) {
    return false;
  }
  zmq::socket_t* const socket = this->impl->FindOrOpen(aEndpoint);
  if (socket == nullptr) {
    return false;
  }
  try {
    if (!socket->send(ToPart(aMessage), zmq::send_flags::dontwait)) {
      return false;
    }
  } catch (const zmq::error_t&) {
    return false;
  }
  this->impl->bytesSent += size;
  return true;
}

std::optional<Envelope>
ZmqPeerLink::Receive(std::chrono::milliseconds aTimeout)
{
  using Clock = std::chrono::steady_clock;
  const Clock::time_point deadline = Clock::now() + aTimeout;
  for (int skipped = 0; skipped < kMaxSkipped; ++skipped) {
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(deadline - Clock::now());
    if (!WaitReadable(this->impl->inbound, left)) {
      return std::nullopt;
    }
    const std::vector<zmq::message_t> parts = ReceiveParts(this->impl->inbound);
    for (const zmq::message_t& part : parts) {
      this->impl->bytesReceived += part.size();
    }
    Envelope message;
    if (ParseEnvelope(parts, message)) {
      return message;
    }
  }
  return std::nullopt;
}

void
ZmqPeerLink::Reset(const std::string& aEndpoint)
{
  this->impl->Close(aEndpoint);
}

std::uint64_t
ZmqPeerLink::BytesSent() const
{
  return this->impl->bytesSent;
}

std::uint64_t
ZmqPeerLink::BytesReceived() const
{
  return this->impl->bytesReceived;
}

} // namespace plantainhaven
