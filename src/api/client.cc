#include "plantainhaven/api/client.h"

#include "api/answers.h"
#include "plantainhaven/common/digest.h"
#include "plantainhaven/http/client.h"

#include <charconv>

namespace plantainhaven {

namespace {

constexpr int kUnavailableStatus = 503;
constexpr int kUnknownStatus = 504;
// How often each server is tried for a write whose outcome is unknown.
constexpr int kRounds = 2;
constexpr std::size_t kLargestAnswer = std::size_t{ 512 } << 20;

bool
IsWrite(const HttpRequest& aRequest)
{
  return aRequest.method != "GET";
}

std::string
Describe(const ApiServer& aServer)
{
  return aServer.address + ':' + std::to_string(aServer.port);
}

std::string
PathOf(const std::string& aTarget)
{
  return aTarget.substr(0, aTarget.find('?'));
}

Error
OutcomeUnknown(const std::string& aChangeId, const std::string& aReasons)
{
  return { ErrorKind::kUnknown,
           "it isn't known whether change " + aChangeId + " took effect:" + aReasons,
           "repeat the same write with this change id; it takes effect at most once" };
}

Error
NoServer(const std::string& aReasons)
{
  return { ErrorKind::kUnavailable,
           "no server gave an answer:" + aReasons,
           "check the addresses, or name other VMs of the fleet" };
}

} // namespace

struct ApiClient::Impl
{
  // What the attempts of one request came to so far.
  struct Progress
  {
    bool answered = false;
    bool unknown = false;
    // The last answer, set once one came.
    HttpResponse response;
    std::string reasons;
  };

  void Try(const HttpRequest& aRequest, std::chrono::milliseconds aTimeout, Progress& aProgress);
  void TryAll(const HttpRequest& aRequest, std::chrono::milliseconds aTimeout, Progress& aProgress);

  ApiClientOptions options;
  std::size_t current = 0;
};

void
ApiClient::Impl::Try(const HttpRequest& aRequest,
                     std::chrono::milliseconds aTimeout,
                     Progress& aProgress)
{
  const ApiServer& server = this->options.servers[this->current];
  HttpClientOptions clientOptions;
  clientOptions.address = server.address;
  clientOptions.port = server.port;
  clientOptions.maxAnswer = kLargestAnswer;
  HttpConnection connection(clientOptions);
  auto exchange = connection.Exchange(aRequest, aTimeout);
  if (const auto* failure = std::get_if<ExchangeFailure>(&exchange)) {
    aProgress.reasons += ' ' + Describe(server) + " (" + ToString(*failure) + ')';
    aProgress.unknown |= IsWrite(aRequest) && *failure != ExchangeFailure::kConnect;
    return;
  }
  aProgress.response = std::get<HttpResponse>(std::move(exchange));
  const int status = aProgress.response.status;
  aProgress.answered = status != kUnavailableStatus && status != kUnknownStatus;
  aProgress.unknown |= status == kUnknownStatus;
  if (!aProgress.answered) {
    aProgress.reasons += ' ' + Describe(server) + " (status " + std::to_string(status) + ')';
  }
}

void
ApiClient::Impl::TryAll(const HttpRequest& aRequest,
                        std::chrono::milliseconds aTimeout,
                        Progress& aProgress)
{
  for (std::size_t count = 0; count < this->options.servers.size(); ++count) {
    this->Try(aRequest, aTimeout, aProgress);
    if (aProgress.answered) {
      return;
    }
    this->current = (this->current + 1) % this->options.servers.size();
  }
}

ApiClient::ApiClient(ApiClientOptions aOptions)
  : impl(std::make_unique<Impl>())
{
  this->impl->options = std::move(aOptions);
}

ApiClient::~ApiClient() = default;

Result<HttpResponse>
ApiClient::Send(HttpRequest aRequest)
{
  return this->Send(std::move(aRequest), this->impl->options.timeout);
}

Result<HttpResponse>
ApiClient::Send(HttpRequest aRequest, std::chrono::milliseconds aTimeout)
{
  aRequest.headers.Add("Authorization", "Bearer " + this->impl->options.token);
  if (IsWrite(aRequest) && aRequest.headers.CountOf(kChangeIdHeader) == 0) {
    aRequest.headers.Add(kChangeIdHeader, RandomId());
  }
  Impl::Progress progress;
  for (int round = 0; round < kRounds && !progress.answered; ++round) {
    if (round == 0 || progress.unknown) {
      this->impl->TryAll(aRequest, aTimeout, progress);
    }
  }
  if (progress.answered) {
    return progress.response;
  }
  if (progress.unknown) {
    return OutcomeUnknown(std::string(aRequest.headers.Get(kChangeIdHeader)), progress.reasons);
  }
  const bool refused = progress.response.status == kUnavailableStatus;
  return refused ? Result<HttpResponse>(progress.response) : NoServer(progress.reasons);
}

HttpRequest
MakeApiRequest(std::string aMethod, std::string aTarget, std::string aBody)
{
  HttpRequest request;
  request.method = std::move(aMethod);
  request.path = PathOf(aTarget);
  request.target = std::move(aTarget);
  request.body = std::move(aBody);
  if (!request.body.empty()) {
    request.headers.Add("Content-Type", "application/json");
  }
  return request;
}

Result<ApiServer>
ParseApiServer(std::string_view aText)
{
  const std::size_t colon = aText.rfind(':');
  std::string_view address = aText.substr(0, colon);
  if (address.size() > 2 && address.front() == '[' && address.back() == ']') {
    address = address.substr(1, address.size() - 2);
  }
  std::uint16_t port = 0;
  const char* end = aText.data() + aText.size();
  const bool hasPort = colon != std::string_view::npos && !address.empty();
  const auto [stop, error] = std::from_chars(hasPort ? aText.data() + colon + 1 : end, end, port);
  if (hasPort && error == std::errc{} && stop == end && port != 0) {
    return ApiServer{ std::string(address), port };
  }
  return Error{ ErrorKind::kInvalid,
                "server is \"" + std::string(aText) + "\", expected ADDRESS:PORT",
                "write an IP number and a port, for example 10.0.0.7:8080",
                "server" };
}

} // namespace plantainhaven
