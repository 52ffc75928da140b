#include "entry/refusal_response.h"

#include "plantainhaven/entry/request_handler.h"

#include <algorithm>

#include <google/protobuf/util/json_util.h>

#include "resources.pb.h"

namespace plantainhaven {

namespace {

std::string
Body(const RefusalRule& aRule, const RefusalDetails& aDetails)
{
  ErrorAnswer answer;
  answer.set_error(std::string(aRule.name));
  answer.set_message(std::string(aRule.message));
  answer.set_remedy(std::string(aRule.remedy) + aDetails.note);
  std::string json;
  const auto written = google::protobuf::util::MessageToJsonString(answer, &json);
  return written.ok() ? json : "{}";
}

std::chrono::seconds
RetryAfter(const RefusalRule& aRule, const RefusalDetails& aDetails)
{
  const auto known = std::chrono::ceil<std::chrono::seconds>(aDetails.retryAfter);
  return aRule.retryAfter.count() == 0 ? aRule.retryAfter : std::max(aRule.retryAfter, known);
}

} // namespace

HttpHeaders
NotRunHeaders(std::string aReason)
{
  HttpHeaders headers;
  headers.Add("Plantainhaven-Not-Run", "true");
  headers.Add("Plantainhaven-Reason", std::move(aReason));
  headers.Add("Retry-After", "1");
  return headers;
}

HttpResponse
RefusalResponse(RefusalReason aReason, const RefusalDetails& aDetails)
{
  const RefusalRule& refusal = RuleOf(aReason);
  HttpResponse response = JsonResponse(refusal.status, Body(refusal, aDetails));
  if (refusal.notRun) {
    response.headers.Add("Plantainhaven-Not-Run", "true");
  } else {
    response.headers.Add("Plantainhaven-Outcome", "unknown");
  }
  response.headers.Add("Plantainhaven-Reason", std::string(refusal.name));
  const std::chrono::seconds wait = RetryAfter(refusal, aDetails);
  if (wait.count() > 0) {
    response.headers.Add("Retry-After", std::to_string(wait.count()));
  }
  if (refusal.status == 401) {
    response.headers.Add("WWW-Authenticate", "Bearer");
  }
  if (!aDetails.requestId.empty()) {
    response.headers.Add("Plantainhaven-Request-Id", aDetails.requestId);
  }
  return response;
}

} // namespace plantainhaven
