#include "plantainhaven/platform/http_platform.h"

#include "platform/connection_pool.h"
#include "platform/json.h"
#include "platform/row_key.h"
#include "platform/url.h"

#include <algorithm>
#include <string_view>
#include <utility>
#include <variant>

namespace plantainhaven {

namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kPayloadTooLarge = 413;
constexpr int kServiceUnavailable = 503;
constexpr std::chrono::milliseconds kLongestConnect{ 300 };

// Whether a call changes the store, so that a lost answer leaves its outcome open.
enum class Effect
{
  kRead,
  kWrite,
};

// What an answer's status means for the caller. Other statuses mean kUnknown for a
// write and kInternal for a read.
struct StatusMeaning
{
  int status;
  ErrorKind kind;
  const char* remedy;
};

constexpr StatusMeaning kStatusMeanings[] = {
  { kBadRequest, ErrorKind::kInvalid, "correct the call" },
  { kPayloadTooLarge, ErrorKind::kInvalid, "write less at once" },
  { kNotFound, ErrorKind::kNotFound, "check the name" },
  { kServiceUnavailable, ErrorKind::kUnavailable, "try again later" },
};

Error
FailureOf(ExchangeFailure aFailure, Effect aEffect)
{
  const std::string message =
    std::string("expected an answer of the platform, got failure \"") + ToString(aFailure) + "\"";
  if (aFailure == ExchangeFailure::kConnect) {
    return Error{ ErrorKind::kUnavailable, message, "check that the platform runs and its port" };
  }
  if (aEffect == Effect::kWrite) {
    return Error{ ErrorKind::kUnknown, message, "read back what was written to find out" };
  }
  const bool timeout = aFailure == ExchangeFailure::kTimeout;
  return Error{ timeout ? ErrorKind::kTimeout : ErrorKind::kUnavailable,
                message,
                "try again later" };
}

Error
FailureOf(const HttpResponse& aResponse, Effect aEffect)
{
  PlatformError detail;
  const bool described = IsOk(ReadJson(aResponse.body, detail)) && !detail.message().empty();
  const std::string message =
    described ? detail.message()
              : "expected status 200 of the platform, got " + std::to_string(aResponse.status);
  for (const StatusMeaning& meaning : kStatusMeanings) {
    if (meaning.status == aResponse.status) {
      return Error{ meaning.kind, message, described ? detail.remedy() : meaning.remedy };
    }
  }
  const bool write = aEffect == Effect::kWrite;
  return Error{ write ? ErrorKind::kUnknown : ErrorKind::kInternal,
                message,
                write ? "read back what was written to find out" : "see the platform's own log" };
}

HttpRequest
MakeRequest(std::string aMethod, std::string aTarget, std::string aBody = {})
{
  HttpRequest request;
  request.method = std::move(aMethod);
  request.path = std::string(EncodedPath(aTarget));
  request.target = std::move(aTarget);
  if (!aBody.empty()) {
    request.headers.Add("Content-Type", "application/json");
  }
  request.body = std::move(aBody);
  return request;
}

std::string
ObjectTarget(const std::string& aName)
{
  return "/objects/" + PercentEncode(aName);
}

template<typename Message>
Result<Message>
ParseAnswer(const Result<HttpResponse>& aResponse, ErrorKind aUnreadable)
{
  if (!IsOk(aResponse)) {
    return ErrorOf(aResponse);
  }
  Message message;
  if (Result<Done> parsed = ReadJson(ValueOf(aResponse).body, message); !IsOk(parsed)) {
    Error error = ErrorOf(parsed);
    error.kind = aUnreadable;
    return error;
  }
  return message;
}

Result<Done>
WithoutBody(const Result<HttpResponse>& aResponse)
{
  if (!IsOk(aResponse)) {
    return ErrorOf(aResponse);
  }
  return Done{};
}

HttpClientOptions
ClientOptions(const HttpPlatformOptions& aOptions)
{
  HttpClientOptions options;
  options.address = aOptions.address;
  options.port = aOptions.port;
  options.connectTimeout = std::min(aOptions.timeout, kLongestConnect);
  return options;
}

} // namespace

struct HttpPlatform::Impl
{
  explicit Impl(HttpPlatformOptions aOptions);

  using Outcome = std::variant<HttpResponse, ExchangeFailure>;

  // One exchange on the given connection, which goes back to the pool if it may be
  // used again.
  Outcome Exchange(std::unique_ptr<HttpConnection> aConnection,
                   const HttpRequest& aRequest,
                   std::chrono::milliseconds aTimeout);
  // A read may be sent again: a kept connection that proves dead costs it nothing.
  Outcome ExchangeRead(const HttpRequest& aRequest);
  Outcome ExchangeWrite(const HttpRequest& aRequest);
  // A whole call; every status but 200 is an error.
  Result<HttpResponse> Call(const HttpRequest& aRequest, Effect aEffect);

  HttpPlatformOptions options;
  ConnectionPool pool;
};

HttpPlatform::Impl::Impl(HttpPlatformOptions aOptions)
  : options(std::move(aOptions))
  , pool(ClientOptions(this->options))
{
}

