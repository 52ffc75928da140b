#include "plantainhaven/platform/backend_standin.h"

#include "plantainhaven/http/client.h"
#include "plantainhaven/standin/free_port.h"
#include "platform/backend_work.h"
#include "platform/execution_log.h"
#include "platform/json.h"

#include <future>
#include <thread>

#include <catch2/catch.hpp>

namespace plantainhaven {

namespace {

using std::chrono::milliseconds;
using Outcome = std::variant<HttpResponse, ExchangeFailure>;

constexpr milliseconds kLongTimeout{ 10000 };
constexpr milliseconds kShortTimeout{ 200 };
constexpr milliseconds kForever{ 30000 };
constexpr milliseconds kPollStep{ 5 };
constexpr milliseconds kStopWait{ 1000 };
constexpr std::size_t kMaxAnswer = 100'000;

HttpRequest
MakeRequest(const std::string& aMethod, const std::string& aTarget, HttpHeaders aHeaders = {})
{
  HttpRequest request;
  request.method = aMethod;
  request.target = aTarget;
  request.headers = std::move(aHeaders);
  return request;
}

HttpHeaders
Header(const std::string& aName, const std::string& aValue)
{
  HttpHeaders headers;
  headers.Add(aName, aValue);
  return headers;
}

// A running stand-in and connections to it.
class Bench
{
public:
  explicit Bench(BackendStandinOptions aOptions = {})
    : options(WithPort(std::move(aOptions)))
    , standin(this->options)
  {
    REQUIRE(IsOk(this->standin.Start()));
  }

  std::unique_ptr<HttpConnection> Connect() const
  {
    HttpClientOptions client;
    client.address = this->options.address;
    client.port = this->options.port;
    client.maxAnswer = kMaxAnswer;
    return std::make_unique<HttpConnection>(client);
  }
  Outcome Exchange(const HttpRequest& aRequest, milliseconds aTimeout = kLongTimeout) const
  {
    return this->Connect()->Exchange(aRequest, aTimeout);
  }
  HttpResponse MustAnswer(const HttpRequest& aRequest) const
  {
    const Outcome outcome = this->Exchange(aRequest);
    REQUIRE(std::holds_alternative<HttpResponse>(outcome));
    return std::get<HttpResponse>(outcome);
  }
  void WaitForLoad(std::uint32_t aInFlight) const
  {
    for (int i = 0; i < 2000 && this->standin.Load().in_flight() != aInFlight; ++i) {
      std::this_thread::sleep_for(kPollStep);
    }
    REQUIRE(this->standin.Load().in_flight() == aInFlight);
  }
  void SetFault(const char* aJson)
  {
    BackendFault fault;
    REQUIRE(IsOk(ReadJson(aJson, fault)));
    this->standin.SetFault(fault);
  }

  static BackendStandinOptions WithPort(BackendStandinOptions aOptions)
  {
    aOptions.port = FreePort();
    return aOptions;
  }

