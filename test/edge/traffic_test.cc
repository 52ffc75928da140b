#include "edge/traffic.h"

#include "edge/context.h"
#include "edge/fake_server.h"
#include "platform/free_port.h"
#include "platform/names.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <catch2/catch.hpp>
#include <future>

namespace plantainhaven::edge {
namespace {

namespace http = beast::http;
using Answer = http::response<http::string_body>;

constexpr const char* kSigned = "X-Plantainhaven-Response-Signature: sig\r\n";

std::string
IdLine(const FakeRequest& aRequest)
{
  const auto id = aRequest[platform::kRequestIdHeader];
  return std::string(platform::kRequestIdHeader) + ": " + std::string(id.data(), id.size()) +
         "\r\n";
}

std::string
Response(const FakeRequest& aRequest,
         const std::string& aStatus,
         const std::string& aFields,
         const std::string& aBody)
{
  return "HTTP/1.1 " + aStatus + "\r\n" + IdLine(aRequest) + aFields +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

FakeAnswer
Served(const FakeRequest& aRequest)
{
  return { Response(aRequest, "200 OK", kSigned, "whole") };
}

FakeAnswer
Shed(const FakeRequest& aRequest)
{
  return { Response(aRequest, "503 Busy", "X-Plantainhaven-Not-Executed: 1\r\n", "") };
}

FakeAnswer
Failed(const FakeRequest& aRequest)
{
  return { Response(aRequest, "500 Error", kSigned, "failed") };
}

FakeAnswer
Unsigned(const FakeRequest& aRequest)
{
  return { Response(aRequest, "200 OK", "", "whole") };
}

FakeAnswer
ClosedWithoutAnswer(const FakeRequest&)
{
  return { "", true };
}

FakeAnswer
Truncated(const FakeRequest& aRequest)
{
  return { "HTTP/1.1 200 OK\r\n" + IdLine(aRequest) + kSigned + "Content-Length: 100\r\n\r\npart",
           true };
}

FakeAnswer
NoResponse(const FakeRequest&)
{
  return { "these bytes are no response\r\n\r\n", true };
}

FakeAnswer
WithoutLength(const FakeRequest& aRequest)
{
  return { "HTTP/1.1 200 OK\r\n" + IdLine(aRequest) + kSigned + "\r\nwhole", true };
}

// A VM with two backend servers of one service, its routes and one account.
class OneVm
{
public:
  OneVm()
    : first(Served)
    , second(Served)
  {
    this->settings.mutable_vm()->set_name("vm-1");
    this->settings.mutable_vm()->set_address("127.0.0.1");
    this->settings.mutable_vm()->set_region("north");
    this->callersPort = FreePort();
    auto* const listen = this->settings.mutable_listen();
    listen->set_callers("127.0.0.1:" + std::to_string(this->callersPort));
    listen->set_readiness("127.0.0.1:" + std::to_string(FreePort()));
    listen->set_lookups("127.0.0.1:" + std::to_string(FreePort()));
    this->traffic = std::make_unique<Traffic>(
      this->context,
      this->settings,
      platform::Bounds(),
      this->metrics,
      [](const std::string&, const Envelope&) {},
      [](const VmReport&) {});
    this->traffic->Start();
    this->traffic->SetRouting(MakeRouting());
    this->traffic->SetQuotaRange({ 0, kWholeQuota });
    this->traffic->SetServers(
      { this->MakeServer("s1", this->first), this->MakeServer("s2", this->second) },
      BootClock::Now());
    this->thread = std::thread([this] { this->context.run(); });
  }

  ~OneVm()
  {
    this->context.stop();
    this->thread.join();
    this->context.End();
  }

  // Sends a request on a connection of its own and returns the answer; status 0 when the
  // connection ended without a whole one.
  Answer Ask(http::verb aMethod, const std::string& aPath, const std::string& aKey = "key-1")
  {
    asio::io_context own;
    Tcp::socket socket(own);
    socket.connect({ asio::ip::make_address("127.0.0.1"), this->callersPort });
    return this->AskOn(socket, aMethod, aPath, aKey);
  }

  Answer AskOn(Tcp::socket& aSocket,
               http::verb aMethod,
               const std::string& aPath,
               const std::string& aKey = "key-1")
  {
    http::request<http::string_body> request(aMethod, aPath, 11);
    request.set(http::field::host, "shop.example");
    request.set(platform::kRequestIdHeader, "id-" + std::to_string(++this->asked));
    request.set(platform::kObjectHeader, "17");
    request.set(platform::kDeadlineHeader, "1500");
    request.set(platform::kAccountHeader, "forged");
    request.set(http::field::authorization, "Token " + aKey);
    request.prepare_payload();
    beast::error_code fault;
    http::write(aSocket, request, fault);
    beast::flat_buffer buffer;
    Answer answer;
    http::read(aSocket, buffer, answer, fault);
    if (fault) {
      answer = {};
      answer.result(0U);
    }
    return answer;
  }

  // First sends that earn a repeat.
  void EarnRepeats()
  {
    for (int i = 0; i < 12; ++i) {
      REQUIRE(this->Ask(http::verb::get, "/read/x").result_int() == 200);
    }
  }

  void Spoil(FakeAnswer (*aFirst)(const FakeRequest&))
  {
    // Whichever server gets the request first answers badly, the other one well.
    const auto used = std::make_shared<std::atomic<bool>>(false);
    const auto handler = [used, aFirst](const FakeRequest& aRequest) {
      return used->exchange(true) ? Served(aRequest) : aFirst(aRequest);
    };
    this->first.SetHandler(handler);
    this->second.SetHandler(handler);
  }

  std::size_t Arrived() const
  {
    return this->first.Arrived().size() + this->second.Arrived().size();
  }
  FakeRequest Last() const
  {
    const auto one = this->first.Arrived();
    return one.empty() ? this->second.Arrived().back() : one.back();
  }

private:
  static RoutingPtr MakeRouting()
  {
    auto routing = std::make_shared<Routing>();
    routing->version = 1;
    Route read;
    read.name = "read";
    read.prefix = "/read/";
    read.isIdempotent = true;
    read.timeout = std::chrono::milliseconds(1000);
    read.latencyObjective = std::chrono::milliseconds(300);
    read.maxAttempts = 2;
    read.targets = { { "portal", 1.0 } };
    Route book = read;
    book.name = "book";
    book.prefix = "/book/";
    book.isIdempotent = false;
    routing->AddRoute("shop.example", read);
    routing->AddRoute("shop.example", book);
    Account account;
    account.name = "shop";
    Account poor;
    poor.name = "poor";
    poor.rate = 0.001;
    poor.burst = 1;
    routing->accounts = { account, poor };
    routing->AddKey("key-1", 0);
    routing->AddKey("key-2", 1);
    return routing;
  }

  BackendServer MakeServer(const std::string& aId, const FakeServer& aServer) const
  {
    BackendServer server;
    server.id = aId;
    server.service = "portal";
    server.address = "127.0.0.1";
    server.port = aServer.Port();
    server.region = "north";
    server.failureDomain = "north-a";
    server.slots = 4;
    return server;
  }

  EdgedSettings settings;
  Metrics metrics;
  FakeServer first;
  FakeServer second;
  Context context;
  std::uint16_t callersPort = 0;
  std::unique_ptr<Traffic> traffic;
  std::thread thread;
  std::atomic<int> asked{ 0 };
};

TEST_CASE("What a server does decides the answer and whether the request is sent again")
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
    { "response without a length", get, "/read/x", WithoutLength, 200, 1 },
    { "shed, idempotent", get, "/read/x", Shed, 200, 2 },
    { "shed, not idempotent", post, "/book/x", Shed, 200, 2 },
    { "closed, idempotent", get, "/read/x", ClosedWithoutAnswer, 200, 2 },
    { "closed, not idempotent", post, "/book/x", ClosedWithoutAnswer, 502, 1 },
    { "truncated, idempotent", get, "/read/x", Truncated, 200, 2 },
    { "truncated, not idempotent", post, "/book/x", Truncated, 502, 1 },
    { "no response, idempotent", get, "/read/x", NoResponse, 200, 2 },
    { "no response, not idempotent", post, "/book/x", NoResponse, 502, 1 },
    { "unsigned, idempotent", get, "/read/x", Unsigned, 200, 2 },
    { "unsigned, not idempotent", post, "/book/x", Unsigned, 502, 1 },
    { "server's failure, idempotent", get, "/read/x", Failed, 200, 2 },
    { "server's failure, not idempotent", post, "/book/x", Failed, 500, 1 },
  };
  for (const Case& entry : cases) {
    CAPTURE(entry.name);
    OneVm vm;
    vm.EarnRepeats();
    const std::size_t before = vm.Arrived();
    vm.Spoil(entry.first);
    const Answer answer = vm.Ask(entry.method, entry.path);
    CHECK(answer.result_int() == entry.status);
    CHECK(vm.Arrived() - before == entry.sends);
    if (entry.status == 200) {
      CHECK(answer.body() == "whole");
    }
  }
}

TEST_CASE("Requests that the configuration doesn't allow are refused and not sent")
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
    const Answer answer = vm.Ask(http::verb::get, entry.path, entry.key);
    CHECK(answer.result_int() == entry.status);
    CHECK(vm.Arrived() == 0);
    const bool hasTime = answer.find(http::field::retry_after) != answer.end();
    CHECK(hasTime == (entry.status == 429));
  }
}

