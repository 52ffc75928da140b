#include "edge/traffic.h"

#include "edge/one_vm.h"

#include <catch2/catch.hpp>

namespace plantainhaven::edge {
namespace {

TEST_CASE("The server's behavior determines the response and whether the request is retried")
{
  struct Case
  {
    std::string name;
    http::verb method;
    std::string path;
    FakeAnswer (*first)(const FakeRequest&);
    unsigned status;
    std::size_t sends;
  };
  const auto get = http::verb::get;
  const auto post = http::verb::post;
  const Case cases[] = {
    { "served", get, "/read/x", Served, 200, 1 },
    { "response without a length", get, "/read/x", MissingContentLength, 200, 1 },
    { "shed, idempotent", get, "/read/x", Shed, 200, 2 },
    { "shed, not idempotent", post, "/book/x", Shed, 200, 2 },
    { "closed, idempotent", get, "/read/x", ClosedWithoutAnswer, 200, 2 },
    { "closed, not idempotent", post, "/book/x", ClosedWithoutAnswer, 502, 1 },
    { "truncated, idempotent", get, "/read/x", Truncated, 200, 2 },
    { "truncated, not idempotent", post, "/book/x", Truncated, 502, 1 },
    { "truncated head, idempotent", get, "/read/x", TruncatedHead, 200, 2 },
    { "truncated head, not idempotent", post, "/book/x", TruncatedHead, 502, 1 },
    { "head without its end, idempotent", get, "/read/x", TruncatedAfterHeadLine, 200, 2 },
    { "head without its end, not idempotent", post, "/book/x", TruncatedAfterHeadLine, 502, 1 },
    { "no response, idempotent", get, "/read/x", MalformedResponse, 200, 2 },
    { "no response, not idempotent", post, "/book/x", MalformedResponse, 502, 1 },
    { "unsigned, idempotent", get, "/read/x", Unsigned, 200, 2 },
    { "unsigned, not idempotent", post, "/book/x", Unsigned, 502, 1 },
    { "server's failure, idempotent", get, "/read/x", Failed, 200, 2 },
    { "server's failure, not idempotent", post, "/book/x", Failed, 500, 1 },
  };
  for (const Case& entry : cases) {
    CAPTURE(entry.name);
    OneVm vm;
    vm.EarnRetryBudget();
    const std::size_t before = vm.ReceivedCount();
    vm.FailFirstAttempt(entry.first);
    const ReceivedResponse answer = vm.SendRequest(entry.method, entry.path);
    CHECK(answer.result_int() == entry.status);
    CHECK(vm.ReceivedCount() - before == entry.sends);
    if (entry.status == 200) {
      CHECK(answer.body() == "whole");
    }
  }
}

TEST_CASE("Requests that the configuration doesn't allow are rejected and not forwarded")
{
  struct Case
  {
    std::string path;
    std::string key;
    unsigned status;
  };
  const Case cases[] = {
    { "/read/x", "unknown", 401 },
    { "/other/x", "key-1", 404 },
    { "/read/x", "key-2", 429 },
  };
  for (const Case& entry : cases) {
    CAPTURE(entry.path, entry.key);
    OneVm vm;
    const ReceivedResponse answer = vm.SendRequest(http::verb::get, entry.path, entry.key);
    CHECK(answer.result_int() == entry.status);
    CHECK(vm.ReceivedCount() == 0);
    const bool hasTime = answer.find(http::field::retry_after) != answer.end();
    CHECK(hasTime == (entry.status == 429));
  }
}

TEST_CASE("A server receives the account's name and never its key")
{
  OneVm vm;
  REQUIRE(vm.SendRequest(http::verb::get, "/read/x?q=1").result_int() == 200);
  const FakeRequest seen = vm.LastRequest();
  CHECK(seen.target() == "/read/x?q=1");
  CHECK(seen[platform::kAccountHeader] == "shop");
  CHECK(seen.find(http::field::authorization) == seen.end());
  const std::string target(seen[platform::kTargetHeader].data(),
                           seen[platform::kTargetHeader].size());
  CHECK((target == "s1" || target == "s2"));
  const std::string deadline(seen[platform::kDeadlineHeader].data(),
                             seen[platform::kDeadlineHeader].size());
  CHECK(std::stoi(deadline) <= 1000);
  CHECK(seen[http::field::host] == "shop.example");
}

TEST_CASE("Excess bytes after a response never reach the next caller")
{
  OneVm vm;
  const auto twice = [](const FakeRequest& aRequest) {
    FakeAnswer answer = Served(aRequest);
    answer.bytes += "HTTP/1.1 200 OK\r\nX-Plantainhaven-Request-Id: other\r\n"
                    "X-Plantainhaven-Response-Signature: sig\r\nContent-Length: 5\r\n\r\nwrong";
    return answer;
  };
  vm.FailFirstAttempt(twice);
  asio::io_context own;
  for (int i = 0; i < 6; ++i) {
    const ReceivedResponse answer = vm.SendRequest(http::verb::get, "/read/x");
    CHECK(answer.result_int() == 200);
    CHECK(answer.body() == "whole");
  }
}

// Under overload, a request may be read long after its caller has closed the connection.
// A caller was told "not run, try again" for a request that the server was running.
TEST_CASE(
  "A rejection that a server repeats on a kept connection isn't taken for a later request's")
{
  struct Case
  {
    const char* name;
    bool repeatsId;
  };
  for (const Case& entry :
       { Case{ "with the earlier id", true }, Case{ "without an id", false } }) {
    CAPTURE(entry.name);
    OneVm vm;
    const auto rejection = std::make_shared<std::string>();
    FakeServer server([rejection, &entry](const FakeRequest& aRequest) {
      if (!rejection->empty()) {
        return FakeAnswer{ *rejection + Served(aRequest).bytes };
      }
      const std::string bytes = Shed(aRequest).bytes;
      const std::string id = IdLine(aRequest);
      *rejection = bytes;
      if (!entry.repeatsId) {
        rejection->erase(rejection->find(id), id.size());
      }
      return FakeAnswer{ bytes };
    });
    vm.UseServerAt(server.Port());
    CHECK(vm.SendRequest(http::verb::post, "/book/x").result_int() == 503);
    const auto second = vm.SendRequest(http::verb::post, "/book/x");
    REQUIRE(server.Arrived().size() == 2);
    CHECK(second.result_int() != 503);
    CHECK(second.result_int() != 429);
    CHECK((second.result_int() != 200 || second.body() == "whole"));
  }
}

TEST_CASE("A request whose caller disconnected before it was read isn't forwarded")
{
  OneVm vm;
  vm.EarnRetryBudget();
  const std::size_t before = vm.ReceivedCount();
  for (int i = 0; i < 5; ++i) {
    vm.SendAndDisconnect("/read/x");
    CHECK(vm.SendRequest(http::verb::get, "/read/x").result_int() == 200);
  }
  CHECK(vm.ReceivedCount() - before == 5);
}

// A VM that was ready before it had received a report from the VM that held the tokens rejected
// bookings with 429.
TEST_CASE("A VM that has just started isn't ready before it has received the others' reports")
{
  OneVm vm;
  CHECK(vm.Readiness() == 503);
  FleetView fleet;
  fleet.canAcquireTokens = true;
  vm.SetFleet(fleet);
  CHECK(vm.Readiness() == 200);
}

TEST_CASE("A VM that knows of a newer configuration doesn't serve by its own for long")
{
  OneVm vm;
  FleetView fleet;
  fleet.canAcquireTokens = true;
  fleet.newestConfiguration = 1;
  vm.SetFleet(fleet);
  REQUIRE(vm.SendRequest(http::verb::get, "/read/x").result_int() == 200);
  fleet.newestConfiguration = 2;
  vm.SetFleet(fleet);
  CHECK(vm.SendRequest(http::verb::get, "/read/x").result_int() == 200);
  std::this_thread::sleep_for(platform::Bounds().configurationTime);
  const std::size_t received = vm.ReceivedCount();
  const auto refused = vm.SendRequest(http::verb::get, "/read/x");
  CHECK(refused.result_int() == 503);
  CHECK(refused.count(http::field::retry_after) == 1);
  CHECK(vm.ReceivedCount() == received);
  CHECK(vm.Readiness() == 503);
  auto newer = std::make_shared<Routing>(*MakeTestRouting());
  newer->version = 2;
  vm.SetRouting(newer);
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  CHECK(vm.SendRequest(http::verb::get, "/read/x").result_int() == 200);
  CHECK(vm.Readiness() == 200);
}

TEST_CASE("A connection is kept open after a response")
{
  OneVm vm;
  asio::io_context own;
  Tcp::socket socket(own);
  const ReceivedResponse first = vm.SendRequest(http::verb::get, "/read/x");
  REQUIRE(first.result_int() == 200);
  CHECK(first.keep_alive());
}

} // namespace
} // namespace plantainhaven::edge
