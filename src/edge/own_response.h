#pragma once

#include "edge/net.h"

#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <string>
#include <string_view>

namespace plantainhaven::edge {

// Writes a response that the module itself has made. Its length is that of the response to GET, and
// its body is left out if `aMethod`, the request's method, permits none. An empty `aMethod` means
// that the request couldn't be read; the response has no body then, since the method may be HEAD.
Task<beast::error_code>
WriteOwnResponse(beast::tcp_stream& aStream,
                 beast::http::response<beast::http::string_body> aResponse,
                 std::string_view aMethod);

} // namespace plantainhaven::edge
