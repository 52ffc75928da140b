#include "entry/request_fixture.h"

#include <catch2/catch.hpp>
#include <google/protobuf/util/json_util.h>

#include <atomic>
#include <thread>

using namespace plantainhaven;

namespace {

BackendAnswer
AnswerIn(const HttpResponse& aResponse)
{
  BackendAnswer answer;
  google::protobuf::util::JsonStringToMessage(aResponse.body, &answer);
  return answer;
}

} // namespace

TEST_CASE("a request with a key is answered by a backend server that doesn't see the key")
{
  RequestFixture fixture;
  HttpRequest request = RequestFixture::Ask("GET", "/pages/1?x=y");
  request.headers.Add("Plantainhaven-Account", "large");
  const HttpResponse response = fixture.handler.Handle(request);
  REQUIRE(response.status == 200);
  const BackendAnswer answer = AnswerIn(response);
  CHECK(answer.target() == "/pages/1?x=y");
  std::string account;
  for (const BackendHeader& header : answer.headers()) {
    CHECK(header.value().find(kSmallKey) == std::string::npos);
    account += header.name() == "Plantainhaven-Account" ? header.value() : "";
  }
  CHECK(account == "small");
  CHECK(fixture.Runs() == 1);
  CHECK(fixture.budgets.Held(BudgetId::ACCOUNT_RATE) == kOneToken);
  CHECK(fixture.budgets.Held(BudgetId::REGION_SLOTS) == 0);
}

TEST_CASE("an open route needs no key")
{
  RequestFixture fixture;
  CHECK(fixture.handler.Handle(RequestFixture::Ask("GET", "/open/1", "")).status == 200);
  CHECK(fixture.budgets.Held(BudgetId::ACCOUNT_RATE) == 0);
}

TEST_CASE("what is refused before it is sent says not run, tells why, and didn't run")
{
  struct RefusalCase
  {
    const char* reason;
    int status;
    void (*prepare)(RequestFixture&, HttpRequest&);
  };
  const RefusalCase cases[] = {
    { "no_key",
      401,
      [](RequestFixture&, HttpRequest& aAsk) { aAsk.headers.Remove("Authorization"); } },
    { "unknown_key",
      401,
      [](RequestFixture&, HttpRequest& aAsk) {
        aAsk = RequestFixture::Ask("POST", "/fees", "x");
      } },
    { "malformed",
      400,
      [](RequestFixture&, HttpRequest& aAsk) { aAsk.headers.Add("authorization", "Bearer x"); } },
    { "malformed", 400, [](RequestFixture&, HttpRequest& aAsk) { aAsk.target = "/fees/../open"; } },
    { "malformed", 400, [](RequestFixture&, HttpRequest& aAsk) { aAsk.headers.Add("X", "\n"); } },
    { "key_outside_authorization",
      400,
      [](RequestFixture&, HttpRequest& aAsk) { aAsk.body = kSmallKey; } },
    { "no_route", 404, [](RequestFixture&, HttpRequest& aAsk) { aAsk.target = "/none"; } },
    { "stale_view", 503, [](RequestFixture& aFixture, HttpRequest&) { aFixture.MakeStale(); } },
    { "unknown_key",
      401,
      [](RequestFixture& aFixture, HttpRequest&) {
        aFixture.config.Remove("key", "small-key");
        aFixture.Publish();
      } },
    { "account_rate",
      429,
      [](RequestFixture& aFixture, HttpRequest&) {
        aFixture.budgets.Refuse(BudgetId::ACCOUNT_RATE, AcquireRefusal::kEmpty);
      } },
    { "region_slots",
      503,
      [](RequestFixture& aFixture, HttpRequest&) {
        aFixture.budgets.Refuse(BudgetId::REGION_SLOTS, AcquireRefusal::kEmpty);
      } },
    { "server_connections",
      503,
      [](RequestFixture& aFixture, HttpRequest&) {
        aFixture.budgets.Refuse(BudgetId::SERVER_CONNECTIONS, AcquireRefusal::kEmpty);
      } },
    { "no_server",
      503,
      [](RequestFixture& aFixture, HttpRequest&) {
        aFixture.steering.OnReport("s0", { 0, true }, BootClock::Now());
        aFixture.steering.OnReport("s1", { 0, true }, BootClock::Now());
      } },
    { "connect",
      503,
      [](RequestFixture& aFixture, HttpRequest&) {
        for (const auto& server : aFixture.servers) {
          server->Stop(std::chrono::milliseconds(0));
        }
      } },
    { "shed",
      503,
      [](RequestFixture& aFixture, HttpRequest&) {
        BackendFault fault;
        fault.set_shed_percent(100);
        aFixture.SetFaults(fault);
      } },
    { "claim_store",
      503,
      [](RequestFixture& aFixture, HttpRequest& aAsk) {
        aAsk.headers.Add("Idempotency-Key", "k");
        PlatformFault fault;
        fault.set_down(true);
        aFixture.platform.SetFault(fault);
      } },
    { "deadline",
      503,
      [](RequestFixture&, HttpRequest& aAsk) {
        aAsk.headers.Add("Plantainhaven-Deadline-Ms", "0");
      } },
  };
  for (const RefusalCase& entry : cases) {
    INFO(entry.reason);
    RequestFixture fixture;
    HttpRequest request = RequestFixture::Ask("POST", "/fees");
    entry.prepare(fixture, request);
    const HttpResponse response = fixture.handler.Handle(request);
    CHECK(response.status == entry.status);
    CHECK(ReasonIn(response) == entry.reason);
    CHECK(SaysNotRun(response));
    CHECK(response.headers.CountOf("Retry-After") == (entry.status == 503 || entry.status == 429));
    CHECK(fixture.Runs() == 0);
    CHECK(fixture.budgets.Held(BudgetId::REGION_SLOTS) == 0);
    CHECK(fixture.metrics.Counter("plantainhaven_refusals_total", "reason", entry.reason) == 1);
  }
}

