#pragma once

#include "http/server_connection.h"
#include "http/server_turn.h"
#include "plantainhaven/http/server.h"

#include <atomic>
#include <string>

#include <httplib.h>

namespace plantainhaven {

// Largest request head. Longer ones get 431.
constexpr std::size_t kMaxHead = 32768;

// What to do with a connection after its requests were served.
enum class NextStep
{
  kPark,
  kCloseGently,
  kDrop,
};

struct Outcome
{
  NextStep step = NextStep::kDrop;
  std::string lastBytes = {};
};

// Runs requests: reads the head, lets cpp-httplib read the body and write the answer,
// and calls the handler in between. Used by several threads at once.
class RequestRunner : private httplib::Server
{
public:
  // Both must outlive the runner.
  RequestRunner(const HttpServerOptions& aOptions, const HttpServer::Handler& aHandler);

  // Serves the request that came, and those that were sent along with it.
  Outcome Serve(ServerConnection& aConnection);
  // From now on every answer closes its connection.
  void BeginDrain() { this->isDraining = true; }
  // Requests being handled now.
  std::size_t InFlight() const { return this->inFlight; }

private:
  Outcome AfterHeadFault(StreamFault aFault) const;
  Outcome Refusal(int aStatus) const;
  // Serves one request. True when the connection may stay open.
  bool Take(Turn& aTurn);
  bool Process(Turn& aTurn);
  // The status that refuses the request before its body is read, or 0.
  int RefusalBefore(const RequestHead& aHead) const;
  void ReadAndAnswer(httplib::Response& aOut, const httplib::ContentReader& aReader);
  void Answer(httplib::Response& aOut);
  HttpResponse Handle(const HttpRequest& aRequest) const;

  const HttpServerOptions& options;
  const HttpServer::Handler& handler;
  std::atomic<bool> isDraining{ false };
  std::atomic<std::size_t> inFlight{ 0 };
};

} // namespace plantainhaven