TEST_CASE("A server learns the account and never the key")
{
  OneVm vm;
  REQUIRE(vm.Ask(http::verb::get, "/read/x?q=1").result_int() == 200);
  const FakeRequest seen = vm.Last();
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

TEST_CASE("Bytes after a response never reach the next caller")
{
  OneVm vm;
  const auto twice = [](const FakeRequest& aRequest) {
    FakeAnswer answer = Served(aRequest);
    answer.bytes += "HTTP/1.1 200 OK\r\nX-Plantainhaven-Request-Id: other\r\n"
                    "X-Plantainhaven-Response-Signature: sig\r\nContent-Length: 5\r\n\r\nwrong";
    return answer;
  };
  vm.Spoil(twice);
  asio::io_context own;
  for (int i = 0; i < 6; ++i) {
    const Answer answer = vm.Ask(http::verb::get, "/read/x");
    CHECK(answer.result_int() == 200);
    CHECK(answer.body() == "whole");
  }
}

TEST_CASE("A kept connection serves many requests")
{
  OneVm vm;
  asio::io_context own;
  Tcp::socket socket(own);
  const Answer first = vm.Ask(http::verb::get, "/read/x");
  REQUIRE(first.result_int() == 200);
  CHECK(first.keep_alive());
}

} // namespace
} // namespace plantainhaven::edge
