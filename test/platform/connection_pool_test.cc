#include "platform/connection_pool.h"

#include "plantainhaven/http/server.h"
#include "plantainhaven/standin/free_port.h"

#include <catch2/catch.hpp>

namespace plantainhaven {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTimeout{ 10000 };

std::unique_ptr<HttpServer>
StartServer(std::uint16_t aPort)
{
  HttpServerOptions options;
  options.address = "127.0.0.1";
  options.port = aPort;
  auto server = std::make_unique<HttpServer>(
    options, [](const HttpRequest&) { return JsonResponse(200, "{}"); });
  REQUIRE(IsOk(server->Start()));
  return server;
}

HttpClientOptions
ClientOptions(std::uint16_t aPort)
{
  HttpClientOptions options;
  options.address = "127.0.0.1";
  options.port = aPort;
  return options;
}

} // namespace

TEST_CASE("Only a connection with recent proof of life is used again", "[platform]")
{
  struct Case
  {
    milliseconds idle;
    bool serverLives;
    bool cleared;
    bool used;
  };
  const Case cases[] = {
    { milliseconds(0), true, false, true },     { milliseconds(1000), true, false, true },
    { milliseconds(1001), true, false, false }, { milliseconds(60000), true, false, false },
    { milliseconds(500), false, false, false }, { milliseconds(500), true, true, false },
  };
  for (const Case& item : cases) {
    CAPTURE(item.idle.count(), item.serverLives, item.cleared);
    const std::uint16_t port = FreePort();
    auto server = StartServer(port);
    ConnectionPool pool(ClientOptions(port));
    const BootTime start = BootClock::Now();
    auto connection = pool.Take(start);
    CHECK(!connection->IsOpen());
    REQUIRE(connection->Connect());
    pool.Return(std::move(connection), start);
    if (!item.serverLives) {
      server.reset();
    }
    if (item.cleared) {
      pool.Clear();
    }
    CHECK(pool.Take(start + item.idle)->IsOpen() == item.used);
  }
}

} // namespace plantainhaven
