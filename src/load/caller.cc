#include "plantainhaven/load/caller.h"

#include "plantainhaven/common/digest.h"
#include "plantainhaven/common/settings.h"
#include "plantainhaven/http/client.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <map>
#include <random>

namespace plantainhaven {

namespace {

using Clock = std::chrono::steady_clock;

constexpr char kNotRunHeader[] = "Plantainhaven-Not-Run";
constexpr char kOutcomeHeader[] = "Plantainhaven-Outcome";
constexpr char kReasonHeader[] = "Plantainhaven-Reason";
constexpr int kServerError = 500;
constexpr std::size_t kRunIdLength = 12;

// How one attempt ended.
struct Attempt
{
  Outcome outcome = Outcome::kFailed;
  std::string reason;
  // True when another VM may be asked.
  bool retry = false;
  // True when the request may have run although no answer came.
  bool unknown = false;
};

// Reasons of one VM alone, for which another VM may well accept the request.
constexpr std::array kReasonsOfVm{ "no_configuration", "shift_unknown", "stale_view" };

bool
IsReasonOfVm(std::string_view aReason)
{
  return std::find(kReasonsOfVm.begin(), kReasonsOfVm.end(), aReason) != kReasonsOfVm.end();
}

Attempt
Classify(const HttpResponse& aResponse, const std::string& aId)
{
  Attempt attempt;
  if (aResponse.headers.Get(kNotRunHeader) == "true") {
    attempt.outcome = Outcome::kRefused;
    attempt.reason = aResponse.headers.Get(kReasonHeader);
    attempt.retry = IsReasonOfVm(attempt.reason);
    return attempt;
  }
  if (aResponse.headers.Get(kOutcomeHeader) == "unknown") {
    attempt.reason = aResponse.headers.Get(kReasonHeader);
    attempt.unknown = true;
    return attempt;
  }
  if (aResponse.status >= kServerError) {
    attempt.reason = "status_" + std::to_string(aResponse.status);
    attempt.unknown = true;
    return attempt;
  }
  // The stand-ins repeat the target, which holds the id: another id means that the
  // answer belongs to another request.
  if (aResponse.body.find(aId) == std::string::npos) {
    attempt.reason = "wrong_answer";
    return attempt;
  }
  attempt.outcome = Outcome::kAnswered;
  return attempt;
}

Attempt
Classify(ExchangeFailure aFailure)
{
  Attempt attempt;
  attempt.reason = ToString(aFailure);
  attempt.unknown = aFailure != ExchangeFailure::kConnect;
  attempt.retry = aFailure != ExchangeFailure::kTimeout;
  return attempt;
}

} // namespace

struct Caller::Impl
{
  explicit Impl(const Scenario& aScenario)
    : scenario(aScenario)
  {
  }

  HttpConnection& ConnectionTo(const Endpoint& aEndpoint)
  {
    auto& connection = this->connections[aEndpoint.address + ":" + std::to_string(aEndpoint.port)];
    if (!connection) {
      HttpClientOptions options;
      options.address = aEndpoint.address;
      options.port = aEndpoint.port;
      connection = std::make_unique<HttpConnection>(options);
    }
    return *connection;
  }

  // No id is the beginning of another, since all have the same length.
  std::string NextId()
  {
    std::array<char, 64> text{};
    std::snprintf(text.data(),
                  text.size(),
                  "%s-%04zu-%010llu",
                  this->runId.c_str(),
                  this->index,
                  static_cast<unsigned long long>(this->requestsMade++));
    return text.data();
  }

