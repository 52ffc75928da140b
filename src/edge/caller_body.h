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

// The body of a caller's request. A short one is read whole, so that the request can be
// repeated; the parts of a longer one follow as the backend server takes them.
class CallerBody
{
public:
  // `aStall` is the longest wait for the next bytes.
  CallerBody(beast::tcp_stream& aStream,
             beast::flat_buffer& aBuffer,
             CallerParser& aParser,
             std::chrono::milliseconds aStall);

  // Reads the body up to kHeldBytes.
  Task<void> ReadFirst();
  const std::string& First() const { return this->first; }
  // The next part; empty at the end, or when the body broke off: Fault() tells.
  Task<std::string> ReadMore();
  // Ends what is under way: nobody wants the rest.
  void Cancel();
  // Reads on and drops what comes, for a short while, so that the caller isn't reset before
  // it has read its answer.
  Task<void> Drain();

  bool IsWhole() const { return this->parser.is_done(); }
  // More than First() was read: the request can't be sent a second time.
  bool HasMoved() const { return this->hasMoved; }
  const beast::error_code& Fault() const { return this->fault; }
  // The caller went away before the end of its body.
  bool HasBroken() const { return this->fault && this->fault != http::error::body_limit; }

  static constexpr std::size_t kHeldBytes = 64 << 10;

private:
  Task<std::string> ReadPart(std::size_t aMost);

  beast::tcp_stream& stream;
  beast::flat_buffer& buffer;
  CallerParser& parser;
  std::chrono::milliseconds stall;
  std::string first;
  beast::error_code fault;
  bool hasMoved = false;
  bool isCancelled = false;
};

} // namespace plantainhaven::edge
