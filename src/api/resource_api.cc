#include "plantainhaven/api/resource_api.h"

#include "api/answers.h"
#include "api/call.h"
#include "api/resource_writer.h"
#include "api/watch.h"
#include "plantainhaven/common/digest.h"
#include "plantainhaven/common/time.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace plantainhaven {

namespace {

constexpr int kOkStatus = 200;
constexpr int kWrongMethodStatus = 405;
constexpr std::string_view kBearer = "bearer ";
constexpr const char* kAnyKind = "KIND";
constexpr const char* kAnyName = "NAME";

std::string
JoinKinds()
{
  std::string text;
  for (const std::string& kind : AllKinds()) {
    text += (text.empty() ? "" : ", ") + kind;
  }
  return text;
}

bool
IsKind(const std::string& aText)
{
  const std::vector<std::string>& kinds = AllKinds();
  return std::find(kinds.begin(), kinds.end(), aText) != kinds.end();
}

// Token of an Authorization header; empty for another scheme.
std::string_view
BearerToken(const HttpHeaders& aHeaders)
{
  const std::string_view value = aHeaders.Get("Authorization");
  const auto sameLetter = [](char aLeft, char aRight) {
    return aLeft == std::tolower(static_cast<unsigned char>(aRight));
  };
  const bool bearer = value.size() > kBearer.size() &&
                      std::equal(kBearer.begin(), kBearer.end(), value.begin(), sameLetter);
  return bearer ? value.substr(kBearer.size()) : std::string_view{};
}

HttpResponse
NotAuthorised()
{
  HttpResponse response =
    ErrorResponse({ ErrorKind::kRefused,
                    "the operator's token is missing or wrong",
                    "send Authorization: Bearer TOKEN with the token of this fleet" });
  response.headers.Add("WWW-Authenticate", "Bearer");
  return response;
}

HttpResponse
NoSuchPath(const std::string& aPath)
{
  return ErrorResponse({ ErrorKind::kNotFound,
                         "there is no path " + aPath,
                         "use /v1/KIND or /v1/KIND/NAME with one of the kinds " + JoinKinds() });
}

HttpResponse
WrongMethod(const HttpRequest& aRequest, const std::string& aAllowed)
{
  HttpResponse response = ErrorResponse(kWrongMethodStatus,
                                        { ErrorKind::kInvalid,
                                          "method is " + aRequest.method + ", expected " + aAllowed,
                                          "use a method that this path knows" });
  response.headers.Add("Allow", aAllowed);
  return response;
}

// True when parts of a path match a pattern; fills in what its place-holders stand for.
bool
Matches(const std::string& aPattern, const std::vector<std::string>& aParts, Call& aCall)
{
  const std::vector<std::string> pattern = SplitPath(aPattern);
  if (pattern.size() != aParts.size()) {
    return false;
  }
  for (std::size_t index = 0; index < pattern.size(); ++index) {
    const std::string& part = aParts[index];
    if (pattern[index] == kAnyKind && IsKind(part)) {
      aCall.kind = part;
    } else if (pattern[index] == kAnyName && !part.empty()) {
      aCall.name = part;
    } else if (pattern[index] != part) {
      return false;
    }
  }
  return true;
}

} // namespace

struct ResourceApi::Impl
{
  Impl(ResourceService& aService,
       Metrics& aMetrics,
       std::string aOperatorToken,
       std::size_t aMostWatches)
    : service(aService)
    , metrics(aMetrics)
    , operatorToken(std::move(aOperatorToken))
    , writer(aService)
    , watches(aService, aMostWatches)
  {
  }

  using Handler = HttpResponse (Impl::*)(const Call&);

  struct Endpoint
  {
    const char* method;
    const char* pattern;
    Handler handler;
  };

  static const std::array<Endpoint, 10> kEndpoints;

  HttpResponse Route(const HttpRequest& aRequest);
  bool IsAuthorised(const HttpRequest& aRequest) const;
  Configuration Copy() const;

  HttpResponse List(const Call& aCall);
  HttpResponse Get(const Call& aCall);
  HttpResponse Status(const Call& aCall);
  HttpResponse Put(const Call& aCall) { return this->writer.Put(aCall); }
  HttpResponse Delete(const Call& aCall) { return this->writer.Delete(aCall); }
  HttpResponse Apply(const Call& aCall) { return this->writer.Apply(aCall); }
  HttpResponse IssueKey(const Call& aCall) { return this->writer.IssueKey(aCall); }
  HttpResponse Drain(const Call& aCall) { return this->writer.Drain(aCall); }
  HttpResponse Undrain(const Call& aCall) { return this->writer.Undrain(aCall); }
  HttpResponse Watch(const Call& aCall) { return this->watches.Watch(aCall); }

