#include "edge/cuttable_path.h"
#include "edge/one_vm.h"
#include "edge/raw_caller.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace plantainhaven::edge {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kGrace{ 1500 };
// Long enough for all phases of the stop to lie apart.
constexpr milliseconds kLongGrace{ 4000 };

// Two routes of a service whose requests may take long.
RoutingPtr
MakeLongRouting(milliseconds aObjective = milliseconds(300))
{
  auto routing = std::make_shared<Routing>();
  for (const bool isIdempotent : { true, false }) {
    Route route;
    route.name = isIdempotent ? "read" : "book";
    route.prefix = "/" + route.name + "/";
    route.isIdempotent = isIdempotent;
    route.timeout = milliseconds(8000);
    route.latencyObjective = aObjective;
    route.maxAttempts = 2;
    route.targets = { { "portal", 1.0 } };
    routing->AddRoute("shop.example", route);
  }
  routing->version = 2;
  return routing;
}

// Waits until the test lets servers answer, for five seconds at most.
void
AwaitRelease(const std::atomic<bool>& aIsReleased)
{
  for (int i = 0; i < 1000 && !aIsReleased; ++i) {
    std::this_thread::sleep_for(milliseconds(5));
  }
}

// A server for one connection that sends its response in two parts.
class TwoPartServer
{
public:
  TwoPartServer()
    : acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 })
    , thread([this] { this->Run(); })
  {
  }
  ~TwoPartServer()
  {
    ::shutdown(this->acceptor.native_handle(), SHUT_RDWR);
    this->thread.join();
  }
  TwoPartServer(const TwoPartServer&) = delete;
  TwoPartServer& operator=(const TwoPartServer&) = delete;

  std::uint16_t Port() const { return this->acceptor.local_endpoint().port(); }
  // Sends the second part. Call it once.
  void Finish() { this->finish.set_value(); }

