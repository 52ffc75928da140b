#include "fleet/zmq_support.h"
#include "plantainhaven/fleet/local_link.h"

#include <utility>

namespace plantainhaven {
namespace {

constexpr int kQueue = 64;
constexpr std::int64_t kMaxRequestBytes = 4LL << 20;
// Limits the requests that one ProcessRequests() call handles, so that a flood of requests
// can't block the control thread.
constexpr std::size_t kMaxRequestsPerCall = 256;

// Message parts of a request from LocalClient: routing id, request number, request.
constexpr std::size_t kRoutingPart = 0;
constexpr std::size_t kNumberPart = 1;
constexpr std::size_t kBodyPart = 2;
constexpr std::size_t kParts = 3;

} // namespace

struct LocalServer::Impl
{
  bool SendAnswer(std::vector<zmq::message_t>& aRequestParts, const ViewAnswer& aAnswer);

  zmq::context_t context;
  zmq::socket_t socket =
    OpenZmqSocket(this->context,
                  zmq::socket_type::router,
                  ZmqSocketOptions{ .queue = kQueue, .maxMessageBytes = kMaxRequestBytes });
};

bool
LocalServer::Impl::SendAnswer(std::vector<zmq::message_t>& aRequestParts, const ViewAnswer& aAnswer)
{
  const zmq::send_flags more = zmq::send_flags::dontwait | zmq::send_flags::sndmore;
  try {
    if (!this->socket.send(std::move(aRequestParts[kRoutingPart]), more)) {
      return false;
    }
    this->socket.send(std::move(aRequestParts[kNumberPart]), more);
    this->socket.send(ToPart(aAnswer), zmq::send_flags::dontwait);
  } catch (const zmq::error_t&) {
    // The client has disconnected; it retries on a new connection.
    return false;
  }
  return true;
}

LocalServer::LocalServer()
  : impl(std::make_unique<Impl>())
{
}

LocalServer::~LocalServer() = default;

Result<Done>
LocalServer::Bind(const std::string& aAddress, std::uint16_t aPort)
{
  return BindTcp(this->impl->socket, aAddress, aPort);
}

std::size_t
LocalServer::ProcessRequests(const std::function<ViewAnswer(const ViewAsk&)>& aAnswer)
{
  std::size_t answered = 0;
  for (std::size_t count = 0; count < kMaxRequestsPerCall; ++count) {
    std::vector<zmq::message_t> parts = ReceiveParts(this->impl->socket);
    if (parts.empty()) {
      break;
    }
    ViewAsk ask;
    if (parts.size() != kParts || !ParsePart(parts[kBodyPart], ask)) {
      continue;
    }
    answered += this->impl->SendAnswer(parts, aAnswer(ask)) ? 1 : 0;
  }
  return answered;
}

} // namespace plantainhaven
