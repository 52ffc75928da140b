#include "edge/caller_session.h"

#include "edge/relay_run.h"
#include "edge/request_run.h"

#include <netinet/tcp.h>
#include <sys/socket.h>
#include <utility>

namespace plantainhaven::edge {
namespace {

// TCP keep-alive probes detect callers that disappeared without closing their connection.
constexpr std::chrono::seconds kProbeInterval{ 5 };
constexpr int kProbes = 2;
// The account, the deadline and the server, which the relaying VM's peer adds to a request.
constexpr std::size_t kMaxRelayFieldBytes = 4096;

void
PrepareSocket(Tcp::socket& aSocket)
{
  beast::error_code ignored;
  aSocket.set_option(Tcp::no_delay(true), ignored);
  aSocket.set_option(asio::socket_base::keep_alive(true), ignored);
  const int handle = aSocket.native_handle();
  const int seconds = static_cast<int>(kProbeInterval.count());
  ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPIDLE, &seconds, sizeof(seconds));
  ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPINTVL, &seconds, sizeof(seconds));
  ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPCNT, &kProbes, sizeof(kProbes));
}

CallerLimits
LimitsOf(const TrafficState& aState)
{
  const RoutingPtr& routing = aState.dispatcher.CurrentRouting();
  return routing == nullptr ? CallerLimits() : routing->limits;
}

// The response status for a request that couldn't be read; 0 when the connection is closed without
// a response.
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
Reject(TrafficState& aState,
       beast::tcp_stream& aStream,
       CallerRequest& aRequest,
       CallerBody& aBody,
       unsigned aStatus)
{
  CallerWatch watch(aStream.socket());
  RequestRun run(aState, aStream, watch, aRequest, aBody);
  co_await run.Reject(aStatus, "unusable_request");
}

// Sends "100 Continue" to a caller that expects it before it sends the body.
Task<void>
AnswerExpectation(beast::tcp_stream& aStream, const CallerRequest& aRequest)
{
  if (!beast::iequals(aRequest[http::field::expect], "100-continue")) {
    co_return;
  }
  const http::response<http::empty_body> interim(http::status::continue_, aRequest.version());
  beast::error_code ignored;
  co_await http::async_write(aStream, interim, Into(ignored));
}

Task<bool>
RunForCaller(TrafficState& aState,
             beast::tcp_stream& aStream,
             CallerWatch& aWatch,
             CallerRequest& aRequest,
             CallerBody& aBody)
{
  RequestRun run(aState, aStream, aWatch, aRequest, aBody);
  co_return co_await run.Run();
}

Task<bool>
RunForVm(TrafficState& aState,
         beast::tcp_stream& aStream,
         CallerWatch& aWatch,
         CallerRequest& aRequest,
         CallerBody& aBody)
{
  RelayRun run(aState, aStream, aWatch, aRequest, aBody);
  co_return co_await run.Run();
}

// Reads the body as far as it is buffered, unless new requests are rejected by then.
Task<beast::error_code>
ReadFirstOfBody(TrafficState& aState,
                beast::tcp_stream& aStream,
                const CallerRequest& aRequest,
                CallerBody& aBody)
{
  if (aState.IsRejecting()) {
    co_return beast::error_code();
  }
  const OpenRequest open(aState);
  const StopNotice rejecting(aState, StopPhase::kRejecting, [&aBody] { aBody.Cancel(); });
  co_await AnswerExpectation(aStream, aRequest);
  co_await aBody.ReadFirst();
  co_return aBody.IsCancelled() ? beast::error_code() : aBody.Fault();
}

// Serves one request. Returns false when the connection must be closed.
Task<bool>
ServeRequest(TrafficState& aState,
             beast::tcp_stream& aStream,
             beast::flat_buffer& aBuffer,
             const SessionHandler& aHandler)
{
  const CallerLimits limits = LimitsOf(aState);
  const std::size_t maxHeaderBytes = limits.maxHeaderBytes + aHandler.extraHeaderBytes;
  aBuffer.max_size(maxHeaderBytes + kMaxBufferBytes);
  CallerParser parser;
  parser.header_limit(static_cast<std::uint32_t>(maxHeaderBytes));
  parser.body_limit(limits.maxBodyBytes);
  beast::error_code fault;
  aStream.expires_after(limits.idleTimeout + limits.headerTimeout);
  co_await http::async_read_header(aStream, aBuffer, parser, Into(fault));
  CallerBody body(aStream, aBuffer, parser, limits.idleTimeout);
  if (!fault) {
    fault = co_await ReadFirstOfBody(aState, aStream, parser.get(), body);
  }
  bool isOpen = false;
  aStream.expires_never();
  if (!fault) {
    CallerWatch watch(aStream.socket());
    isOpen = co_await aHandler.run(aState, aStream, watch, parser.get(), body);
  } else if (const unsigned status = StatusOf(fault); status != 0) {
    co_await Reject(aState, aStream, parser.get(), body, status);
  }
  if (!isOpen) {
    beast::error_code ignored;
    aStream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
  }
  if (!isOpen && parser.is_header_done() && !parser.is_done()) {
    co_await body.Drain();
  }
  co_return isOpen;
}

} // namespace

const SessionHandler kCallerSession{ .connectionsMetric = "plantainhaven_caller_connections_total",
                                     .extraHeaderBytes = 0,
                                     .run = RunForCaller };
const SessionHandler kRelaySession{ .connectionsMetric = "plantainhaven_relay_connections_total",
                                    .extraHeaderBytes = kMaxRelayFieldBytes,
                                    .run = RunForVm };

Task<void>
ServeSession(TrafficState& aState, Tcp::socket aSocket, const SessionHandler& aHandler)
{
  PrepareSocket(aSocket);
  beast::tcp_stream stream(std::move(aSocket));
  beast::flat_buffer buffer;
  bool isOpen = true;
  while (isOpen) {
    isOpen = co_await ServeRequest(aState, stream, buffer, aHandler);
  }
}

} // namespace plantainhaven::edge
