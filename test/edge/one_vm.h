#pragma once

#include "edge/context.h"
#include "edge/fake_server.h"
#include "edge/traffic.h"
#include "plantainhaven/standin/free_port.h"
#include "platform/names.h"

#include <atomic>
#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <utility>

namespace plantainhaven::edge {

namespace http = beast::http;
using ReceivedResponse = http::response<http::string_body>;

// The whole quota, for as long as a test runs.
inline const QuotaGrant kWholeQuota{ .ranges = { { 0, kQuotaRingSize } },
                                     .validUntil = BootTime::max() };

inline constexpr const char* kSignatureLine = "X-Plantainhaven-Response-Signature: sig\r\n";

inline std::string
IdLine(const FakeRequest& aRequest)
{
  const auto id = aRequest[platform::kRequestIdHeader];
  return std::string(platform::kRequestIdHeader) + ": " + std::string(id.data(), id.size()) +
         "\r\n";
}

inline std::string
Response(const FakeRequest& aRequest,
         const std::string& aStatus,
         const std::string& aFields,
         const std::string& aBody)
{
  return "HTTP/1.1 " + aStatus + "\r\n" + IdLine(aRequest) + aFields +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

inline FakeAnswer
Served(const FakeRequest& aRequest)
{
  return { .bytes = Response(aRequest, "200 OK", kSignatureLine, "whole") };
}

inline FakeAnswer
Shed(const FakeRequest& aRequest)
{
  return { Response(aRequest, "503 Busy", "X-Plantainhaven-Not-Executed: 1\r\n", "") };
}

inline FakeAnswer
Failed(const FakeRequest& aRequest)
{
  return { Response(aRequest, "500 Error", kSignatureLine, "failed") };
}

inline FakeAnswer
Unsigned(const FakeRequest& aRequest)
{
  return { Response(aRequest, "200 OK", "", "whole") };
}

inline FakeAnswer
ClosedWithoutAnswer(const FakeRequest&)
{
  return { "", true };
}

inline FakeAnswer
Truncated(const FakeRequest& aRequest)
{
  return { "HTTP/1.1 200 OK\r\n" + IdLine(aRequest) + kSignatureLine +
             "Content-Length: 100\r\n\r\npart",
           true };
}

// A response whose head breaks off before its end.
inline FakeAnswer
TruncatedHead(const FakeRequest& aRequest)
{
  return { "HTTP/1.1 200 OK\r\n" + IdLine(aRequest) + kSignatureLine + "Content-Le", true };
}

inline FakeAnswer
TruncatedAfterHeadLine(const FakeRequest& aRequest)
{
  return { "HTTP/1.1 200 OK\r\n" + IdLine(aRequest) + kSignatureLine, true };
}

inline FakeAnswer
MalformedResponse(const FakeRequest&)
{
  return { "these bytes are no response\r\n\r\n", true };
}

inline FakeAnswer
MissingContentLength(const FakeRequest& aRequest)
{
  return { "HTTP/1.1 200 OK\r\n" + IdLine(aRequest) + kSignatureLine + "\r\nwhole", true };
}

// Two routes of one service and two accounts.
inline RoutingPtr
MakeTestRouting()
{
  auto routing = std::make_shared<Routing>();
  routing->version = 1;
  routing->limits.maxBodyBytes = 1 << 20;
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
  Account limitedAccount;
  limitedAccount.name = "poor";
  limitedAccount.rate = 0.001;
  limitedAccount.burst = 1;
  routing->accounts = { account, limitedAccount };
  routing->AddKey("key-1", 0);
  routing->AddKey("key-2", 1);
  return routing;
}

// A backend server of service "portal" at the fake server's port.
inline BackendServer
MakeTestServer(const std::string& aId, const FakeServer& aServer)
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

// Sets the name, region and listeners of a VM on loopback and returns the port for callers.
inline std::uint16_t
SetUpVm(EdgedSettings& aSettings, const std::string& aName)
{
  aSettings.mutable_vm()->set_name(aName);
  aSettings.mutable_vm()->set_address("127.0.0.1");
  aSettings.mutable_vm()->set_region("north");
  const std::uint16_t callersPort = FreePort();
  auto* const listen = aSettings.mutable_listen();
  listen->set_callers("127.0.0.1:" + std::to_string(callersPort));
  listen->set_readiness("127.0.0.1:" + std::to_string(FreePort()));
  listen->set_lookups("127.0.0.1:" + std::to_string(FreePort()));
  return callersPort;
}

// A VM with two backend servers of one service, two routes and two accounts.
class OneVm
{
public:
  OneVm()
    : first(Served)
    , second(Served)
  {
    this->callersPort = SetUpVm(this->settings, "vm-1");
    this->settings.mutable_listen()->add_relay_ports(FreePort());
    this->traffic = std::make_unique<Traffic>(
      this->context,
      this->settings,
      platform::Bounds(),
      this->metrics,
      [](const std::string&, const Envelope&) {},
      [](const VmReport&) {});
    this->traffic->Start();
    this->traffic->SetRouting(MakeTestRouting());
    this->traffic->SetQuota(kWholeQuota);
    this->traffic->SetServers(
      { MakeTestServer("s1", this->first), MakeTestServer("s2", this->second) }, BootClock::Now());
    this->thread = std::thread([this] { this->context.run(); });
  }

  ~OneVm()
  {
    this->context.stop();
    this->thread.join();
    this->context.Shutdown();
  }

  // Sends a request on a new connection and returns the response; its status is 0 when the
  // connection ends before the response is complete.
  ReceivedResponse SendRequest(http::verb aMethod,
                               const std::string& aPath,
                               const std::string& aKey = "key-1",
                               const std::string& aDeadline = "1500")
  {
    asio::io_context clientContext;
    Tcp::socket socket(clientContext);
    socket.connect({ asio::ip::make_address("127.0.0.1"), this->callersPort });
    return this->SendRequestOn(socket, aMethod, aPath, aKey, aDeadline);
  }

  ReceivedResponse SendRequestOn(Tcp::socket& aSocket,
                                 http::verb aMethod,
                                 const std::string& aPath,
                                 const std::string& aKey = "key-1",
                                 const std::string& aDeadline = "1500")
  {
    http::request<http::string_body> request(aMethod, aPath, 11);
    request.set(http::field::host, "shop.example");
    request.set(platform::kRequestIdHeader, "id-" + std::to_string(++this->requestCount));
    request.set(platform::kAffinityKeyHeader, "17");
    request.set(platform::kDeadlineHeader, aDeadline);
    request.set(platform::kAccountHeader, "forged");
    request.set(http::field::authorization, "Token " + aKey);
    request.prepare_payload();
    beast::error_code fault;
    http::write(aSocket, request, fault);
    beast::flat_buffer buffer;
    ReceivedResponse answer;
    http::read(aSocket, buffer, answer, fault);
    if (fault) {
      answer = {};
      answer.result(0U);
    }
    return answer;
  }

  // Sends a request and closes the connection before the VM can read any of it: the VM's
  // thread is blocked meanwhile.
  void SendAndDisconnect(const std::string& aPath)
  {
    this->WhileBlocked([&] {
      asio::io_context clientContext;
      Tcp::socket socket(clientContext);
      socket.connect({ asio::ip::make_address("127.0.0.1"), this->callersPort });
      const std::string head = "GET " + aPath +
                               " HTTP/1.1\r\nHost: shop.example\r\n"
                               "X-Plantainhaven-Request-Id: unread\r\n"
                               "X-Plantainhaven-Affinity-Key: 17\r\n"
                               "Authorization: Token key-1\r\n\r\n";
      asio::write(socket, asio::buffer(head));
    });
  }

  // Runs the action while the VM's thread is blocked.
  void WhileBlocked(const std::function<void()>& aAction)
  {
    std::promise<void> release;
    std::promise<void> isBlocked;
    asio::post(this->context, [&isBlocked, released = release.get_future().share()] {
      isBlocked.set_value();
      released.wait();
    });
    isBlocked.get_future().wait();
    aAction();
    release.set_value();
  }

  std::uint16_t CallersPort() const { return this->callersPort; }
  // HTTP status of the response to the platform's readiness check.
  unsigned Readiness() const
  {
    asio::io_context clientContext;
    Tcp::socket socket(clientContext);
    socket.connect(ToEndpoint(this->settings.listen().readiness()));
    http::write(socket, http::request<http::empty_body>(http::verb::get, "/v1/ready", 11));
    beast::flat_buffer buffer;
    ReceivedResponse answer;
    http::read(socket, buffer, answer);
    return answer.result_int();
  }
  // Updates the VM's view of the fleet and waits until it is in force.
  void SetFleet(const FleetView& aFleet)
  {
    this->RunOnTraffic([&] { this->traffic->SetFleet(aFleet); });
  }
  // Puts a configuration in force.
  void SetRouting(const RoutingPtr& aRouting)
  {
    this->RunOnTraffic([&] { this->traffic->SetRouting(aRouting); });
  }
  // Begins an orderly stop as SIGTERM does, and stops the VM's thread when it is complete. The VM
  // can't exclude that the signal was sent earlier by `aSeenLate`.
  void Stop(std::chrono::milliseconds aGrace,
            std::chrono::milliseconds aSeenLate = std::chrono::milliseconds(0))
  {
    this->SetGrace(aGrace);
    this->RunOnTraffic([&] {
      const BootTime now = BootClock::Now();
      this->traffic->BeginStop(
        { now - aSeenLate, now }, [] {}, [this](BootTime) { this->context.stop(); });
    });
  }
  // Changes the settings as SIGHUP does.
  void SetGrace(std::chrono::milliseconds aGrace)
  {
    this->RunOnTraffic([&] {
      platform::Bounds bounds;
      bounds.stopGrace = aGrace;
      this->traffic->SetBounds(bounds);
    });
  }
  // Waits until the VM has stopped.
  void AwaitStop()
  {
    while (!this->context.stopped()) {
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
  }
  // Makes both servers answer with this handler.
  void SetServerHandler(const FakeHandler& aHandler)
  {
    this->first.SetHandler(aHandler);
    this->second.SetHandler(aHandler);
  }
  // Replaces the VM's backend servers by a single one at this port.
  void UseServerAt(std::uint16_t aPort, int aSlots = 4)
  {
    BackendServer server = MakeTestServer("s3", this->first);
    server.port = aPort;
    server.slots = aSlots;
    asio::post(this->context,
               [this, server] { this->traffic->SetServers({ server }, BootClock::Now()); });
  }

  // Where other VMs send requests that this one relays.
  std::string RelayEndpoint() const
  {
    return "127.0.0.1:" + std::to_string(this->settings.listen().relay_ports(0));
  }
  // Cuts the VM off from its only backend server, and lets it know a VM that relays requests.
  void RelayThrough(const std::string& aEndpoint)
  {
    this->UseServerAt(FreePort());
    FleetView fleet;
    fleet.canAcquireTokens = true;
    placing::RelayVm relay;
    relay.name = "relay";
    relay.endpoint = aEndpoint;
    relay.region = "north";
    fleet.relays = { relay };
    this->SetFleet(fleet);
  }

  // Sends enough successful requests for the retry budget to permit a retry.
  void EarnRetryBudget()
  {
    for (int i = 0; i < 12; ++i) {
      REQUIRE(this->SendRequest(http::verb::get, "/read/x").result_int() == 200);
    }
  }

  // Makes the first attempt of the next request fail with `aFirstResponse`.
  void FailFirstAttempt(const FakeHandler& aFirstResponse)
  {
    // Whichever server receives the first attempt returns the faulty response; later attempts
    // succeed.
    const auto used = std::make_shared<std::atomic<bool>>(false);
    const auto handler = [used, aFirstResponse](const FakeRequest& aRequest) {
      return used->exchange(true) ? Served(aRequest) : aFirstResponse(aRequest);
    };
    this->first.SetHandler(handler);
    this->second.SetHandler(handler);
  }

  std::uint64_t Counter(const char* aName, const char* aLabel, const char* aValue) const
  {
    return this->metrics.Counter(aName, aLabel, aValue);
  }
  std::size_t ReceivedCount() const
  {
    return this->first.Arrived().size() + this->second.Arrived().size();
  }
  FakeRequest LastRequest() const
  {
    const auto one = this->first.Arrived();
    return one.empty() ? this->second.Arrived().back() : one.back();
  }

private:
  void RunOnTraffic(const std::function<void()>& aAction)
  {
    std::promise<void> done;
    asio::post(this->context, [&] {
      aAction();
      done.set_value();
    });
    done.get_future().wait();
  }

  EdgedSettings settings;
  Metrics metrics;
  FakeServer first;
  FakeServer second;
  Context context;
  std::uint16_t callersPort = 0;
  std::unique_ptr<Traffic> traffic;
  std::thread thread;
  std::atomic<int> requestCount{ 0 };
};

} // namespace plantainhaven::edge
