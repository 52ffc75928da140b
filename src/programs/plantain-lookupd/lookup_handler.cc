#include "programs/plantain-lookupd/lookup_handler.h"

#include <array>
#include <optional>
#include <utility>
#include <variant>

#include <google/protobuf/util/json_util.h>

#include "resources.pb.h"

namespace plantainhaven {
namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;
constexpr int kUnavailable = 503;

// Retry-After value for requests rejected because of a temporary condition.
constexpr std::chrono::seconds kRetryAfter{ 1 };

// Error response of each LookupRefusal; kRefusalForms is indexed by its value.
struct RefusalForm
{
  int status;
  const char* message;
  const char* remedy;
};
constexpr std::array kRefusalForms = {
  RefusalForm{ kUnavailable, "this VM's view isn't fresh", "ask another VM" },
  RefusalForm{ kNotFound, "there is no such service", "check the name of the service" },
  RefusalForm{ kUnavailable, "no entry VM can serve now", "ask again later" },
};

std::string
ToJson(const google::protobuf::Message& aMessage)
{
  google::protobuf::util::JsonPrintOptions options;
  options.preserve_proto_field_names = true;
  options.always_print_primitive_fields = true;
  std::string json;
  if (!google::protobuf::util::MessageToJsonString(aMessage, &json, options).ok()) {
    return "{}";
  }
  return json;
}

HttpResponse
ErrorResponse(int aStatus, const char* aError, std::string aMessage, const char* aRemedy)
{
  ErrorAnswer answer;
  answer.set_error(aError);
  answer.set_message(std::move(aMessage));
  answer.set_remedy(aRemedy);
  HttpResponse response = JsonResponse(aStatus, ToJson(answer));
  response.headers.Add("Plantainhaven-Not-Run", "true");
  response.headers.Add("Plantainhaven-Reason", aError);
  response.headers.Add("Cache-Control", "no-store");
  return response;
}

std::mt19937_64&
ThreadRandom()
{
  thread_local std::mt19937_64 sRandom{ std::random_device{}() };
  return sRandom;
}

} // namespace

const LookupHandler::Endpoint LookupHandler::kEndpoints[] = {
  { "/v1/lookup", &LookupHandler::LookUp },
  { "/.plantainhaven/health", &LookupHandler::Health },
  { "/.plantainhaven/metrics", &LookupHandler::ShowMetrics },
};

LookupHandler::LookupHandler(const PublishedPolicy& aPolicy, Metrics& aMetrics)
  : policy(aPolicy)
  , metrics(aMetrics)
{
}

HttpResponse
LookupHandler::Handle(const HttpRequest& aRequest) const
{
  for (const Endpoint& endpoint : kEndpoints) {
    if (aRequest.path != endpoint.path) {
      continue;
    }
    if (aRequest.method == "GET") {
      return (this->*endpoint.answer)(aRequest);
    }
    HttpResponse refusal = ErrorResponse(
      kMethodNotAllowed, "method_not_allowed", "expected GET, got " + aRequest.method, "use GET");
    refusal.headers.Add("Allow", "GET");
    return refusal;
  }
  return ErrorResponse(kNotFound,
                       "unknown_path",
                       "there is nothing at " + aRequest.path,
                       "use /v1/lookup?service=NAME");
}

HttpResponse
LookupHandler::LookUp(const HttpRequest& aRequest) const
{
  const std::string service = aRequest.Query("service");
  if (service.empty()) {
    this->CountOutcome("invalid");
    return ErrorResponse(
      kBadRequest, "invalid", "the parameter service is missing", "add service=NAME to the query");
  }
  const std::string stated = aRequest.Query("client");
  const std::string& address = stated.empty() ? aRequest.remoteAddress : stated;
  const std::optional<ClientAddress> client = ParseClientAddress(address);
  if (!client && !stated.empty()) {
    this->CountOutcome("invalid");
    return ErrorResponse(kBadRequest,
                         "invalid",
                         "the parameter client is \"" + stated + "\", expected an IP number",
                         "give an IP number or leave the parameter out");
  }
  const std::shared_ptr<const LookupPolicy> current = this->policy.load();
  if (current == nullptr) {
    return this->Refuse(LookupRefusal::kStaleView, service);
  }
  const LookupOutcome outcome =
    current->Decide(service, client.value_or(ClientAddress{}), BootClock::Now(), ThreadRandom());
  if (const auto* refusal = std::get_if<LookupRefusal>(&outcome)) {
    return this->Refuse(*refusal, service);
  }
  return this->Answer(std::get<LookupDecision>(outcome));
}

HttpResponse
LookupHandler::Answer(const LookupDecision& aDecision) const
{
  this->CountOutcome("answered");
  HttpResponse response = JsonResponse(kOk, ToJson(ToLookupAnswer(aDecision)));
  // The response depends on the client's address, so shared caches must not store it.
  const std::string lifetime = std::to_string(aDecision.ttl.count());
  response.headers.Add("Cache-Control", "private, max-age=" + lifetime);
  return response;
}

HttpResponse
LookupHandler::Refuse(LookupRefusal aRefusal, const std::string& aService) const
{
  const char* const reason = ToString(aRefusal);
  const RefusalForm& form = kRefusalForms.at(static_cast<std::size_t>(aRefusal));
  this->CountOutcome(reason);
  HttpResponse response = ErrorResponse(
    form.status, reason, std::string(form.message) + " (service " + aService + ")", form.remedy);
  if (form.status == kUnavailable) {
    response.headers.Add("Retry-After", std::to_string(kRetryAfter.count()));
  }
  return response;
}

HttpResponse
LookupHandler::Health(const HttpRequest& /*aRequest*/) const
{
  const std::shared_ptr<const LookupPolicy> current = this->policy.load();
  const bool fresh = current != nullptr && current->IsFresh(BootClock::Now());
  const Revision revision = current == nullptr ? 0 : current->AppliedRevision();
  std::string json = std::string("{\"fresh\":") + (fresh ? "true" : "false") +
                     ",\"applied_revision\":\"" + std::to_string(revision) + "\"}";
  return JsonResponse(fresh ? kOk : kUnavailable, std::move(json));
}

HttpResponse
LookupHandler::ShowMetrics(const HttpRequest& /*aRequest*/) const
{
  HttpResponse response;
  response.headers.Add("Content-Type", "text/plain; version=0.0.4");
  response.body = this->metrics.Text();
  return response;
}

void
LookupHandler::CountOutcome(const char* aOutcome) const
{
  this->metrics.Count("plantainhaven_lookups_total", "outcome", aOutcome);
}

} // namespace plantainhaven