TEST_CASE("a draining server seen in an answer gets nothing new")
{
  RequestFixture fixture;
  BackendFault fault;
  fault.set_draining(true);
  fixture.servers[0]->SetFault(fault);
  for (int i = 0; i < 30; ++i) {
    CHECK(fixture.handler.Handle(RequestFixture::Ask("GET", "/pages/1")).status == 200);
  }
  CHECK(fixture.servers[0]->Executions().total() <= 1);
}

TEST_CASE("the last look before sending catches what changed since arrival")
{
  struct ChangeCase
  {
    const char* reason;
    void (*change)(RequestFixture&);
  };
  // The change happens while the request takes its slot.
  class ChangingBudgets : public FakeBudgets
  {
  public:
    AcquireResult Take(const LedgerId& aId,
                       TokenThousandths aAmount,
                       std::chrono::nanoseconds aWait) override
    {
      if (aId.type == BudgetId::REGION_SLOTS) {
        this->change();
      }
      return FakeBudgets::Take(aId, aAmount, aWait);
    }
    std::function<void()> change;
  };
  const ChangeCase cases[] = {
    { "stale_view", [](RequestFixture& aFixture) { aFixture.MakeStale(); } },
    { "unknown_key",
      [](RequestFixture& aFixture) {
        aFixture.config.Remove("key", "small-key");
        aFixture.Publish();
      } },
    { "no_route",
      [](RequestFixture& aFixture) {
        aFixture.config.Remove("route", "fees");
        aFixture.Publish();
      } },
  };
  for (const ChangeCase& entry : cases) {
    INFO(entry.reason);
    RequestFixture fixture;
    ChangingBudgets budgets;
    budgets.change = [&] { entry.change(fixture); };
    RequestHandler handler({ "vm-1", "a" },
                           { fixture.view,
                             fixture.steering,
                             fixture.pool,
                             budgets,
                             fixture.links,
                             fixture.claims,
                             fixture.metrics });
    const HttpResponse response = handler.Handle(RequestFixture::Ask("POST", "/fees"));
    CHECK(ReasonIn(response) == entry.reason);
    CHECK(SaysNotRun(response));
    CHECK(fixture.Runs() == 0);
  }
}