  ResourceService& service;
  Metrics& metrics;
  const std::string operatorToken;
  ResourceWriter writer;
  WatchHandler watches;
};

const std::array<ResourceApi::Impl::Endpoint, 10> ResourceApi::Impl::kEndpoints{ {
  { "GET", "/v1/status", &Impl::Status },
  { "GET", "/v1/watch", &Impl::Watch },
  { "POST", "/v1/apply", &Impl::Apply },
  { "GET", "/v1/KIND", &Impl::List },
  { "GET", "/v1/KIND/NAME", &Impl::Get },
  { "PUT", "/v1/KIND/NAME", &Impl::Put },
  { "DELETE", "/v1/KIND/NAME", &Impl::Delete },
  { "POST", "/v1/client_account/NAME/keys", &Impl::IssueKey },
  { "POST", "/v1/backend_server/NAME/drain", &Impl::Drain },
  { "POST", "/v1/backend_server/NAME/undrain", &Impl::Undrain },
} };

bool
ResourceApi::Impl::IsAuthorised(const HttpRequest& aRequest) const
{
  return !this->operatorToken.empty() && aRequest.headers.CountOf("Authorization") == 1 &&
         EqualInConstantTime(BearerToken(aRequest.headers), this->operatorToken);
}

HttpResponse
ResourceApi::Impl::Route(const HttpRequest& aRequest)
{
  if (aRequest.path == "/metrics" && aRequest.method == "GET") {
    HttpResponse response;
    response.headers.Add("Content-Type", "text/plain; version=0.0.4");
    response.body = this->metrics.Text();
    return response;
  }
  if (!this->IsAuthorised(aRequest)) {
    return NotAuthorised();
  }
  const std::vector<std::string> parts = SplitPath(aRequest.path);
  std::string allowed;
  for (const Endpoint& endpoint : kEndpoints) {
    Call call{ aRequest, {}, {} };
    if (!Matches(endpoint.pattern, parts, call)) {
      continue;
    }
    if (aRequest.method == endpoint.method) {
      return (this->*endpoint.handler)(call);
    }
    allowed += (allowed.empty() ? "" : ", ") + std::string(endpoint.method);
  }
  return allowed.empty() ? NoSuchPath(aRequest.path) : WrongMethod(aRequest, allowed);
}

Configuration
ResourceApi::Impl::Copy() const
{
  Configuration copy;
  this->service.Read([&](const Configuration& aConfiguration) { copy = aConfiguration; });
  return copy;
}

HttpResponse
ResourceApi::Impl::List(const Call& aCall)
{
  const Configuration configuration = this->Copy();
  const std::string revision = std::to_string(configuration.AppliedRevision());
  // Written piece by piece: the list of client blocks would be large as a message.
  std::string json = R"({"revision":")" + revision + R"(","resources":[)";
  const char* separator = "";
  configuration.ForEach(aCall.kind, [&](const Resource& aResource) {
    json += separator + ToJson(aResource);
    separator = ",";
  });
  HttpResponse response = JsonResponse(kOkStatus, json + "]}");
  response.headers.Add(kRevisionHeader, revision);
  return response;
}

HttpResponse
ResourceApi::Impl::Get(const Call& aCall)
{
  Result<Resource> found = Error{};
  Revision revision = 0;
  this->service.Read([&](const Configuration& aConfiguration) {
    found = aConfiguration.Get(aCall.kind, aCall.name);
    revision = aConfiguration.AppliedRevision();
  });
  if (!IsOk(found)) {
    return ErrorResponse(ErrorOf(found));
  }
  HttpResponse response = MessageResponse(kOkStatus, ValueOf(found), revision);
  response.headers.Add("ETag", '"' + std::to_string(ValueOf(found).version()) + '"');
  return response;
}

HttpResponse
ResourceApi::Impl::Status(const Call&)
{
  const FleetStatus status = this->service.Status();
  return MessageResponse(kOkStatus, status, status.applied_revision());
}

ResourceApi::ResourceApi(ResourceService& aService,
                         Metrics& aMetrics,
                         std::string aOperatorToken,
                         std::size_t aMostWatches)
  : impl(std::make_unique<Impl>(aService, aMetrics, std::move(aOperatorToken), aMostWatches))
{
}

ResourceApi::~ResourceApi() = default;

HttpResponse
ResourceApi::Handle(const HttpRequest& aRequest)
{
  const BootTime begin = BootClock::Now();
  HttpResponse response = this->impl->Route(aRequest);
  this->impl->metrics.Count("plantainhaven_api_answers", "status", std::to_string(response.status));
  this->impl->metrics.Observe("plantainhaven_api_seconds", BootClock::Now() - begin);
  return response;
}

void
ResourceApi::EndWatches()
{
  this->impl->watches.End();
}

} // namespace plantainhaven
