#include "edge/caller_session.h"

#include <netinet/tcp.h>
#include <sys/socket.h>
#include <utility>

namespace plantainhaven::edge {
namespace {

// A keep-alive probe every few seconds finds callers that vanished without a close.
constexpr int kProbeAfterSeconds = 5;
constexpr int kProbes = 2;

using Parser = http::request_parser<http::string_body>;

void
PrepareSocket(Tcp::socket& aSocket)
{
  beast::error_code ignored;
  aSocket.set_option(Tcp::no_delay(true), ignored);
  aSocket.set_option(asio::socket_base::keep_alive(true), ignored);
  const int handle = aSocket.native_handle();
  ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPIDLE, &kProbeAfterSeconds, sizeof(kProbeAfterSeconds));
  ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPINTVL, &kProbeAfterSeconds, sizeof(kProbeAfterSeconds));
  ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPCNT, &kProbes, sizeof(kProbes));
}

CallerLimits
LimitsOf(const TrafficState& aState)
{
  const RoutingPtr& routing = aState.dispatcher.CurrentRouting();
  return routing == nullptr ? CallerLimits() : routing->limits;
}

// The status that a request with this fault gets; 0 when the connection just ends.
unsigned
StatusOf(const beast::error_code& aFault)
{
  if (aFault == http::error::header_limit) {
    return 431;
  }
  if (aFault == http::error::body_limit) {
    return 413;
  }
  if (aFault == http::error::end_of_stream || aFault == http::error::partial_message ||
      aFault.category() != http::make_error_code(http::error::bad_target).category()) {
    return 0;
  }
  return 400;
}

Task<void>
RejectAndDrain(TrafficState& aState,
               beast::tcp_stream& aStream,
               CallerRequest& aRequest,
               unsigned aStatus)
{
  CallerWatch watch(aStream.socket());
  RequestRun run(aState, aStream, watch, aRequest);
  co_await run.Reject(aStatus, "unusable_request");
  beast::error_code ignored;
  aStream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
}

} // namespace

Task<void>
ServeCaller(TrafficState& aState, Tcp::socket aSocket)
{
  PrepareSocket(aSocket);
  beast::tcp_stream stream(std::move(aSocket));
  beast::flat_buffer buffer;
  bool isOpen = true;
  while (isOpen) {
    const CallerLimits limits = LimitsOf(aState);
    Parser parser;
    parser.header_limit(static_cast<std::uint32_t>(limits.maxHeaderBytes));
    parser.body_limit(limits.maxBodyBytes);
    beast::error_code fault;
    stream.expires_after(limits.idleTimeout + limits.headerTimeout);
    co_await http::async_read_header(stream, buffer, parser, Into(fault));
    if (!fault) {
      stream.expires_after(limits.idleTimeout);
      co_await http::async_read(stream, buffer, parser, Into(fault));
    }
    if (fault) {
      const unsigned status = StatusOf(fault);
      if (status != 0) {
        co_await RejectAndDrain(aState, stream, parser.get(), status);
      }
      break;
    }
    stream.expires_never();
    CallerRequest request = parser.release();
    CallerWatch watch(stream.socket());
    RequestRun run(aState, stream, watch, request);
    isOpen = co_await run.Run();
  }
  beast::error_code ignored;
  stream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
}

} // namespace plantainhaven::edge