TEST_CASE("without room in the own region a request goes to another one, within its link")
{
  const bool linkFull = GENERATE(false, true);
  RequestFixture fixture(1);
  fixture.AddServer("b");
  for (const char* ends : { "ab", "ba" }) {
    Link* link = fixture.config.Add(ends).mutable_link();
    link->set_from_region(std::string(1, ends[0]));
    link->set_to_region(std::string(1, ends[1]));
    link->set_megabits_per_second(100);
  }
  fixture.Publish();
  fixture.steering.OnReport("s0", { 0, true }, BootClock::Now());
  if (linkFull) {
    fixture.budgets.Refuse(BudgetId::LINK_BANDWIDTH, AcquireRefusal::kEmpty);
  }
  HttpRequest request = RequestFixture::Ask("POST", "/fees");
  request.body = std::string(10000, 'x');
  const HttpResponse response = fixture.handler.Handle(request);
  if (linkFull) {
    CHECK(ReasonIn(response) == "link_bandwidth");
    CHECK(SaysNotRun(response));
    CHECK(fixture.Runs() == 0);
  } else {
    CHECK(response.status == 200);
    CHECK(response.headers.Get("Plantainhaven-Region") == "b");
    CHECK(fixture.budgets.Held(BudgetId::LINK_BANDWIDTH) > 10000 * kOneToken);
  }
}

TEST_CASE("a lost region's part of the traffic is refused until the shift has moved it")
{
  RequestFixture fixture(1);
  fixture.AddServer("b");
  fixture.config.AddPolicy("s", { 50, 50 }, 1, 3600);
  fixture.Publish();
  fixture.steering.OnReport("s0", { 0, true }, BootClock::Now());
  int answered = 0;
  int refused = 0;
  for (int i = 0; i < 40; ++i) {
    const HttpResponse response = fixture.handler.Handle(RequestFixture::Ask("GET", "/pages/1"));
    answered += response.status == 200 ? 1 : 0;
    refused += ReasonIn(response) == "shift_cap" && SaysNotRun(response) ? 1 : 0;
  }
  CHECK(answered + refused == 40);
  CHECK(answered >= 18);
  CHECK(answered <= 22);
  CHECK(fixture.servers[0]->Executions().total() == 0);
}

TEST_CASE("no more than the set number of requests waits for tokens")
{
  // Counts the calls that wait, which never get a token.
  class SlowBudgets : public FakeBudgets
  {
  public:
    AcquireResult Take(const LedgerId& aId,
                       TokenThousandths,
                       std::chrono::nanoseconds aWait) override
    {
      if (aId.type == BudgetId::ACCOUNT_RATE && aWait.count() > 0) {
        const int now = ++this->waiting;
        this->most = std::max(this->most.load(), now);
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        --this->waiting;
      }
      return { AcquireRefusal::kEmpty, std::chrono::seconds(1) };
    }
    std::atomic<int> waiting{ 0 };
    std::atomic<int> most{ 0 };
  };
  RequestFixture fixture;
  SlowBudgets budgets;
  RequestHandlerOptions options{ "vm-1", "a" };
  options.mostWaiting = 5;
  RequestHandler handler(options,
                         { fixture.view,
                           fixture.steering,
                           fixture.pool,
                           budgets,
                           fixture.links,
                           fixture.claims,
                           fixture.metrics });
  std::atomic<int> refused{ 0 };
  std::vector<std::thread> callers;
  for (int i = 0; i < 20; ++i) {
    callers.emplace_back([&] {
      const HttpResponse response = handler.Handle(RequestFixture::Ask("POST", "/fees"));
      refused += ReasonIn(response) == "account_rate" ? 1 : 0;
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  CHECK(refused == 20);
  CHECK(budgets.most <= 5);
  CHECK(budgets.most >= 1);
}

TEST_CASE("with every server of the own region gone another region answers at once")
{
  RequestFixture fixture(4);
  fixture.AddServer("b");
  fixture.Publish();
  for (int i = 0; i < 4; ++i) {
    fixture.servers[i]->Stop(std::chrono::milliseconds(0));
  }
  for (int i = 0; i < 20; ++i) {
    CHECK(fixture.handler.Handle(RequestFixture::Ask("POST", "/fees")).status == 200);
  }
  CHECK(fixture.Runs() == 20);
}
