#include "edge/own_response.h"

#include "plantainhaven/policy/response/response_rules.h"

#include <utility>

namespace plantainhaven::edge {

namespace http = beast::http;

Task<beast::error_code>
WriteOwnResponse(beast::tcp_stream& aStream,
                 http::response<http::string_body> aResponse,
                 std::string_view aMethod)
{
  if (aMethod.empty()) {
    aResponse.body().clear();
  }
  aResponse.prepare_payload();
  const bool hasBody = MayHaveBody(static_cast<int>(aResponse.result_int()), aMethod);
  http::response_serializer<http::string_body> serializer(aResponse);
  serializer.split(!hasBody);
  beast::error_code fault;
  if (hasBody) {
    co_await http::async_write(aStream, serializer, Into(fault));
  } else {
    co_await http::async_write_header(aStream, serializer, Into(fault));
  }
  co_return fault;
}

} // namespace plantainhaven::edge
