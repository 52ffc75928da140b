// Cost of the decisions that one request needs, at the Academy's size: 32 backend servers
// in three regions, 8 client accounts with two keys each, 20 routes.

#include "plantainhaven/common/digest.h"
#include "plantainhaven/entry/steering.h"
#include "plantainhaven/policy/request/header_hygiene.h"

#include <array>

#include <benchmark/benchmark.h>

namespace {

using namespace plantainhaven;

constexpr std::array<const char*, 3> kRegions = { "kochi", "kozhikode", "trivandrum" };
constexpr int kServers = 32;
constexpr int kKeys = 16;
constexpr int kRoutes = 20;

void
AddServers(ChangeRecord& aChange)
{
  for (int i = 0; i < kServers; ++i) {
    Resource* resource = aChange.add_puts();
    resource->set_name("server-" + std::to_string(i));
    BackendServer* server = resource->mutable_backend_server();
    server->set_service("portal");
    server->set_region(kRegions[i % kRegions.size()]);
    server->set_failure_domain(kRegions[i % kRegions.size()] + std::string(i % 2 ? "-a" : "-b"));
    server->set_address("10.0.0." + std::to_string(i));
    server->set_port(8080);
    server->set_slots(9);
    server->set_max_connections(360);
  }
}

std::shared_ptr<const RequestTables>
MakeTables()
{
  ChangeRecord change;
  change.set_revision(1);
  Resource* service = change.add_puts();
  service->set_name("portal");
  service->mutable_service()->mutable_timeout()->set_seconds(2);
  AddServers(change);
  for (int i = 0; i < kKeys; ++i) {
    Resource* key = change.add_puts();
    key->set_name("key-" + std::to_string(i));
    key->mutable_key()->set_client_account("account-" + std::to_string(i / 2));
    key->mutable_key()->set_digest(Sha256Hex("key-" + std::to_string(i)));
  }
  for (int i = 0; i < kRoutes; ++i) {
    Resource* route = change.add_puts();
    route->set_name("route-" + std::to_string(i));
    route->mutable_route()->set_method(i % 2 ? "GET" : "POST");
    route->mutable_route()->set_path_prefix("/part-" + std::to_string(i));
    route->mutable_route()->set_service("portal");
  }
  Configuration configuration;
  configuration.Apply(change);
  return RequestTables::Build(configuration);
}

HttpRequest
MakeRequest()
{
  HttpRequest request;
  request.method = "GET";
  request.target = "/part-7/lessons/12?page=2";
  request.headers.Add("Host", "10.0.0.1:8000");
  request.headers.Add("User-Agent", "browser/1.0 (phone; kitchen)");
  request.headers.Add("Accept", "text/html,application/json;q=0.9");
  request.headers.Add("Accept-Encoding", "gzip, br");
  request.headers.Add("Cookie", "session=2b7e151628aed2a6; theme=dark");
  request.headers.Add("Authorization", "Bearer key-7");
  return request;
}

void
BM_MatchRoute(benchmark::State& aState)
{
  const auto tables = MakeTables();
  for (auto step : aState) {
    const Result<std::string> path = ReadPath("/part-7/lessons/12?page=2");
    benchmark::DoNotOptimize(tables->MatchRoute("GET", ValueOf(path)));
  }
}
BENCHMARK(BM_MatchRoute);

void
BM_Authenticate(benchmark::State& aState)
{
  const auto tables = MakeTables();
  const HttpRequest request = MakeRequest();
  for (auto step : aState) {
    const auto key = ReadCallerKey(request.headers.All());
    benchmark::DoNotOptimize(tables->AccountOfDigest(Sha256Hex(*ValueOf(key))));
  }
}
BENCHMARK(BM_Authenticate);

void
BM_Headers(benchmark::State& aState)
{
  const HttpRequest request = MakeRequest();
  const ForwardedIdentity identity{ "account-3", "0123456789abcdef0123456789abcdef-1" };
  for (auto step : aState) {
    benchmark::DoNotOptimize(HeadersForServer(request.headers.All(), identity));
  }
}
BENCHMARK(BM_Headers);

void
BM_ScanForKeys(benchmark::State& aState)
{
  const HttpRequest request = MakeRequest();
  const auto isKey = [](std::string_view) { return false; };
  for (auto step : aState) {
    benchmark::DoNotOptimize(HasKeyOutsideAuthorization(request, "key-7", isKey));
  }
}
BENCHMARK(BM_ScanForKeys);

// Region and server, and the notes of an attempt's begin and end.
void
BM_Steer(benchmark::State& aState)
{
  const auto tables = MakeTables();
  const ServiceEntry& service = *tables->FindService("portal");
  Steering steering({ "kochi", 1 });
  BootTime now = BootClock::Now();
  steering.Update(*tables, now);
  for (auto step : aState) {
    now += std::chrono::microseconds(100);
    const RegionPlan plan = steering.Plan(service, now);
    const auto server = steering.Begin(service.name, plan.regions.front(), {}, now);
    steering.End(*server, AttemptOutcome::kCompleted, now);
    benchmark::DoNotOptimize(server.get());
  }
}
BENCHMARK(BM_Steer);

} // namespace
