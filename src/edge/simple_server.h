#pragma once

#include "edge/net.h"

#include <boost/beast/http.hpp>
#include <functional>
#include <string>

namespace plantainhaven::edge {

using SimpleRequest = beast::http::request<beast::http::string_body>;

struct SimpleResponse
{
  unsigned status = 200;
  std::string contentType = "text/plain";
  std::string body;
};

using SimpleHandler = std::function<SimpleResponse(const SimpleRequest&)>;

// Serves small HTTP requests, such as readiness checks, look-ups and metrics, on an address
// until the context ends. Throws boost::system::system_error when the address can't be bound.
void
ServeSimple(asio::io_context& aContext, const Tcp::endpoint& aEndpoint, SimpleHandler aHandler);

// The value of a query parameter, percent-decoded; empty when it is missing.
std::string
QueryValue(std::string_view aTarget, std::string_view aName);

} // namespace plantainhaven::edge
