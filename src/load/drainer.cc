#include "load/drainer.h"

#include "plantainhaven/common/log.h"
#include "plantainhaven/http/client.h"
#include "plantainhaven/load/scenario.h"

#include <chrono>

namespace plantainhaven {

namespace {

constexpr std::chrono::milliseconds kApiTimeout{ 5000 };
constexpr int kOk = 200;
// Committed, but not yet accepted everywhere.
constexpr int kPending = 202;

HttpRequest
DrainRequest(const LoadScenario::Drain& aDrain)
{
  HttpRequest request;
  request.method = "POST";
  request.path = "/v1/backend_server/" + aDrain.server() + "/drain";
  request.target = request.path;
  request.headers.Add("Authorization", "Bearer " + aDrain.operator_token());
  return request;
}

} // namespace

bool
AskForDrain(const LoadScenario::Drain& aDrain)
{
  const Result<Endpoint> api = ParseEndpoint(aDrain.api());
  if (!IsOk(api)) {
    Log(LogLevel::kError, "drain_failed", { { "error", ErrorOf(api).message } });
    return false;
  }
  HttpClientOptions options;
  options.address = ValueOf(api).address;
  options.port = ValueOf(api).port;
  HttpConnection connection(options);
  const auto result = connection.Exchange(DrainRequest(aDrain), kApiTimeout);
  if (const auto* failure = std::get_if<ExchangeFailure>(&result)) {
    Log(LogLevel::kError, "drain_failed", { { "error", ToString(*failure) } });
    return false;
  }
  const HttpResponse& response = std::get<HttpResponse>(result);
  if (response.status != kOk && response.status != kPending) {
    Log(LogLevel::kError,
        "drain_failed",
        { { "status", response.status }, { "answer", response.body } });
    return false;
  }
  return true;
}

} // namespace plantainhaven