  const BackendStandinOptions options;
  BackendStandin standin;
};

BackendStandinOptions
Options(std::size_t aSlots, milliseconds aWork)
{
  BackendStandinOptions options;
  options.slots = aSlots;
  options.work = aWork;
  return options;
}

// The status of an answer, or the name of the failure.
std::string
TextOf(const Outcome& aOutcome)
{
  if (const auto* failure = std::get_if<ExchangeFailure>(&aOutcome)) {
    return ToString(*failure);
  }
  return std::to_string(std::get<HttpResponse>(aOutcome).status);
}

} // namespace

TEST_CASE("An answer shows the request as it reached the server", "[backend]")
{
  Bench bench;
  HttpHeaders headers = Header("Plantainhaven-Request-Id", "id-1");
  headers.Add("X-Request-Id", "outer-1");
  headers.Add("X-Twice", "a");
  headers.Add("X-Twice", "b");
  HttpRequest request = MakeRequest("POST", "/fees?year=2", headers);
  request.body = "12345";

  const HttpResponse response = bench.MustAnswer(request);

  CHECK(response.status == 200);
  CHECK(response.headers.Get("Plantainhaven-Request-Id") == "id-1");
  CHECK(response.headers.Get("X-Request-Id") == "outer-1");
  CHECK(response.body.size() == bench.options.answerBytes);
  BackendAnswer answer;
  REQUIRE(IsOk(ReadJson(response.body, answer)));
  CHECK(answer.server() == "backend");
  CHECK(answer.request_id() == "id-1");
  CHECK(answer.method() == "POST");
  CHECK(answer.target() == "/fees?year=2");
  CHECK(answer.body_bytes() == 5);
  std::string twice;
  for (const BackendHeader& header : answer.headers()) {
    twice += header.name() == "X-Twice" ? header.value() : "";
  }
  CHECK(twice == "ab");
}

TEST_CASE("Requests beyond the slots are shed and don't run", "[backend]")
{
  Bench bench(Options(2, kForever));
  std::vector<std::future<Outcome>> running;
  for (int i = 0; i < 2; ++i) {
    running.push_back(std::async(
      std::launch::async, [&bench] { return bench.Exchange(MakeRequest("GET", "/"), kForever); }));
  }
  bench.WaitForLoad(2);

  const HttpResponse response = bench.MustAnswer(MakeRequest("GET", "/"));

  CHECK(response.status == 503);
  CHECK(response.headers.Get("Plantainhaven-Shed") == "true");
  CHECK(!response.body.empty());
  CHECK(bench.standin.Executions().total() == 2);
  // The thread that answered the third request may take a moment to finish.
  CHECK(bench.standin.Stop(kStopWait) == 2);
}

TEST_CASE("A graceful stop finishes the request in flight", "[backend]")
{
  Bench bench(Options(1, kShortTimeout));
  auto running =
    std::async(std::launch::async, [&bench] { return bench.Exchange(MakeRequest("GET", "/")); });
  bench.WaitForLoad(1);
  CHECK(bench.standin.Stop(kLongTimeout) == 0);
  CHECK(TextOf(running.get()) == "200");
  CHECK(TextOf(bench.Exchange(MakeRequest("GET", "/"))) == "connect");
}

TEST_CASE("Requests that can't run say so", "[backend]")
{
  struct Case
  {
    HttpHeaders headers;
    milliseconds work;
    const char* status;
    std::uint64_t runs;
  };
  const Case cases[] = {
    { Header("X-Request-Id", std::string(128, 'x')), milliseconds(1), "200", 1 },
    { Header("X-Request-Id", std::string(129, 'x')), milliseconds(1), "400", 0 },
    { Header("X-Request-Id", "two words"), milliseconds(1), "400", 0 },
    { Header("Plantainhaven-Deadline-Ms", "20"), kForever, "504", 1 },
    { Header("Plantainhaven-Deadline-Ms", "20000"), milliseconds(1), "200", 1 },
  };
  for (const Case& item : cases) {
    CAPTURE(item.headers.All().front().value);
    Bench bench(Options(1, item.work));
    CHECK(TextOf(bench.Exchange(MakeRequest("GET", "/", item.headers))) == item.status);
    CHECK(bench.standin.Executions().total() == item.runs);
  }
}

TEST_CASE("Faults change what a client sees, and count truly what ran", "[backend]")
{
  struct Case
  {
    const char* fault;
    const char* outcome;
    std::uint64_t runs;
  };
  const Case cases[] = {
    { "{}", "200", 1 },
    { R"({"slow_ms":10000})", "timeout", 1 },
    { R"({"late_ms":10000})", "timeout", 1 },
    { R"({"drip_ms":10000})", "timeout", 1 },
    { R"({"silent":true})", "timeout", 0 },
    { R"({"shed_percent":100})", "503", 0 },
    { R"({"truncate_percent":100})", "truncated", 1 },
    { R"({"over_long_bytes":200000})", "too_large", 1 },
    { R"({"fail_percent":100})", "500", 1 },
    { R"({"silence_existing":true})", "200", 1 },
  };
  for (const Case& item : cases) {
    CAPTURE(item.fault);
    Bench bench(Options(1, milliseconds(1)));
    bench.SetFault(item.fault);
    const bool patient = std::string(item.outcome) != "timeout";
    const Outcome outcome =
      bench.Exchange(MakeRequest("GET", "/"), patient ? kLongTimeout : kShortTimeout);
    CHECK(TextOf(outcome) == item.outcome);
    CHECK(bench.standin.Executions().total() == item.runs);
  }
}

TEST_CASE("Crossed answers carry the id of another request", "[backend]")
{
  Bench bench;
  bench.SetFault(R"({"crossed_percent":100})");
  const char* expected[] = { "crossed-a", "a", "b" };
  const char* ids[] = { "a", "b", "c" };
  for (int i = 0; i < 3; ++i) {
    const HttpResponse response =
      bench.MustAnswer(MakeRequest("GET", "/", Header("Plantainhaven-Request-Id", ids[i])));
    CHECK(response.headers.Get("Plantainhaven-Request-Id") == expected[i]);
  }
}

TEST_CASE("Connections open now can go silent while new ones work", "[backend]")
{
  Bench bench(Options(2, milliseconds(1)));
  const auto existing = bench.Connect();
  REQUIRE(TextOf(existing->Exchange(MakeRequest("GET", "/"), kLongTimeout)) == "200");
  bench.SetFault(R"({"silence_existing":true})");
  bench.standin.ResetExecutions();

  CHECK(TextOf(existing->Exchange(MakeRequest("POST", "/"), kShortTimeout)) == "timeout");
  CHECK(bench.standin.Executions().total() == 0);
  CHECK(TextOf(bench.Exchange(MakeRequest("POST", "/"))) == "200");
  CHECK(bench.standin.Executions().total() == 1);
}

TEST_CASE("The load endpoint can mislead", "[backend]")
{
  struct Case
  {
    const char* fault;
    std::uint32_t inFlight;
    bool ready;
  };
  const Case cases[] = {
    { "{}", 1, true },
    { R"({"load_report":"ALWAYS_EMPTY"})", 0, true },
    { R"({"load_report":"ALWAYS_FULL"})", 3, true },
    { R"({"draining":true})", 1, false },
  };
  Bench bench(Options(3, kForever));
  bench.SetFault(R"({"load_report":"FROZEN"})");
  auto running = std::async(std::launch::async,
                            [&bench] { return bench.Exchange(MakeRequest("GET", "/"), kForever); });
  bench.WaitForLoad(1);
  const auto report = [&bench] {
    BackendLoad load;
    REQUIRE(IsOk(ReadJson(bench.MustAnswer(MakeRequest("GET", "/load")).body, load)));
    return load;
  };

  CHECK(report().in_flight() == 0);
  for (const Case& item : cases) {
    CAPTURE(item.fault);
    bench.SetFault(item.fault);
    CHECK(report().in_flight() == item.inFlight);
    CHECK(report().slots() == 3);
    CHECK(report().ready() == item.ready);
    CHECK(report().draining() == !item.ready);
  }
  bench.SetFault(R"({"refuse_load":true})");
  CHECK(bench.MustAnswer(MakeRequest("GET", "/load")).status == 503);
  bench.standin.Stop(milliseconds(0));
}

TEST_CASE("A draining server says so and closes its connections", "[backend]")
{
  Bench bench(Options(1, milliseconds(1)));
  const auto connection = bench.Connect();
  REQUIRE(TextOf(connection->Exchange(MakeRequest("GET", "/"), kLongTimeout)) == "200");
  CHECK(connection->IsOpen());

  SECTION("by a planned stop")
  {
    bench.standin.BeginDrain();
  }
  SECTION("by a fault")
  {
    bench.SetFault(R"({"draining":true})");
  }
  const Outcome outcome = connection->Exchange(MakeRequest("GET", "/"), kLongTimeout);

  REQUIRE(TextOf(outcome) == "200");
  CHECK(std::get<HttpResponse>(outcome).headers.Get("Plantainhaven-Draining") == "true");
  CHECK(!connection->IsOpen());
}

TEST_CASE("Runs are counted by the id of their operation", "[backend]")
{
  Bench bench(Options(1, milliseconds(0)));
  HttpHeaders both = Header("Idempotency-Key", "pay-1");
  both.Add("Plantainhaven-Request-Id", "attempt-1");
  bench.MustAnswer(MakeRequest("POST", "/", both));
  bench.MustAnswer(MakeRequest("POST", "/", Header("Idempotency-Key", "pay-1")));
  bench.MustAnswer(MakeRequest("GET", "/", Header("Plantainhaven-Request-Id", "r")));
  bench.MustAnswer(MakeRequest("GET", "/", Header("X-Request-Id", "x")));
  bench.MustAnswer(MakeRequest("GET", "/"));

  ExecutionList twice;
  REQUIRE(IsOk(ReadJson(bench.MustAnswer(MakeRequest("GET", "/executions?over=1")).body, twice)));
  CHECK(twice.total() == 5);
  CHECK(twice.distinct_ids() == 3);
  REQUIRE(twice.executions_size() == 1);
  CHECK(twice.executions(0).id() == "pay-1");
  CHECK(twice.executions(0).method() == "POST");
  CHECK(twice.executions(0).count() == 2);
  CHECK(bench.standin.Executions().executions_size() == 3);
}

TEST_CASE("The log of runs is bounded and says what it left out", "[backend]")
{
  ExecutionLog log(2);
  for (const char* id : { "a", "b", "c", "a", "" }) {
    log.Note(id, "GET");
  }
  const ExecutionList list = log.List(0);
  CHECK(list.total() == 5);
  CHECK(list.distinct_ids() == 2);
  CHECK(list.untracked() == 1);
  REQUIRE(list.executions_size() == 2);
  CHECK(list.executions(0).count() == 2);
}

TEST_CASE("A cold server warms up evenly", "[backend]")
{
  const ColdStart cold{ milliseconds(1000), milliseconds(80) };
  struct Case
  {
    milliseconds age;
    milliseconds extra;
  };
  const Case cases[] = { { milliseconds(0), milliseconds(80) },
                         { milliseconds(500), milliseconds(40) },
                         { milliseconds(750), milliseconds(20) },
                         { milliseconds(1000), milliseconds(0) },
                         { milliseconds(5000), milliseconds(0) } };
  for (const Case& item : cases) {
    CHECK(cold.ExtraAt(item.age) == item.extra);
  }
  CHECK(ColdStart{}.ExtraAt(milliseconds(0)) == milliseconds(0));
}

} // namespace plantainhaven
