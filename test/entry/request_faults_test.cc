#include "entry/request_fixture.h"

#include <catch2/catch.hpp>

#include <thread>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace plantainhaven;

TEST_CASE("under every fault no fee runs twice and no refusal says not run after a run")
{
  struct FaultCase
  {
    const char* what;
    BackendFault fault;
    bool withClaim;
  };
  std::vector<FaultCase> cases;
  const auto add = [&](const char* aWhat, void (*aSet)(BackendFault&)) {
    for (const bool withClaim : { false, true }) {
      cases.push_back({ aWhat, {}, withClaim });
      aSet(cases.back().fault);
    }
  };
  add("none", [](BackendFault&) {});
  add("shed", [](BackendFault& aFault) { aFault.set_shed_percent(50); });
  add("silent", [](BackendFault& aFault) { aFault.set_silent(true); });
  add("truncated", [](BackendFault& aFault) { aFault.set_truncate_percent(50); });
  add("late", [](BackendFault& aFault) { aFault.set_late_ms(400); });
  add("crossed", [](BackendFault& aFault) { aFault.set_crossed_percent(50); });
  add("failing", [](BackendFault& aFault) { aFault.set_fail_percent(50); });
  add("shed and truncated", [](BackendFault& aFault) {
    aFault.set_shed_percent(30);
    aFault.set_truncate_percent(30);
  });
  add("over-long", [](BackendFault& aFault) { aFault.set_over_long_bytes(6 << 20); });
  for (const FaultCase& entry : cases) {
    CAPTURE(entry.what, entry.withClaim);
    RequestFixture fixture(2, std::chrono::milliseconds(150));
    // Kept connections from before the fault.
    fixture.handler.Handle(RequestFixture::Ask("GET", "/open/1", ""));
    fixture.SetFaults(entry.fault);
    std::map<std::string, bool> notRunById;
    for (int i = 0; i < 8; ++i) {
      HttpRequest request = RequestFixture::Ask("POST", "/fees");
      std::string id = "fee-" + std::to_string(i);
      if (entry.withClaim) {
        request.headers.Add("Idempotency-Key", id);
      }
      bool notRun = true;
      // The caller repeats a request with a claim, and only that, whatever came.
      for (int repeat = 0; repeat < (entry.withClaim ? 2 : 1); ++repeat) {
        const HttpResponse response = fixture.handler.Handle(request);
        notRun = notRun && SaysNotRun(response);
        if (!entry.withClaim) {
          id = std::string(response.headers.Get("Plantainhaven-Request-Id"));
        }
        const bool whole = response.status == 200 && response.body.size() >= 512;
        const bool refused = response.status != 200;
        CHECK((whole || refused));
      }
      notRunById[id] = notRun;
    }
    // What is still running at a server ends.
    fixture.SetFaults({});
    for (const auto& server : fixture.servers) {
      server->Stop(std::chrono::seconds(2));
    }
    std::map<std::string, std::uint32_t> runs = fixture.RunsById();
    for (const auto& [id, count] : runs) {
      CAPTURE(id);
      CHECK(count == 1);
    }
    for (const auto& [id, notRun] : notRunById) {
      CAPTURE(id, notRun);
      CHECK((!notRun || runs[id] == 0));
    }
  }
}

TEST_CASE("an idempotent request is saved by another server")
{
  struct SavedCase
  {
    const char* reason;
    void (*spoil)(BackendFault&);
  };
  const SavedCase cases[] = {
    { "shed", [](BackendFault& aFault) { aFault.set_shed_percent(100); } },
    { "truncated", [](BackendFault& aFault) { aFault.set_truncate_percent(100); } },
    { "crossed", [](BackendFault& aFault) { aFault.set_crossed_percent(100); } },
  };
  for (const SavedCase& entry : cases) {
    INFO(entry.reason);
    RequestFixture fixture;
    // The stand-in crosses answers with those of an earlier request.
    for (int i = 0; i < 10; ++i) {
      fixture.handler.Handle(RequestFixture::Ask("GET", "/pages/1"));
    }
    BackendFault fault;
    entry.spoil(fault);
    fixture.servers[0]->SetFault(fault);
    for (int i = 0; i < 4; ++i) {
      CHECK(fixture.handler.Handle(RequestFixture::Ask("GET", "/pages/1")).status == 200);
    }
    CHECK(fixture.metrics.Counter("plantainhaven_retries_total", "reason", entry.reason) > 0);
  }
}

TEST_CASE("when all kept connections went silent, requests go over new ones at once")
{
  RequestFixture fixture(1, std::chrono::milliseconds(5000));
  REQUIRE(fixture.handler.Handle(RequestFixture::Ask("GET", "/pages/1")).status == 200);
  REQUIRE(fixture.pool.IdleCount() == 1);
  BackendFault fault;
  fault.set_silence_existing(true);
  fixture.servers[0]->SetFault(fault);
  const HttpResponse response = fixture.handler.Handle(RequestFixture::Ask("GET", "/pages/1"));
  CHECK(response.status == 200);
  CHECK(fixture.metrics.Counter("plantainhaven_retries_total", "reason", "timeout") == 1);
  CHECK(fixture.handler.Handle(RequestFixture::Ask("POST", "/fees")).status == 200);
  CHECK(fixture.Runs() == 3);
}

TEST_CASE("a non-idempotent request doesn't use a kept connection without proof of life")
{
  RequestFixture fixture(1, std::chrono::milliseconds(5000));
  REQUIRE(fixture.handler.Handle(RequestFixture::Ask("GET", "/pages/1")).status == 200);
  const auto tables = fixture.view.Tables();
  const ServerEntry& server = tables->FindService("s")->regions[0].servers[0];
  const BootTime now = BootClock::Now();
  const auto reused = [&](BootTime aNow) {
    auto taken = fixture.pool.Acquire(server, ReuseRule::kProven, aNow);
    const bool isReused = std::get<ConnectionPointer>(taken)->reused;
    fixture.pool.Return(std::move(std::get<ConnectionPointer>(taken)), now);
    return isReused;
  };
  CHECK(reused(now));
  CHECK_FALSE(reused(now + std::chrono::milliseconds(201)));
}

TEST_CASE("an answer that only ends with its connection isn't taken for whole")
{
  const bool tellsLength = GENERATE(true, false);
  RequestFixture fixture(0, std::chrono::milliseconds(2000));
  // A server by hand, for libraries always tell an answer's length.
  const int listener = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  REQUIRE(::bind(listener, reinterpret_cast<sockaddr*>(&address), size) == 0);
  REQUIRE(::listen(listener, 4) == 0);
  REQUIRE(::getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size) == 0);
  fixture.config.AddServer("raw", "s", "a", "a1", ntohs(address.sin_port));
  fixture.Publish();
  std::thread server([&] {
    const int connection = ::accept(listener, nullptr, nullptr);
    char bytes[4096];
    const ssize_t got = ::read(connection, bytes, sizeof(bytes));
    const std::string answer = std::string("HTTP/1.1 200 OK\r\n") +
                               (tellsLength ? "Content-Length: 4\r\n" : "") + "\r\npaid";
    if (got <= 0 || ::write(connection, answer.data(), answer.size()) < 0) {
      ::shutdown(connection, SHUT_RDWR);
    }
    ::close(connection);
  });
  const HttpResponse response = fixture.handler.Handle(RequestFixture::Ask("POST", "/fees"));
  server.join();
  ::close(listener);
  CHECK(response.status == (tellsLength ? 200 : 502));
  CHECK(response.headers.Get("Plantainhaven-Outcome") == (tellsLength ? "" : "unknown"));
}
