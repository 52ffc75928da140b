#pragma once

#include "plantainhaven/http/message.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

namespace plantainhaven {

// Why an exchange gave no whole answer, and what may have happened at the server.
enum class ExchangeFailure
{
  kConnect,   // No connection: no byte was sent, so the request didn't run.
  kTimeout,   // Sent at least in part, no whole answer in time: outcome unknown.
  kBroken,    // Connection lost after the first byte was sent: outcome unknown.
  kTruncated, // The answer ended early: outcome unknown.
  kTooLarge,  // The answer was longer than the bound: outcome unknown.
};

// Names a failure as metrics write it, for example "connect".
const char*
ToString(ExchangeFailure aFailure) noexcept;

struct HttpClientOptions
{
  std::string address;
  std::uint16_t port = 0;
  std::chrono::milliseconds connectTimeout{ 300 };
  std::size_t maxAnswer = 64 << 20;
};

// One HTTP/1.1 connection, with one exchange in flight at a time. After any failure
// the connection is closed, so that a late answer can't reach another request.
// Never sends a request twice by itself. Not safe for several threads at once. An
// answer with trailers counts as broken, since cpp-httplib 0.11 reads none.
class HttpConnection
{
public:
  explicit HttpConnection(HttpClientOptions aOptions);
  ~HttpConnection();
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  // Opens the connection if it isn't open. Returns false when that fails.
  bool Connect();
  // True while a connection is open and the other end has not closed it, as far as
  // this end can see.
  bool IsOpen() const;
  // Sends a request and waits for the whole answer, at most `aTimeout`. A closed
  // connection is opened first.
  std::variant<HttpResponse, ExchangeFailure> Exchange(const HttpRequest& aRequest,
                                                       std::chrono::milliseconds aTimeout);
  // Closes the connection; safe from another thread, which cancels an exchange.
  void Close();

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace plantainhaven
