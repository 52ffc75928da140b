#include "edge/one_vm.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <string>

namespace plantainhaven::edge {
namespace {

constexpr std::chrono::milliseconds kReadTime{ 1500 };

// Sends bytes on a new connection and returns all that arrives until the connection is closed or
// the time is over.
std::string
Exchanged(const Tcp::endpoint& aEndpoint, const std::string& aBytes)
{
  asio::io_context context;
  beast::tcp_stream stream(context);
  stream.connect(aEndpoint);
  beast::error_code ignored;
  asio::write(stream.socket(), asio::buffer(aBytes), ignored);
  std::string received(1 << 16, '\0');
  std::size_t count = 0;
  asio::async_read(stream.socket(),
                   asio::buffer(received),
                   [&count](const beast::error_code&, std::size_t aCount) { count = aCount; });
  context.run_for(kReadTime);
  stream.socket().cancel(ignored);
  context.restart();
  context.run();
  received.resize(count);
  return received;
}

std::string
RequestText(const std::string& aMethod, const std::string& aPath, const std::string& aFields)
{
  return aMethod + " " + aPath + " HTTP/1.1\r\nHost: shop.example\r\n" +
         "X-Plantainhaven-Request-Id: raw-1\r\nX-Plantainhaven-Deadline: 1000\r\n" + aFields +
         "\r\n";
}

// The request with a field that makes the VM close the connection after its response.
std::string
ClosingRequest(std::string aRequest)
{
  return aRequest.insert(aRequest.size() - 2, "Connection: close\r\n");
}

// The status of the first response in the text, and what follows its head.
std::pair<int, std::string>
FirstResponse(const std::string& aText)
{
  const std::size_t end = aText.find("\r\n\r\n");
  if (aText.compare(0, 9, "HTTP/1.1 ") != 0 || end == std::string::npos) {
    return { 0, aText };
  }
  return { std::atoi(aText.c_str() + 9), aText.substr(end + 4) };
}

bool
IsNothingOrResponse(const std::string& aText)
{
  return aText.empty() || aText.compare(0, 9, "HTTP/1.1 ") == 0;
}

const std::string kKey = "Authorization: Token key-1\r\n";

struct Case
{
  const char* name;
  std::string request;
  int status;
  bool staysOpen;
  std::function<void(OneVm&)> prepare = [](OneVm&) {};
};

const Case kCases[] = {
  { "served", RequestText("HEAD", "/read/x", kKey), 200, true },
  { "unknown key", RequestText("HEAD", "/read/x", "Authorization: Token no\r\n"), 401, true },
  { "no route", RequestText("HEAD", "/none", kKey), 404, true },
  { "body too large",
    RequestText("HEAD", "/read/x", kKey + "Content-Length: 9000000\r\n"),
    413,
    false },
  { "beyond the account's limit",
    RequestText("HEAD", "/read/x", "Authorization: Token key-2\r\n"),
    429,
    true },
  { "server failed",
    RequestText("HEAD", "/book/x", kKey),
    502,
    true,
    [](OneVm& aVm) { aVm.SetServerHandler(ClosedWithoutAnswer); } },
  { "no server",
    RequestText("HEAD", "/read/x", kKey),
    503,
    true,
    [](OneVm& aVm) { aVm.UseServerAt(FreePort()); } },
  { "head too large",
    RequestText("HEAD", "/read/x", "X-Long: " + std::string(70'000, 'x') + "\r\n"),
    431,
    false },
  { "malformed field", RequestText("HEAD", "/read/x", "no field\r\n"), 400, false },
  { "malformed request line", "HEAD /read/x HTTP/9\r\n\r\n", 400, false },
  { "no method", "\x01\x02 / HTTP/1.1\r\n\r\n", 400, false },
};

} // namespace

// The body of a refusal of a HEAD request was read as the beginning of the next response.
TEST_CASE("No response to a HEAD request has a body")
{
  for (const Case& entry : kCases) {
    CAPTURE(entry.name);
    OneVm vm;
    entry.prepare(vm);
    const Tcp::endpoint at(asio::ip::make_address("127.0.0.1"), vm.CallersPort());
    const auto [status, rest] = FirstResponse(Exchanged(at, ClosingRequest(entry.request)));
    CHECK(status == entry.status);
    CHECK(rest == "");
  }
}

TEST_CASE("A request that is pipelined after HEAD gets its own response")
{
  const std::string second = ClosingRequest(RequestText("GET", "/none", kKey));
  for (const Case& entry : kCases) {
    CAPTURE(entry.name);
    OneVm vm;
    entry.prepare(vm);
    const Tcp::endpoint at(asio::ip::make_address("127.0.0.1"), vm.CallersPort());
    const auto [status, rest] = FirstResponse(Exchanged(at, entry.request + second));
    CHECK(status == entry.status);
    CHECK(IsNothingOrResponse(rest));
    CHECK((FirstResponse(rest).first == 404) == entry.staysOpen);
  }
}

TEST_CASE("A refused HEAD request gets the length of the response to GET")
{
  OneVm vm;
  const Tcp::endpoint at(asio::ip::make_address("127.0.0.1"), vm.CallersPort());
  const auto lengthIn = [&at](const char* aMethod) {
    const std::string text = Exchanged(at, ClosingRequest(RequestText(aMethod, "/none", kKey)));
    const std::size_t found = text.find("Content-Length: ");
    return found == std::string::npos ? -1 : std::atoi(text.c_str() + found + 16);
  };
  CHECK(lengthIn("HEAD") == lengthIn("GET"));
  CHECK(lengthIn("HEAD") == 9);
}

TEST_CASE("No response of the relay port to a HEAD request has a body")
{
  OneVm vm;
  const std::string request =
    RequestText("HEAD", "/read/x", "X-Plantainhaven-Target-Instance: unknown\r\n");
  const auto [status, rest] = FirstResponse(Exchanged(
    ToEndpoint(vm.RelayEndpoint()), request + ClosingRequest(RequestText("GET", "/read/x", ""))));
  CHECK(status == 502);
  CHECK(FirstResponse(rest).first == 502);
}

TEST_CASE("A HEAD request during a planned stop gets no body")
{
  OneVm vm;
  vm.Stop(std::chrono::milliseconds(1000));
  std::this_thread::sleep_for(std::chrono::milliseconds(600));
  const Tcp::endpoint at(asio::ip::make_address("127.0.0.1"), vm.CallersPort());
  const auto [status, rest] =
    FirstResponse(Exchanged(at, ClosingRequest(RequestText("HEAD", "/read/x", kKey))));
  // The process may have ended by the time of the request.
  CHECK((status == 503 || status == 0));
  CHECK(rest == "");
  vm.AwaitStop();
}

TEST_CASE("Look-ups, readiness and metrics answer HEAD without a body")
{
  Context context;
  const std::uint16_t port = FreePort();
  const Tcp::endpoint at(asio::ip::make_address("127.0.0.1"), port);
  ServeSimple(context, at, [](const SimpleRequest& aRequest) {
    return SimpleResponse{ .status = aRequest.target() == "/known" ? 200U : 404U,
                           .contentType = "text/plain",
                           .body = "a body\n" };
  });
  std::thread thread([&context] { context.run(); });
  for (const char* path : { "/known", "/unknown" }) {
    CAPTURE(path);
    const std::string head = RequestText("HEAD", path, "");
    const auto [status, rest] =
      FirstResponse(Exchanged(at, head + ClosingRequest(RequestText("GET", path, ""))));
    CHECK(status == (std::string(path) == "/known" ? 200 : 404));
    CHECK(FirstResponse(rest).first == status);
    CHECK(FirstResponse(rest).second == "a body\n");
  }
  context.stop();
  thread.join();
  context.Shutdown();
}

} // namespace plantainhaven::edge
