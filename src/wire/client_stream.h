#pragma once

// With g++ 12, Asio 1.74 requires <utility> before its coroutine headers.
#include <utility>

#include "plantainhaven/policy/response/response_rules.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace plantainhaven::wire {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

// True when the connection is open and has no bytes to read. Bytes received while no request is in
// flight belong to no request, so such a connection can't be reused.
bool
IsOpenAndEmpty(beast::tcp_stream& aStream);

// Writes a request to a connection and reads its response, at the same time if the request is long.
// Everything that is read or written goes through this class, because a connection tells only one
// of its operations that it broke. A response that isn't one of HTTP/1.1 is an error of ReadHead(),
// one that isn't whole an error of ReadPart(). Must be used from one thread.
class ClientStream
{
public:
  using Head = http::response_header<http::fields>;

  struct Limits
  {
    std::uint32_t headBytes = 0;
    std::uint64_t bodyBytes = 0;
  };

  // `aBuffer` holds what was received beyond the response. Both must outlive the reads and writes.
  ClientStream(beast::tcp_stream& aStream, beast::flat_buffer& aBuffer, Limits aLimits);

  // Writes a message, or the next part of one from its serializer.
  template<typename Source>
  asio::awaitable<beast::error_code> Write(Source& aSource)
  {
    this->isWriting = true;
    beast::error_code fault;
    co_await http::async_write(
      this->stream, aSource, asio::redirect_error(asio::use_awaitable, fault));
    co_return this->EndWrite(fault);
  }
  template<typename Serializer>
  asio::awaitable<beast::error_code> WriteHead(Serializer& aSerializer)
  {
    this->isWriting = true;
    beast::error_code fault;
    co_await http::async_write_header(
      this->stream, aSerializer, asio::redirect_error(asio::use_awaitable, fault));
    co_return this->EndWrite(fault);
  }

  // Reads the head of the next response. `aIsToHead`: the request's method is HEAD.
  asio::awaitable<beast::error_code> ReadHead(bool aIsToHead);
  // Appends up to `aMaxBytes` bytes of the body. Cancels a pending write where the body ends with
  // the connection.
  asio::awaitable<beast::error_code> ReadPart(std::string& aBody, std::size_t aMaxBytes);

  // The response's head; empty unless ReadHead() has succeeded.
  const Head& ResponseHead() const { return this->head; }
  void EraseField(beast::string_view aName) { this->head.erase(aName); }
  std::optional<std::uint64_t> ContentLength() const { return this->contentLength; }
  // The whole response was received.
  bool IsWhole() const { return this->isWhole; }
  // The whole response was received, and the connection can take another request.
  bool IsReusable() const;

private:
  beast::error_code EndWrite(beast::error_code aFault);
  // Reads and parses a head. The parser would join folded lines without a word.
  asio::awaitable<beast::error_code> ParseHead();
  // What was received of the head and isn't parsed yet.
  std::string_view BufferedHead() const;
  asio::awaitable<beast::error_code> Receive();
  // Whether the parsed head is one of HTTP/1.1, by the rules of policy/response.
  beast::error_code CheckHead(bool aIsToHead);
  void TakeHead();
  // Waits for the pending write, whose error may be the only one that tells that the connection
  // broke.
  asio::awaitable<void> EndPendingWrite();
  ConnectionEnd End() const;

  beast::tcp_stream& stream;
  beast::flat_buffer& buffer;
  Limits limits;
  std::optional<http::response_parser<http::buffer_body>> parser;
  Head head;
  std::optional<std::uint64_t> contentLength;
  Framing framing = Framing::kNone;
  bool isWhole = false;
  bool keepsAlive = false;
  bool isWriting = false;
  beast::error_code writeFault;
  // Cancelled when a write ends.
  asio::steady_timer written;
};

} // namespace plantainhaven::wire