  HttpRequest MakeRequest(const Arrival& aArrival, const std::string& aId) const
  {
    const LoadRequest& kind = this->scenario.requests[aArrival.request];
    const LoadAccount& account = this->scenario.accounts[aArrival.account];
    HttpRequest request;
    request.method = kind.method;
    request.path = kind.path;
    request.target = kind.path + "?id=" + aId;
    request.headers.Add("X-Request-Id", aId);
    if (!account.key.empty()) {
      request.headers.Add("Authorization", "Bearer " + account.key);
    }
    if (kind.once) {
      request.headers.Add("Idempotency-Key", aId);
    }
    if (kind.method == "POST") {
      request.headers.Add("Content-Type", "application/octet-stream");
      request.body.assign(this->scenario.settings.traffic().body_bytes(), 'x');
    }
    return request;
  }

  Attempt Try(const Endpoint& aEndpoint,
              const HttpRequest& aRequest,
              const std::string& aId,
              Clock::time_point aDeadline)
  {
    const auto left =
      std::chrono::duration_cast<std::chrono::milliseconds>(aDeadline - Clock::now());
    if (left <= std::chrono::milliseconds(0)) {
      return Classify(ExchangeFailure::kTimeout);
    }
    const auto result = this->ConnectionTo(aEndpoint).Exchange(aRequest, left);
    if (const auto* failure = std::get_if<ExchangeFailure>(&result)) {
      this->directory->OnFailure(aEndpoint);
      return Classify(*failure);
    }
    return Classify(std::get<HttpResponse>(result), aId);
  }

  // Tries VMs until one gives a final outcome, and writes it to the sample.
  void SendWithRetries(const Arrival& aArrival, Sample& aSample)
  {
    const HttpRequest request = this->MakeRequest(aArrival, aSample.id);
    const std::string& service = this->scenario.requests[aArrival.request].service;
    const auto deadline = Clock::now() + ToChrono(this->scenario.settings.run().timeout());
    std::vector<Endpoint> tried;
    bool unknown = false;
    for (std::uint32_t tries = 0; tries < this->scenario.settings.run().attempts(); ++tries) {
      const std::optional<Endpoint> endpoint = this->directory->Pick(service, tried, this->random);
      if (!endpoint) {
        aSample.reason = "no_target";
        return;
      }
      const Attempt attempt = this->Try(*endpoint, request, aSample.id, deadline);
      tried.push_back(*endpoint);
      aSample.outcome = attempt.outcome;
      aSample.reason = attempt.reason;
      unknown = unknown || attempt.unknown;
      aSample.cuts += attempt.unknown && attempt.retry ? 1 : 0;
      if (!attempt.retry) {
        break;
      }
    }
    // "Not run" from the last VM says nothing about an earlier attempt.
    if (unknown && aSample.outcome == Outcome::kRefused) {
      aSample.outcome = Outcome::kFailed;
      aSample.reason = "unknown_then_" + aSample.reason;
    }
  }

  const Scenario& scenario;
  std::unique_ptr<Directory> directory;
  std::size_t index = 0;
  // Tells this run's ids from those of other runs against the same fleet.
  std::string runId = RandomId().substr(0, kRunIdLength);
  std::uint64_t requestsMade = 0;
  std::mt19937_64 random;
  std::map<std::string, std::unique_ptr<HttpConnection>> connections;
};

Caller::Caller(const Scenario& aScenario, std::unique_ptr<Directory> aDirectory, std::size_t aIndex)
  : impl(std::make_unique<Impl>(aScenario))
{
  std::seed_seq seeds{ static_cast<std::size_t>(aScenario.settings.run().seed()), aIndex };
  this->impl->directory = std::move(aDirectory);
  this->impl->index = aIndex;
  this->impl->random.seed(seeds);
}

Caller::~Caller() = default;

Sample
Caller::Send(const Arrival& aArrival, Clock::time_point aRunStart)
{
  Sample sample;
  sample.start = aArrival.at;
  sample.sent = Clock::now() - aRunStart;
  sample.account = aArrival.account;
  sample.request = aArrival.request;
  sample.id = this->impl->NextId();
  this->impl->SendWithRetries(aArrival, sample);
  sample.latency = (Clock::now() - aRunStart) - sample.start;
  return sample;
}

} // namespace plantainhaven
