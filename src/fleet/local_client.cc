#include "fleet/zmq_support.h"
#include "plantainhaven/fleet/local_link.h"

#include <algorithm>
#include <cstring>
#include <utility>

namespace plantainhaven {
namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr int kQueue = 4;
// Many times the size of a whole configuration with its client blocks.
constexpr std::int64_t kMaxAnswerBytes = 512LL << 20;
constexpr milliseconds kReconnectInterval{ 10 };

// Message parts of an answer: request number, answer.
constexpr std::size_t kNumberPart = 0;
constexpr std::size_t kBodyPart = 1;
constexpr std::size_t kParts = 2;

milliseconds
RemainingTime(Clock::time_point aDeadline)
{
  return std::max(std::chrono::ceil<milliseconds>(aDeadline - Clock::now()), milliseconds(0));
}

bool
MatchesNumber(const zmq::message_t& aPart, std::uint64_t aNumber)
{
  return aPart.size() == sizeof(aNumber) &&
         std::memcmp(aPart.data(), &aNumber, sizeof(aNumber)) == 0;
}

} // namespace

struct LocalClient::Impl
{
  Impl(const std::string& aAddress, std::uint16_t aPort);

  void Open();
  bool SendRequest(const ViewAsk& aAsk, Clock::time_point aDeadline);
  std::optional<ViewAnswer> WaitForAnswer(Clock::time_point aDeadline);

  zmq::context_t context;
  std::string endpoint;
  bool ipv6;
  zmq::socket_t socket;
  std::uint64_t number = 0;
};

LocalClient::Impl::Impl(const std::string& aAddress, std::uint16_t aPort)
  : endpoint(TcpEndpoint(aAddress, aPort))
  , ipv6(aAddress.find(':') != std::string::npos)
{
  this->Open();
}

void
LocalClient::Impl::Open()
{
  const ZmqSocketOptions options{ .queue = kQueue,
                                  .maxMessageBytes = kMaxAnswerBytes,
                                  .reconnect = kReconnectInterval };
  this->socket = OpenZmqSocket(this->context, zmq::socket_type::dealer, options);
  this->socket.set(zmq::sockopt::ipv6, this->ipv6);
  this->socket.connect(this->endpoint);
}

// Waits for a connection until the deadline at most, so that no request is queued while
// plantain-controld isn't running.
bool
LocalClient::Impl::SendRequest(const ViewAsk& aAsk, Clock::time_point aDeadline)
{
  ++this->number;
  try {
    this->socket.set(zmq::sockopt::sndtimeo, static_cast<int>(RemainingTime(aDeadline).count()));
    zmq::message_t numberPart(&this->number, sizeof(this->number));
    if (!this->socket.send(std::move(numberPart), zmq::send_flags::sndmore)) {
      return false;
    }
    return this->socket.send(ToPart(aAsk), zmq::send_flags::none).has_value();
  } catch (const zmq::error_t&) {
    return false;
  }
}

std::optional<ViewAnswer>
LocalClient::Impl::WaitForAnswer(Clock::time_point aDeadline)
{
  while (WaitReadable(this->socket, RemainingTime(aDeadline))) {
    const std::vector<zmq::message_t> parts = ReceiveParts(this->socket);
    if (parts.size() != kParts || !MatchesNumber(parts[kNumberPart], this->number)) {
      continue;
    }
    ViewAnswer answer;
    if (ParsePart(parts[kBodyPart], answer)) {
      return answer;
    }
  }
  return std::nullopt;
}

LocalClient::LocalClient(const std::string& aAddress, std::uint16_t aPort)
  : impl(std::make_unique<Impl>(aAddress, aPort))
{
}

LocalClient::~LocalClient() = default;

std::optional<ViewAnswer>
LocalClient::RequestView(const ViewAsk& aAsk, std::chrono::milliseconds aTimeout)
{
  const Clock::time_point deadline = Clock::now() + aTimeout;
  std::optional<ViewAnswer> answer;
  if (this->impl->SendRequest(aAsk, deadline)) {
    answer = this->impl->WaitForAnswer(deadline);
  }
  if (!answer) {
    this->impl->Open();
  }
  return answer;
}

} // namespace plantainhaven
