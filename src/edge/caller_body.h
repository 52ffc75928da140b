#pragma once

#include "edge/net.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <string>

namespace plantainhaven::edge {

namespace http = beast::http;

using CallerParser = http::request_parser<http::buffer_body>;
using CallerRequest = http::request<http::buffer_body>;

// The body of a caller's request. A short body is buffered whole, so that the request can be
// retried. The parts of a longer body are read as they are sent to the backend server.
class CallerBody
{
public:
  // `aReadTimeout` is the timeout for each read.
  CallerBody(beast::tcp_stream& aStream,
             beast::flat_buffer& aBuffer,
             CallerParser& aParser,
             std::chrono::milliseconds aReadTimeout);

  // Buffers the body until its end, or until at least kMaxBufferedBytes are read.
  Task<void> ReadFirst();
  const std::string& First() const { return this->first; }
  // Reads the next part. Returns an empty string at the end of the body or after an error, which
  // Fault() returns.
  Task<std::string> ReadMore();
  // Cancels the pending read when the rest of the body isn't needed. The caller can be answered.
  void Cancel();
  // Reads and discards the rest of the body for a limited time, so that a connection reset doesn't
  // reach the caller before it has read its response.
  Task<void> Drain();

  bool IsWhole() const { return this->parser.is_done(); }
  // Parts beyond First() were read and not kept, so the request can't be retried.
  bool IsConsumed() const { return this->isConsumed; }
  const beast::error_code& Fault() const { return this->fault; }
  // Receiving the body failed before its end, and not because of the body limit or of Cancel(). The
  // caller usually has disconnected.
  bool HasFailed() const
  {
    return this->fault && !this->isCancelled && this->fault != http::error::body_limit;
  }
  bool IsCancelled() const { return this->isCancelled; }

  static constexpr std::size_t kMaxBufferedBytes = 64 << 10;

private:
  Task<std::string> ReadPart(std::size_t aMaxBytes);

  beast::tcp_stream& stream;
  beast::flat_buffer& buffer;
  CallerParser& parser;
  std::chrono::milliseconds readTimeout;
  std::string first;
  beast::error_code fault;
  bool isConsumed = false;
  bool isCancelled = false;
};

} // namespace plantainhaven::edge
