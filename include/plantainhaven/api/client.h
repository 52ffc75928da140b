#pragma once

#include "plantainhaven/common/result.h"
#include "plantainhaven/http/message.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "resources.pb.h"

namespace plantainhaven {

// Where one VM serves the resource API.
struct ApiServer
{
  std::string address;
  std::uint16_t port = 0;
};

// Reads ADDRESS:PORT; an IPv6 number is written in brackets.
Result<ApiServer>
ParseApiServer(std::string_view aText);

struct ApiClientOptions
{
  // Tried in this order, beginning with the one that answered last.
  std::vector<ApiServer> servers;
  std::string token;
  // Longest wait for one answer of one server.
  std::chrono::milliseconds timeout{ 10000 };
};

// A client of the resource API that knows several servers. Every write carries a
// change id, so that repeating it through another server takes effect at most once.
// Not safe for several threads at once.
class ApiClient
{
public:
  explicit ApiClient(ApiClientOptions aOptions);
  ~ApiClient();
  ApiClient(const ApiClient&) = delete;
  ApiClient& operator=(const ApiClient&) = delete;

  // Sends a request to the first server that answers it. A server that can't be
  // reached or answers 503 is passed over. A write whose outcome is unknown is
  // repeated with the same change id, twice through every server at most. The answer
  // may have any status but 504. Errors: kUnavailable, when no server could be
  // reached; kUnknown, when a write may have taken effect.
  Result<HttpResponse> Send(HttpRequest aRequest);
  // The same with another wait for each answer.
  Result<HttpResponse> Send(HttpRequest aRequest, std::chrono::milliseconds aTimeout);

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

// Makes a request of the resource API. `aTarget` is a path with its query.
HttpRequest
MakeApiRequest(std::string aMethod, std::string aTarget, std::string aBody = {});

// Reads resources as people write them in a file: one Resource, an array of them, or
// an ApplyRequest. kInvalid names `aFileName` and what is wrong.
Result<ApplyRequest>
ParseResourceFile(const std::string& aFileName, const std::string& aText);

} // namespace plantainhaven