private:
  void Run()
  {
    beast::error_code fault;
    Tcp::socket socket(this->context);
    this->acceptor.accept(socket, fault);
    beast::flat_buffer buffer;
    FakeRequest request;
    if (!fault) {
      http::read(socket, buffer, request, fault);
    }
    const std::string whole = Served(request).bytes;
    const std::size_t half = whole.size() - 2;
    if (!fault) {
      asio::write(socket, asio::buffer(whole.substr(0, half)), fault);
      this->finish.get_future().wait();
      asio::write(socket, asio::buffer(whole.substr(half)), fault);
    }
  }

  asio::io_context context;
  Tcp::acceptor acceptor;
  std::promise<void> finish;
  std::thread thread;
};

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
    vm->SetRouting(MakeLongRouting(milliseconds(6000)));
    vm->SetServerHandler([isReleased](const FakeRequest& aRequest) {
      AwaitRelease(*isReleased);
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

// Requests that come late in the grace period and are cut when it ends.
TEST_CASE("Requests that servers can't answer before the end of a planned stop are refused at once")
{
  struct Case
  {
    const char* name;
    // How long the server takes for the requests before the stop; none are sent if it is 0.
    milliseconds work;
    unsigned status;
    std::size_t sent;
  };
  const Case cases[] = { { "usually longer than the time that is left", milliseconds(800), 503, 0 },
                         { "usually shorter", milliseconds(10), 200, 1 },
                         { "unknown, with a short objective", milliseconds(0), 200, 1 } };
  for (const Case& entry : cases) {
    CAPTURE(entry.name);
    OneVm vm;
    vm.SetRouting(MakeLongRouting());
    vm.SetServerHandler([&entry](const FakeRequest& aRequest) {
      std::this_thread::sleep_for(entry.work);
      return Served(aRequest);
    });
    if (entry.work.count() > 0) {
      REQUIRE(vm.SendRequest(http::verb::post, "/book/x", "key-1", "8000").result_int() == 200);
    }
    const std::size_t before = vm.ReceivedCount();
    vm.Stop(kGrace);
    const ReceivedResponse answer = vm.SendRequest(http::verb::post, "/book/x", "key-1", "8000");
    CHECK(answer.result_int() == entry.status);
    CHECK((answer.find(http::field::retry_after) != answer.end()) == (entry.status == 503));
    CHECK(vm.ReceivedCount() - before == entry.sent);
    vm.AwaitStop();
  }
}

// The signal was sent while the process stood still; the platform counts from its sending.
TEST_CASE("Requests are refused from half of the grace period after the signal may have been sent")
{
  struct Case
  {
    milliseconds seenLate;
    unsigned status;
  };
  const Case cases[] = { { milliseconds(0), 200 }, { kGrace / 2, 503 } };
  for (const Case& entry : cases) {
    CAPTURE(entry.seenLate.count());
    OneVm vm;
    vm.SetServerHandler([](const FakeRequest& aRequest) {
      std::this_thread::sleep_for(milliseconds(aRequest.target().starts_with("/read") ? 250 : 1));
      return Served(aRequest);
    });
    REQUIRE(vm.SendRequest(http::verb::post, "/book/x").result_int() == 200);
    // Keeps the VM from ending at once.
    auto open = std::async(std::launch::async, [&vm] {
      return vm.SendRequest(http::verb::get, "/read/x").result_int();
    });
    std::this_thread::sleep_for(milliseconds(50));
    vm.Stop(kGrace, entry.seenLate);
    std::this_thread::sleep_for(milliseconds(50));
    CHECK(vm.SendRequest(http::verb::post, "/book/x").result_int() == entry.status);
    CHECK(open.get() == 200);
    vm.AwaitStop();
  }
}

// Requests without a head of a response are answered as the grace period ends; this one waits for
// the last bytes of its response then.
TEST_CASE("A response that has begun to arrive when the grace period ends is forwarded")
{
  TwoPartServer begun;
  const auto isReleased = std::make_shared<std::atomic<bool>>(false);
  FakeServer silent([isReleased](const FakeRequest& aRequest) {
    AwaitRelease(*isReleased);
    return Served(aRequest);
  });
  OneVm vm;
  vm.SetRouting(MakeLongRouting());
  vm.UseServerAt(begun.Port());
  auto first = std::async(std::launch::async, [&vm] {
    return vm.SendRequest(http::verb::post, "/book/x", "key-1", "8000").result_int();
  });
  std::this_thread::sleep_for(milliseconds(100));
  vm.UseServerAt(silent.Port());
  auto second = std::async(std::launch::async, [&vm] {
    return vm.SendRequest(http::verb::post, "/book/x", "key-1", "8000").result_int();
  });
  while (silent.Arrived().empty()) {
    std::this_thread::sleep_for(milliseconds(5));
  }
  vm.Stop(kLongGrace);
  // Its end shows that the grace period ends.
  CHECK(second.get() == 502);
  begun.Finish();
  CHECK(first.get() == 200);
  *isReleased = true;
  vm.AwaitStop();
}

TEST_CASE("Callers whose bodies are still arriving during a planned stop are answered")
{
  struct Case
  {
    const char* name;
    std::size_t sent;
    std::size_t size;
    unsigned status;
  };
  const Case cases[] = { { "not passed on yet", 3, 10, 503 },
                         { "passed on in part", 150'000, 300'000, 502 } };
  for (const Case& entry : cases) {
    CAPTURE(entry.name);
    auto vm = std::make_unique<OneVm>();
    vm->SetRouting(MakeLongRouting());
    RawCaller caller(vm->CallersPort());
    caller.Head("/book/x", "Content-Length: " + std::to_string(entry.size) + "\r\n");
    caller.Write(std::string(entry.sent, 'x'));
    std::this_thread::sleep_for(milliseconds(100));
    vm->Stop(kGrace);
    vm->AwaitStop();
    vm.reset();
    CHECK(caller.Read().result_int() == entry.status);
  }
}

// The server's machine is silent, so that the VM would wait for it until after its own end.
TEST_CASE("A request whose server breaks off just before the grace period ends is answered")
{
  FakeServer server([](const FakeRequest& aRequest) {
    std::this_thread::sleep_for(kLongGrace);
    return Served(aRequest);
  });
  CuttablePath path(server.Port());
  OneVm vm;
  vm.SetRouting(MakeLongRouting());
  vm.UseServerAt(path.Port());
  auto status = std::async(std::launch::async, [&vm] {
    return vm.SendRequest(http::verb::post, "/book/x", "key-1", "8000").result_int();
  });
  while (server.Arrived().empty()) {
    std::this_thread::sleep_for(milliseconds(5));
  }
  vm.Stop(kLongGrace);
  std::this_thread::sleep_for(kLongGrace - milliseconds(600 + 20));
  path.Cut(CutForm::kReset);
  CHECK(status.get() == 502);
  vm.AwaitStop();
}

TEST_CASE("Changed settings don't move the end of a planned stop that has begun")
{
  const auto isReleased = std::make_shared<std::atomic<bool>>(false);
  OneVm vm;
  vm.SetRouting(MakeLongRouting());
  vm.SetServerHandler([isReleased](const FakeRequest& aRequest) {
    AwaitRelease(*isReleased);
    return Served(aRequest);
  });
  auto status = std::async(std::launch::async, [&vm] {
    return vm.SendRequest(http::verb::post, "/book/x", "key-1", "8000").result_int();
  });
  while (vm.ReceivedCount() == 0) {
    std::this_thread::sleep_for(milliseconds(5));
  }
  vm.Stop(kGrace);
  vm.SetGrace(milliseconds(60000));
  CHECK(status.get() == 502);
  *isReleased = true;
  vm.AwaitStop();
}

} // namespace
} // namespace plantainhaven::edge
