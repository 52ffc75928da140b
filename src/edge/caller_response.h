#pragma once

#include "edge/exchange.h"
#include "edge/net.h"

#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <string>
#include <string_view>

namespace plantainhaven::edge {

// What this module answers by itself.
struct Refusal
{
  unsigned status = 503;
  std::string reason;
  // Zero when the caller isn't told when to come back.
  std::chrono::milliseconds retryAfter{ 0 };
};

// Writes the answer to one request of a caller.
class CallerResponse
{
public:
  struct Form
  {
    unsigned version = 11;
    // The answer to HEAD has no body.
    bool isHead = false;
    bool keepsAlive = true;
  };

  CallerResponse(beast::tcp_stream& aCaller, Form aForm)
    : caller(aCaller)
    , form(aForm)
  {
  }

  // Passes a server's response on, whole or as it comes. False when the caller didn't get
  // all of it; its connection must be closed then.
  Task<bool> PassOn(Exchange& aExchange);
  Task<bool> Refuse(const Refusal& aRefusal, std::string_view aRequestId);

private:
  Task<bool> PassOnWhole(Exchange& aExchange);
  Task<bool> PassOnStream(Exchange& aExchange);

  beast::tcp_stream& caller;
  Form form;
};

} // namespace plantainhaven::edge
