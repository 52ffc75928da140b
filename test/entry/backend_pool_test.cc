#include "plantainhaven/entry/backend_pool.h"

#include "plantainhaven/http/server.h"
#include "request_fixture.h"

#include <catch2/catch.hpp>

using namespace plantainhaven;

namespace {

constexpr BootTime kNow{ std::chrono::seconds(1000) };

ServerEntry
EntryOf(std::uint16_t aPort)
{
  ServerEntry entry;
  entry.name = "backend";
  entry.address = "127.0.0.1";
  entry.port = aPort;
  return entry;
}

ConnectionPointer
Open(BackendPool& aPool, const ServerEntry& aServer)
{
  auto acquired = aPool.Acquire(aServer, ReuseRule::kProven, kNow);
  REQUIRE(std::holds_alternative<ConnectionPointer>(acquired));
  return std::move(std::get<ConnectionPointer>(acquired));
}

} // namespace

TEST_CASE("a returned connection is closed while the budget is exceeded, and only then")
{
  HttpServerOptions options;
  options.address = "127.0.0.1";
  options.port = FreePort();
  HttpServer server(options, [](const HttpRequest&) { return JsonResponse(200, "{}"); });
  REQUIRE(IsOk(server.Start()));
  FakeBudgets budgets;
  BackendPool pool(BackendPoolOptions{}, budgets);
  const ServerEntry entry = EntryOf(options.port);
  ConnectionPointer first = Open(pool, entry);
  ConnectionPointer second = Open(pool, entry);
  ConnectionPointer third = Open(pool, entry);
  REQUIRE(budgets.Held(BudgetId::SERVER_CONNECTIONS) == 3 * kOneToken);

  // The share shrinks to one connection while three are in use.
  budgets.Limit(BudgetId::SERVER_CONNECTIONS, kOneToken);
  pool.Return(std::move(first), kNow);
  pool.Return(std::move(second), kNow);
  CHECK(pool.IdleCount() == 0);
  CHECK(budgets.Held(BudgetId::SERVER_CONNECTIONS) == kOneToken);
  pool.Return(std::move(third), kNow);
  CHECK(pool.IdleCount() == 1);
}
