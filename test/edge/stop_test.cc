#include "edge/one_vm.h"

#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <thread>
#include <vector>

namespace plantainhaven::edge {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kGrace{ 1500 };

// A server runs four requests; the others wait for a slot.
TEST_CASE("Requests that are open at the end of a planned stop are answered")
{
  struct Case
  {
    const char* name;
    http::verb method;
    const char* path;
  };
  const Case cases[] = { { "idempotent", http::verb::get, "/read/x" },
                         { "not idempotent", http::verb::post, "/book/x" } };
  for (const Case& entry : cases) {
    CAPTURE(entry.name);
    const auto isReleased = std::make_shared<std::atomic<bool>>(false);
    auto vm = std::make_unique<OneVm>();
    auto routing = std::make_shared<Routing>();
    for (const bool isIdempotent : { true, false }) {
      Route route;
      route.name = isIdempotent ? "read" : "book";
      route.prefix = "/" + route.name + "/";
      route.isIdempotent = isIdempotent;
      route.timeout = milliseconds(8000);
      route.latencyObjective = milliseconds(6000);
      route.maxAttempts = 2;
      route.targets = { { "portal", 1.0 } };
      routing->AddRoute("shop.example", route);
    }
    routing->version = 2;
    vm->SetRouting(routing);
    vm->SetServerHandler([isReleased](const FakeRequest& aRequest) {
      for (int i = 0; i < 1000 && !*isReleased; ++i) {
        std::this_thread::sleep_for(milliseconds(5));
      }
      return Served(aRequest);
    });
    std::vector<unsigned> statuses(12);
    std::vector<std::thread> callers;
    for (unsigned& status : statuses) {
      callers.emplace_back([&vm = *vm, &status, &entry] {
        status = vm.SendRequest(entry.method, entry.path, "key-1", "8000").result_int();
      });
    }
    while (vm->ReceivedCount() < 4) {
      std::this_thread::sleep_for(milliseconds(5));
    }
    std::this_thread::sleep_for(milliseconds(100));
    vm->Stop(kGrace);
    vm->AwaitStop();
    const auto received = static_cast<std::ptrdiff_t>(vm->ReceivedCount());
    *isReleased = true;
    vm.reset();
    for (std::thread& caller : callers) {
      caller.join();
    }
    // Those that servers run may have run; the others haven't.
    CAPTURE(statuses);
    REQUIRE(received < 12);
    CHECK(std::count(statuses.begin(), statuses.end(), 502U) == received);
    CHECK(std::count(statuses.begin(), statuses.end(), 503U) == 12 - received);
  }
}

} // namespace
} // namespace plantainhaven::edge
