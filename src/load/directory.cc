#include "plantainhaven/load/directory.h"

#include "plantainhaven/http/client.h"

#include <algorithm>
#include <chrono>
#include <map>

#include <google/protobuf/util/json_util.h>

#include "local.pb.h"

namespace plantainhaven {

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds kLookupTimeout{ 1000 };
// Shortest time between two look-ups of a service that fail.
constexpr std::chrono::milliseconds kRetryAfter{ 100 };
constexpr int kOk = 200;

struct CachedAnswer
{
  LookupAnswer answer;
  Clock::time_point expires;
};

Endpoint
EndpointOf(const LookupAnswer::Target& aTarget)
{
  return { aTarget.address(), static_cast<std::uint16_t>(aTarget.port()) };
}

bool
Contains(const std::vector<Endpoint>& aList, const Endpoint& aEndpoint)
{
  return std::find(aList.begin(), aList.end(), aEndpoint) != aList.end();
}

// A target by weight among those not in `aTried`.
std::optional<Endpoint>
PickByWeight(const LookupAnswer& aAnswer,
             const std::vector<Endpoint>& aTried,
             std::mt19937_64& aRandom)
{
  std::vector<Endpoint> endpoints;
  std::vector<double> weights;
  for (const LookupAnswer::Target& target : aAnswer.targets()) {
    if (!Contains(aTried, EndpointOf(target))) {
      endpoints.push_back(EndpointOf(target));
      weights.push_back(std::max(1U, target.weight()));
    }
  }
  if (endpoints.empty()) {
    return std::nullopt;
  }
  std::discrete_distribution<std::size_t> choice(weights.begin(), weights.end());
  return endpoints[choice(aRandom)];
}

} // namespace

bool
operator==(const Endpoint& aLeft, const Endpoint& aRight)
{
  return aLeft.port == aRight.port && aLeft.address == aRight.address;
}

FixedDirectory::FixedDirectory(Endpoint aEndpoint)
  : endpoint(std::move(aEndpoint))
{
}

std::optional<Endpoint>
FixedDirectory::Pick(const std::string& /*aService*/,
                     const std::vector<Endpoint>& /*aTried*/,
                     std::mt19937_64& /*aRandom*/)
{
  return this->endpoint;
}

void
FixedDirectory::OnFailure(const Endpoint& /*aEndpoint*/)
{
}

struct LookupDirectory::Impl
{
  // The answer for a service, asked for anew when it has expired.
  const CachedAnswer& Answer(const std::string& aService)
  {
    CachedAnswer& cached = this->answers[aService];
    if (Clock::now() >= cached.expires) {
      this->Refresh(aService, cached);
    }
    return cached;
  }

  void Refresh(const std::string& aService, CachedAnswer& aCached)
  {
    for (std::size_t tries = 0; tries < this->lookups.size(); ++tries) {
      std::optional<LookupAnswer> answer = this->Ask(aService);
      if (answer) {
        aCached.expires = Clock::now() + std::chrono::seconds(answer->ttl_seconds());
        aCached.answer = std::move(*answer);
        return;
      }
      this->current = (this->current + 1) % this->lookups.size();
      this->connection.reset();
    }
    aCached.expires = Clock::now() + kRetryAfter;
  }

  std::optional<LookupAnswer> Ask(const std::string& aService)
  {
    if (!this->connection) {
      HttpClientOptions options;
      options.address = this->lookups[this->current].address;
      options.port = this->lookups[this->current].port;
      this->connection = std::make_unique<HttpConnection>(options);
    }
    HttpRequest request;
    request.method = "GET";
    request.path = "/v1/lookup";
    request.target = request.path + "?service=" + aService;
    if (!this->client.empty()) {
      request.target += "&client=" + this->client;
    }
    const auto result = this->connection->Exchange(request, kLookupTimeout);
    const auto* response = std::get_if<HttpResponse>(&result);
    if (response == nullptr || response->status != kOk) {
      return std::nullopt;
    }
    LookupAnswer answer;
    const auto status = google::protobuf::util::JsonStringToMessage(response->body, &answer);
    if (!status.ok() || answer.targets().empty()) {
      return std::nullopt;
    }
    return answer;
  }

  std::vector<Endpoint> lookups;
  std::string client;
  std::size_t current = 0;
  std::unique_ptr<HttpConnection> connection;
  std::map<std::string, CachedAnswer> answers;
};

LookupDirectory::LookupDirectory(std::vector<Endpoint> aLookups,
                                 std::string aClient,
                                 std::size_t aFirst)
  : impl(std::make_unique<Impl>())
{
  this->impl->current = aLookups.empty() ? 0 : aFirst % aLookups.size();
  this->impl->lookups = std::move(aLookups);
  this->impl->client = std::move(aClient);
}

LookupDirectory::~LookupDirectory() = default;

std::optional<Endpoint>
LookupDirectory::Pick(const std::string& aService,
                      const std::vector<Endpoint>& aTried,
                      std::mt19937_64& aRandom)
{
  const LookupAnswer& answer = this->impl->Answer(aService).answer;
  const std::optional<Endpoint> untried = PickByWeight(answer, aTried, aRandom);
  return untried ? untried : PickByWeight(answer, {}, aRandom);
}

void
LookupDirectory::OnFailure(const Endpoint& aEndpoint)
{
  for (auto& [service, cached] : this->impl->answers) {
    for (const LookupAnswer::Target& target : cached.answer.targets()) {
      if (EndpointOf(target) == aEndpoint) {
        cached.expires = Clock::time_point{};
      }
    }
  }
}

} // namespace plantainhaven
