#include "probe.h"

#include "plantainhaven/common/time.h"
#include "plantainhaven/http/client.h"

#include <google/protobuf/util/json_util.h>

#include <algorithm>
#include <atomic>
#include <memory>
#include <thread>

#include "resources.pb.h"

namespace plantainhaven {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kBetweenRequests{ 4 };
constexpr milliseconds kRequestTimeout{ 1000 };
constexpr milliseconds kWriteTimeout{ 20000 };
constexpr int kStatusOk = 200;
constexpr int kStatusAccepted = 202;

// When requests with one key succeeded at one entry VM.
struct KeyUsage
{
  std::atomic<BootTime> firstSuccess{ BootTime::max() };
  std::atomic<BootTime> lastSuccess{ BootTime::min() };
};

// Sends requests with one key to one entry VM until destroyed.
class Caller
{
public:
  Caller(const ProbeOptions& aOptions, const ApiServer& aEntry, std::string aKey)
    : options(aOptions)
    , entry(aEntry)
    , key(std::move(aKey))
    , thread([this] { this->Run(); })
  {
  }
  ~Caller()
  {
    this->stop = true;
    this->thread.join();
  }
  Caller(const Caller&) = delete;
  Caller& operator=(const Caller&) = delete;

  KeyUsage seen;

private:
  void Run()
  {
    HttpClientOptions client;
    client.address = this->entry.address;
    client.port = this->entry.port;
    HttpConnection connection(client);
    HttpRequest request;
    request.method = "GET";
    request.target = this->options.path;
    request.path = this->options.path;
    request.headers.Add("Authorization", "Bearer " + this->key);
    while (!this->stop) {
      const BootTime sentAt = BootClock::Now();
      const auto answer = connection.Exchange(request, kRequestTimeout);
      const auto* response = std::get_if<HttpResponse>(&answer);
      if (response != nullptr && response->status == kStatusOk) {
        this->seen.firstSuccess = std::min(this->seen.firstSuccess.load(), BootClock::Now());
        this->seen.lastSuccess = sentAt;
      }
      std::this_thread::sleep_for(kBetweenRequests);
    }
  }

  const ProbeOptions& options;
  const ApiServer entry;
  const std::string key;
  std::atomic<bool> stop{ false };
  std::thread thread;
};

using Callers = std::vector<std::unique_ptr<Caller>>;

bool
AllSucceeded(const Callers& aCallers)
{
  return std::all_of(aCallers.begin(), aCallers.end(), [](const auto& aCaller) {
    return aCaller->seen.firstSuccess.load() != BootTime::max();
  });
}

// Sends a write, waits until it is accepted, and returns the body of the response.
Result<std::string>
Write(ApiClient& aApi, const HttpRequest& aRequest, ProbeReport& aReport)
{
  const BootTime start = BootClock::Now();
  const Result<HttpResponse> answer = aApi.Send(aRequest, kWriteTimeout);
  if (!IsOk(answer)) {
    return ErrorOf(answer);
  }
  const HttpResponse& response = ValueOf(answer);
  if (response.status != kStatusOk && response.status != kStatusAccepted) {
    return Error{ ErrorKind::kInternal,
                  "expected status 200 or 202, found " + std::to_string(response.status) + ": " +
                    response.body,
                  "check the account, the token and the addresses" };
  }
  aReport.notAccepted += response.status == kStatusAccepted ? 1 : 0;
  aReport.accepted.push_back(BootClock::Now() - start);
  return response.body;
}

Result<Done>
RunRound(ApiClient& aApi, const ProbeOptions& aOptions, ProbeReport& aReport)
{
  const std::string path = "/v1/client_account/" + aOptions.account + "/keys";
  const Result<std::string> body = Write(aApi, MakeApiRequest("POST", path), aReport);
  if (!IsOk(body)) {
    return ErrorOf(body);
  }
  const BootTime issuedAt = BootClock::Now();
  IssuedKey issued;
  if (!google::protobuf::util::JsonStringToMessage(ValueOf(body), &issued).ok()) {
    return Error{ ErrorKind::kInternal, "the issued key can't be read", "check the versions" };
  }
  Callers callers;
  for (const ApiServer& entry : aOptions.entries) {
    callers.push_back(std::make_unique<Caller>(aOptions, entry, issued.key()));
  }
  while (!AllSucceeded(callers) && BootClock::Now() - issuedAt < aOptions.issueLimit) {
    std::this_thread::sleep_for(kBetweenRequests);
  }
  const Result<std::string> withdrawn =
    Write(aApi, MakeApiRequest("DELETE", "/v1/key/" + issued.name()), aReport);
  if (!IsOk(withdrawn)) {
    return ErrorOf(withdrawn);
  }
  const BootTime withdrawnAt = BootClock::Now();
  std::this_thread::sleep_for(aOptions.watchFor);
  for (const auto& caller : callers) {
    const BootTime first = caller->seen.firstSuccess.load();
    if (first == BootTime::max()) {
      ++aReport.neverAccepted;
      continue;
    }
    aReport.issued.push_back(std::max(first - issuedAt, Nanoseconds(0)));
    aReport.withdrawn.push_back(
      std::max(caller->seen.lastSuccess.load() - withdrawnAt, Nanoseconds(0)));
  }
  return Done{};
}

} // namespace

Result<ProbeReport>
RunProbe(const ProbeOptions& aOptions)
{
  ApiClientOptions client;
  client.servers = aOptions.apis;
  client.token = aOptions.token;
  ApiClient api(client);
  ProbeReport report;
  for (int round = 0; round < aOptions.rounds; ++round) {
    const Result<Done> done = RunRound(api, aOptions, report);
    if (!IsOk(done)) {
      return ErrorOf(done);
    }
  }
  return report;
}

} // namespace plantainhaven
