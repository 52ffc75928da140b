#pragma once

#include "plantainhaven/common/result.h"
#include "plantainhaven/http/message.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace plantainhaven {

struct HttpServerOptions
{
  std::string address;
  std::uint16_t port = 0;
  // Threads, one per request being served; idle connections take none.
  std::size_t threads = 16;
  // Connections with a request that may wait for a thread; more get 503 and are closed.
  std::size_t queue = 256;
  // Larger request bodies get 413.
  std::size_t maxBody = 1 << 20;
  std::chrono::milliseconds readTimeout{ 5000 };
  std::chrono::milliseconds writeTimeout{ 5000 };
  std::chrono::milliseconds keepAlive{ 5000 };
  // Requests on one connection before it is closed.
  std::size_t keepAliveRequests = 100000;
  // Headers added to the 503 and 413 answers that the server gives by itself.
  HttpHeaders refusalHeaders = {};
};

// An HTTP/1.1 server over cpp-httplib with bounded threads, queue and bodies.
// Start() begins to accept; the handler is called from many threads at once.
class HttpServer
{
public:
  using Handler = std::function<HttpResponse(const HttpRequest&)>;

  HttpServer(HttpServerOptions aOptions, Handler aHandler);
  // Stops at once if it still runs.
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Binds, listens and returns; fails when the address is in use.
  Result<Done> Start();
  // From now on every answer carries Connection: close, so that callers move to
  // other connections. New connections are still accepted.
  void BeginDrain();
  // Stops accepting, waits up to `aLongest` for requests in flight and returns how
  // many were still running.
  std::size_t Stop(std::chrono::milliseconds aLongest);
  // The port that is listened on, also when the options gave 0 for any free one.
  std::uint16_t Port() const;
  // Requests being handled now.
  std::size_t InFlight() const;
  // Connections refused because the queue was full.
  std::uint64_t RefusedConnections() const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace plantainhaven
