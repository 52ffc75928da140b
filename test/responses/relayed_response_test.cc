#include "edge/one_vm.h"
#include "http/raw_peer.h"
#include "support/peak_memory.h"
#include "support/repeat.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

namespace plantainhaven::edge {
namespace {

constexpr long kMaxGrowthBytes = 32 << 20;
const std::string kOk = "HTTP/1.1 200 OK\r\n";

// Waits until a VM has found out that it has no path, and is served through the other.
void
AwaitRelaying(OneVm& aVm)
{
  REQUIRE(Await([&] { return aVm.SendRequest(http::verb::get, "/read/x").result_int() == 200; }));
}

TEST_CASE("Broken responses don't get through a relaying VM")
{
  struct Case
  {
    std::string name;
    std::string firstLine;
    std::string fields;
  };
  const Case cases[] = {
    { "status 000", "HTTP/1.1 000 OK\r\n", "" },
    { "status 999", "HTTP/1.1 999 OK\r\n", "" },
    { "blank in a name", kOk, "X Y: a\r\n" },
    { "control byte in a name", kOk, "X\x01Y: a\r\n" },
    { "folded line", kOk, " : a\r\n" },
    { "unknown coding", kOk, "Transfer-Encoding: gzip\r\n" },
    { "two ids", kOk, "X-Plantainhaven-Request-Id: other\r\n" },
  };
  for (const Case& entry : cases) {
    CAPTURE(entry.name);
    FakeServer server(Served);
    OneVm relay;
    relay.UseServerAt(server.Port());
    OneVm vm;
    vm.RelayThrough(relay.RelayEndpoint());
    AwaitRelaying(vm);
    server.SetHandler([&entry](const FakeRequest& aRequest) {
      return FakeAnswer{ entry.firstLine + IdLine(aRequest) + kSignatureLine + entry.fields +
                           "Content-Length: 5\r\n\r\nwrong",
                         true };
    });
    const ReceivedResponse answer = vm.SendRequest(http::verb::post, "/book/x");
    CHECK(answer.result_int() == 502);
    CHECK(answer.body() == "broken\n");
    CHECK(answer.count(platform::kSignatureHeader) == 0);
  }
}

// A VM of an earlier build may pass on what this one refuses.
TEST_CASE("Broken responses of a relaying VM aren't forwarded")
{
  const std::string outcome = "Plantainhaven-Relay-Outcome: served\r\n";
  struct Case
  {
    std::string name;
    std::string begin;
    std::string fields;
  };
  const Case cases[] = {
    { "status 000", "HTTP/1.1 000 OK\r\n", "Content-Length: 5\r\n" },
    { "status 999", "HTTP/1.1 999 OK\r\n", "Content-Length: 5\r\n" },
    { "folded line", kOk, " : a\r\nContent-Length: 5\r\n" },
    { "unknown coding", kOk, "Transfer-Encoding: gzip\r\n" },
    { "truncated", kOk, "Content-Length: 6\r\n" },
    { "two ids", kOk, "X-Plantainhaven-Request-Id: other\r\nContent-Length: 5\r\n" },
  };
  for (const Case& entry : cases) {
    CAPTURE(entry.name);
    FakeServer relay([&](const FakeRequest& aRequest) {
      if (aRequest.method() == http::verb::get) {
        return FakeAnswer{ Response(aRequest, "200 OK", kSignatureLine + outcome, "whole") };
      }
      return FakeAnswer{
        entry.begin + IdLine(aRequest) + outcome + kSignatureLine + entry.fields + "\r\nwrong", true
      };
    });
    OneVm vm;
    vm.RelayThrough(relay.Address());
    AwaitRelaying(vm);
    const ReceivedResponse answer = vm.SendRequest(http::verb::post, "/book/x");
    CHECK(answer.result_int() == 502);
    CHECK(answer.count(platform::kSignatureHeader) == 0);
  }
}

TEST_CASE("A response without end is cut off in bounded memory by VMs that relay")
{
  const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
  struct Case
  {
    std::string name;
    std::string begin;
    std::string endless;
    // 0: the connection ends before the response is complete.
    unsigned status;
  };
  // The id of the request and the signature stand before each but the first.
  const Case cases[] = {
    { "no line end", "", "x", 502 },
    { "field", "X-Field: ", "a", 502 },
    { "fields", "", "X-Field: a\r\n", 502 },
    { "chunk extension", chunked + "5;a=", "a", 502 },
    { "trailer", chunked + "0\r\nX-Field: ", "a", 502 },
    { "tiny chunks", chunked, "1\r\nb\r\n", 0 },
    { "body", "\r\n", "b", 0 },
  };
  for (const Case& entry : cases) {
    CAPTURE(entry.name);
    FakeServer server(Served);
    OneVm relay;
    relay.UseServerAt(server.Port());
    OneVm vm;
    vm.RelayThrough(relay.RelayEndpoint());
    AwaitRelaying(vm);
    server.SetHandler([&entry](const FakeRequest& aRequest) {
      const std::string head = kOk + IdLine(aRequest) + kSignatureLine;
      return FakeAnswer{ .bytes = entry.name == "no line end" ? "x" : head + entry.begin,
                         .endless = Repeat(entry.endless) };
    });
    const PeakMemory memory;
    CHECK(vm.SendRequest(http::verb::post, "/book/x").result_int() == entry.status);
    CHECK(memory.Growth() < kMaxGrowthBytes);
    server.SetHandler(Served);
    CHECK(vm.SendRequest(http::verb::get, "/read/x").body() == "whole");
  }
}

// A VM has 260 MB.
TEST_CASE("Callers that read endless responses slowly don't fill the memory of a VM")
{
  constexpr int kCallers = 100;
  constexpr long kMaxGrowthOfMany = 130 << 20;
  FakeServer server([](const FakeRequest& aRequest) {
    if (aRequest.target() == "/read/sound") {
      return Served(aRequest);
    }
    return FakeAnswer{ .bytes = kOk + IdLine(aRequest) + kSignatureLine + "\r\n",
                       .endless = Repeat("b") };
  });
  OneVm vm;
  vm.UseServerAt(server.Port(), 2 * kCallers);
  const PeakMemory memory;
  std::vector<RawSocket> callers;
  for (int i = 0; i < kCallers; ++i) {
    callers.push_back(RawSocket::To(vm.CallersPort()));
    callers.back().Send("GET /read/x HTTP/1.1\r\nHost: shop.example\r\n"
                        "Authorization: Token key-1\r\nX-Plantainhaven-Request-Id: slow-" +
                        std::to_string(i) + "\r\n\r\n");
  }
  for (int round = 0; round < 10; ++round) {
    for (const RawSocket& caller : callers) {
      caller.ReadUntil("b");
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    CHECK(vm.SendRequest(http::verb::get, "/read/sound").body() == "whole");
  }
  CHECK(memory.Growth() < kMaxGrowthOfMany);
}

} // namespace
} // namespace plantainhaven::edge