HttpPlatform::Impl::Outcome
HttpPlatform::Impl::Exchange(std::unique_ptr<HttpConnection> aConnection,
                             const HttpRequest& aRequest,
                             std::chrono::milliseconds aTimeout)
{
  Outcome outcome = aConnection->Exchange(aRequest, aTimeout);
  if (std::holds_alternative<HttpResponse>(outcome)) {
    this->pool.Return(std::move(aConnection), BootClock::Now());
  } else {
    this->pool.Clear();
  }
  return outcome;
}

HttpPlatform::Impl::Outcome
HttpPlatform::Impl::ExchangeRead(const HttpRequest& aRequest)
{
  const BootTime start = BootClock::Now();
  std::unique_ptr<HttpConnection> connection = this->pool.Take(start);
  const bool kept = connection->IsOpen();
  Outcome outcome = this->Exchange(std::move(connection), aRequest, this->options.timeout);
  const auto* failure = std::get_if<ExchangeFailure>(&outcome);
  const auto spent =
    std::chrono::duration_cast<std::chrono::milliseconds>(BootClock::Now() - start);
  if (!kept || failure == nullptr || *failure != ExchangeFailure::kBroken ||
      spent >= this->options.timeout) {
    return outcome;
  }
  return this->Exchange(this->pool.MakeNew(), aRequest, this->options.timeout - spent);
}

HttpPlatform::Impl::Outcome
HttpPlatform::Impl::ExchangeWrite(const HttpRequest& aRequest)
{
  return this->Exchange(this->pool.Take(BootClock::Now()), aRequest, this->options.timeout);
}

Result<HttpResponse>
HttpPlatform::Impl::Call(const HttpRequest& aRequest, Effect aEffect)
{
  Outcome outcome =
    aEffect == Effect::kRead ? this->ExchangeRead(aRequest) : this->ExchangeWrite(aRequest);
  if (const auto* failure = std::get_if<ExchangeFailure>(&outcome)) {
    return FailureOf(*failure, aEffect);
  }
  auto& response = std::get<HttpResponse>(outcome);
  if (response.status != kOk) {
    return FailureOf(response, aEffect);
  }
  return std::move(response);
}

HttpPlatform::HttpPlatform(HttpPlatformOptions aOptions)
  : impl(std::make_unique<Impl>(std::move(aOptions)))
{
}

HttpPlatform::~HttpPlatform() = default;

Result<TableCommitAnswer>
HttpPlatform::Commit(const TableTransaction& aTransaction)
{
  if (const Result<Done> check = CheckTransaction(aTransaction); !IsOk(check)) {
    return ErrorOf(check);
  }
  const HttpRequest request = MakeRequest("POST", "/table/commit", WriteJson(aTransaction));
  return ParseAnswer<TableCommitAnswer>(this->impl->Call(request, Effect::kWrite),
                                        ErrorKind::kUnknown);
}

Result<TableRow>
HttpPlatform::Read(const std::string& aKey)
{
  if (const Result<Done> check = CheckKey(aKey, "key"); !IsOk(check)) {
    return ErrorOf(check);
  }
  const HttpRequest request = MakeRequest("GET", "/table/row?key=" + PercentEncode(aKey));
  return ParseAnswer<TableRow>(this->impl->Call(request, Effect::kRead), ErrorKind::kInternal);
}

Result<TableReadAnswer>
HttpPlatform::ReadPrefix(const std::string& aPrefix, const std::string& aAfter, std::size_t aLimit)
{
  const std::string query = "?prefix=" + PercentEncode(aPrefix) +
                            "&after=" + PercentEncode(aAfter) + "&limit=" + std::to_string(aLimit);
  const HttpRequest request = MakeRequest("GET", "/table/rows" + query);
  return ParseAnswer<TableReadAnswer>(this->impl->Call(request, Effect::kRead),
                                      ErrorKind::kInternal);
}

Result<Done>
HttpPlatform::Put(const std::string& aName, const std::string& aBytes)
{
  if (Result<Done> check = CheckKey(aName, "name"); !IsOk(check)) {
    return check;
  }
  HttpRequest request = MakeRequest("PUT", ObjectTarget(aName));
  request.headers.Add("Content-Type", "application/octet-stream");
  request.body = aBytes;
  return WithoutBody(this->impl->Call(request, Effect::kWrite));
}

Result<std::string>
HttpPlatform::Get(const std::string& aName)
{
  if (const Result<Done> check = CheckKey(aName, "name"); !IsOk(check)) {
    return ErrorOf(check);
  }
  Result<HttpResponse> response =
    this->impl->Call(MakeRequest("GET", ObjectTarget(aName)), Effect::kRead);
  if (!IsOk(response)) {
    return ErrorOf(response);
  }
  return std::move(ValueOf(response).body);
}

Result<Done>
HttpPlatform::Delete(const std::string& aName)
{
  if (Result<Done> check = CheckKey(aName, "name"); !IsOk(check)) {
    return check;
  }
  return WithoutBody(this->impl->Call(MakeRequest("DELETE", ObjectTarget(aName)), Effect::kWrite));
}

Result<VmListAnswer>
HttpPlatform::List()
{
  return ParseAnswer<VmListAnswer>(this->impl->Call(MakeRequest("GET", "/vms"), Effect::kRead),
                                   ErrorKind::kInternal);
}

} // namespace plantainhaven
