#include "plantainhaven/http/server.h"

#include "http/raw_peer.h"
#include "plantainhaven/http/client.h"

#include <atomic>
#include <future>
#include <latch>

#include <catch2/catch.hpp>

namespace plantainhaven {
namespace {

using namespace std::chrono_literals;

constexpr auto kAmple = 60s;

HttpServerOptions
Options()
{
  HttpServerOptions options;
  options.address = "127.0.0.1";
  options.threads = 4;
  options.keepAlive = 1h;
  return options;
}

HttpRequest
Get()
{
  HttpRequest request;
  request.method = "GET";
  request.target = "/";
  return request;
}

TEST_CASE("A drain closes connections with the next answer and still accepts")
{
  HttpServer server(Options(), [](const HttpRequest&) { return HttpResponse{}; });
  REQUIRE(IsOk(server.Start()));
  HttpConnection connection({ "127.0.0.1", server.Port() });
  REQUIRE(connection.Exchange(Get(), kAmple).index() == 0);
  CHECK(connection.IsOpen());
  server.BeginDrain();
  for (int round = 0; round < 2; ++round) {
    const auto result = connection.Exchange(Get(), kAmple);
    REQUIRE(std::holds_alternative<HttpResponse>(result));
    CHECK(std::get<HttpResponse>(result).headers.Get("Connection") == "close");
    CHECK_FALSE(connection.IsOpen());
  }
}

TEST_CASE("Idle connections don't hold up a stop")
{
  HttpServer server(Options(), [](const HttpRequest&) { return HttpResponse{}; });
  REQUIRE(IsOk(server.Start()));
  HttpConnection used({ "127.0.0.1", server.Port() });
  REQUIRE(used.Exchange(Get(), kAmple).index() == 0);
  HttpConnection fresh({ "127.0.0.1", server.Port() });
  REQUIRE(fresh.Connect());
  auto stopped = std::async(std::launch::async, [&] { return server.Stop(1h); });
  REQUIRE(stopped.wait_for(kAmple) == std::future_status::ready);
  CHECK(stopped.get() == 0);
  const auto result = used.Exchange(Get(), kAmple);
  REQUIRE(result.index() == 1);
  CHECK(std::get<ExchangeFailure>(result) == ExchangeFailure::kConnect);
}

TEST_CASE("A stop lets requests in flight end, also those with long answers")
{
  std::latch begun(2);
  std::promise<void> release;
  const auto released = release.get_future().share();
  HttpServer server(Options(), [&](const HttpRequest&) {
    HttpResponse answer;
    answer.source = [&, index = 0](std::string& aPiece, bool&) mutable {
      if (index++ == 0) {
        begun.count_down();
        released.wait();
      }
      aPiece = std::string(100000, 'x');
      return index < 5;
    };
    return answer;
  });
  REQUIRE(IsOk(server.Start()));
  const auto ask = [&server] {
    HttpConnection connection({ "127.0.0.1", server.Port() });
    const auto result = connection.Exchange(Get(), kAmple);
    const auto* answer = std::get_if<HttpResponse>(&result);
    return answer == nullptr ? 0 : answer->body.size();
  };
  auto one = std::async(std::launch::async, ask);
  auto other = std::async(std::launch::async, ask);
  begun.wait();
  CHECK(server.InFlight() == 2);
  CHECK(server.Stop(200ms) == 2); // Too short a wait tells what still runs.
  release.set_value();
  CHECK(server.Stop(kAmple) == 0);
  CHECK(one.get() == 500000);
  CHECK(other.get() == 500000);
}

TEST_CASE("A stop under load cuts no request")
{
  constexpr int clients = 8;
  constexpr int rounds = 3;
  for (int round = 0; round < rounds; ++round) {
    std::atomic<int> handled{ 0 };
    std::atomic<int> answered{ 0 };
    std::atomic<int> cut{ 0 };
    HttpServer server(Options(), [&handled](const HttpRequest&) {
      ++handled;
      std::this_thread::sleep_for(1ms);
      return HttpResponse{};
    });
    REQUIRE(IsOk(server.Start()));
    std::vector<std::thread> running;
    for (int client = 0; client < clients; ++client) {
      running.emplace_back([&, client] {
        HttpConnection connection({ "127.0.0.1", server.Port() });
        for (;;) {
          if (client % 2 == 0) {
            connection.Close(); // Half of them open a connection for each request.
          }
          const auto result = connection.Exchange(Get(), kAmple);
          if (result.index() == 0) {
            ++answered;
            continue;
          }
          cut += std::get<ExchangeFailure>(result) != ExchangeFailure::kConnect;
          return;
        }
      });
    }
    while (handled < 100) {
      std::this_thread::yield();
    }
    CHECK(server.Stop(kAmple) == 0);
    for (std::thread& thread : running) {
      thread.join();
    }
    CHECK(cut == 0);
    CHECK(answered == handled);
  }
}

TEST_CASE("A request that comes on an idle connection while the server stops is served")
{
  HttpServer server(Options(), [](const HttpRequest&) { return HttpResponse{}; });
  REQUIRE(IsOk(server.Start()));
  const std::uint16_t port = server.Port();
  RawSocket idle = RawSocket::To(port);
  auto stopped = std::async(std::launch::async, [&] { return server.Stop(kAmple); });
  // The listener closes first; from then on the idle connection has its time of grace.
  HttpConnection probe({ "127.0.0.1", port, 50ms });
  while (probe.Connect()) {
    probe.Close();
  }
  idle.Send("GET / HTTP/1.1\r\n\r\n");
  CHECK(idle.ReadUntil("\r\n\r\n").starts_with("HTTP/1.1 200 "));
  CHECK(stopped.get() == 0);
}

TEST_CASE("A head that was half sent when the server stops is waited for")
{
  HttpServerOptions options = Options();
  options.readTimeout = 1h;
  HttpServer server(options, [](const HttpRequest&) { return HttpResponse{}; });
  REQUIRE(IsOk(server.Start()));
  RawSocket half = RawSocket::To(server.Port());
  half.Send("GET / HTTP/1.1\r\nX-Half: ");
  RawSocket idle = RawSocket::To(server.Port());
  auto stopped = std::async(std::launch::async, [&] { return server.Stop(kAmple); });
  CHECK(idle.ReadUntil("").empty()); // Returns once the idle connection is closed.
  half.Send("whole\r\n\r\n");
  CHECK(half.ReadUntil("\r\n\r\n").starts_with("HTTP/1.1 200 "));
  CHECK(stopped.get() == 0);
}

} // namespace
} // namespace plantainhaven
