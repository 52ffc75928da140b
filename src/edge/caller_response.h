#pragma once

#include "edge/exchange.h"
#include "edge/net.h"

#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <string>
#include <string_view>
#include <utility>

namespace plantainhaven::edge {

// An error response that the module itself generates.
struct Refusal
{
  unsigned status = 503;
  std::string reason;
  // Value of the Retry-After field; zero when the response has none.
  std::chrono::milliseconds retryAfter{ 0 };
};

// Writes the response to one request of a caller.
class CallerResponse
{
public:
  struct Form
  {
    unsigned version = 11;
    // The request's method; empty if the request couldn't be read as far as that.
    std::string method;
    bool keepsAlive = true;
    // In a response to another VM: how the attempt at the backend server ended.
    const char* relayOutcome = nullptr;
  };

  CallerResponse(beast::tcp_stream& aCaller, Form aForm)
    : caller(aCaller)
    , form(std::move(aForm))
  {
  }

  // Forwards a server's response, buffered or streamed. Returns false when the response couldn't be
  // sent completely; the caller's connection must be closed in that case.
  Task<bool> Forward(Exchange& aExchange);
  Task<bool> Refuse(const Refusal& aRefusal, std::string_view aRequestId);
  // The end of the connection is the end of the response, so the connection must be closed after
  // it.
  bool EndsWithConnection() const { return this->endsWithConnection; }

private:
  Task<bool> ForwardBuffered(Exchange& aExchange);
  Task<bool> ForwardStream(Exchange& aExchange);
  void SignalCut();
  void SetOutcome(http::fields& aFields) const;

  beast::tcp_stream& caller;
  Form form;
  bool endsWithConnection = false;
};

} // namespace plantainhaven::edge
