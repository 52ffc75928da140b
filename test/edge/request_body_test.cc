#include "edge/caller_body.h"
#include "edge/one_vm.h"
#include "edge/raw_caller.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <thread>

namespace plantainhaven::edge {
namespace {

constexpr std::size_t kSmall = 1000;
constexpr std::size_t kLarge = 300'000;
constexpr std::size_t kTooLarge = 1'200'000;

std::string
BodyOf(std::size_t aSize)
{
  std::string body;
  for (std::size_t i = 0; i < aSize; ++i) {
    body += static_cast<char>('a' + (i * 7 + i / 251) % 26);
  }
  return body;
}

TEST_CASE("Request bodies reach the server unchanged, short or long, with a length or chunked")
{
  struct Case
  {
    std::string name;
    std::size_t size;
    bool isChunked;
  };
  const Case cases[] = {
    { "empty, with a length", 0, false },
    { "short, with a length", kSmall, false },
    { "short, in chunks", kSmall, true },
    { "as long as the buffer limit", CallerBody::kMaxBufferedBytes, false },
    { "one byte longer than the buffer limit", CallerBody::kMaxBufferedBytes + 1, false },
    { "long, with a length", kLarge, false },
    { "long, in chunks", kLarge, true },
  };
  for (const Case& entry : cases) {
    CAPTURE(entry.name);
    OneVm vm;
    RawCaller caller(vm.CallersPort());
    const std::string body = BodyOf(entry.size);
    for (int round = 0; round < 2; ++round) {
      if (entry.isChunked) {
        caller.Head("/book/x", "Transfer-Encoding: chunked\r\n");
        caller.WriteChunked(body, 5000);
      } else {
        caller.Head("/book/x", "Content-Length: " + std::to_string(body.size()) + "\r\n");
        caller.Write(body);
      }
      const ReceivedResponse answer = caller.Read();
      REQUIRE(answer.result_int() == 200);
      CHECK(answer.keep_alive());
      CHECK((vm.LastRequest().body() == body));
    }
    CHECK(vm.ReceivedCount() == 2);
  }
}

TEST_CASE("A body beyond the limit is rejected with 413")
{
  struct Case
  {
    std::string name;
    bool isChunked;
  };
  const Case cases[] = { { "with a length", false }, { "in chunks", true } };
  for (const Case& entry : cases) {
    CAPTURE(entry.name);
    OneVm vm;
    RawCaller caller(vm.CallersPort());
    std::thread writer([&] {
      const std::string body = BodyOf(kTooLarge);
      if (entry.isChunked) {
        caller.Head("/book/x", "Transfer-Encoding: chunked\r\n");
        caller.WriteChunked(body, 50000);
      } else {
        caller.Head("/book/x", "Content-Length: " + std::to_string(body.size()) + "\r\n");
        caller.Write(body);
      }
    });
    const ReceivedResponse answer = caller.Read();
    writer.join();
    CHECK(answer.result_int() == 413);
    CHECK_FALSE(answer.keep_alive());
    CHECK(vm.ReceivedCount() == 0);
  }
}

// A server that responds as soon as it has received the request head, and doesn't read the body.
class EarlyServer
{
public:
  explicit EarlyServer(std::string aAnswer)
    : answer(std::move(aAnswer))
    , acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 })
    , thread([this] { this->Run(); })
  {
  }
  ~EarlyServer()
  {
    ::shutdown(this->acceptor.native_handle(), SHUT_RDWR);
    this->thread.join();
  }
  std::uint16_t Port() const { return this->acceptor.local_endpoint().port(); }

private:
  void Run()
  {
    Tcp::socket socket(this->context);
    beast::error_code fault;
    this->acceptor.accept(socket, fault);
    std::string bytes;
    if (!fault) {
      asio::read_until(socket, asio::dynamic_buffer(bytes), "\r\n\r\n", fault);
      asio::write(socket, asio::buffer(this->answer), fault);
      std::this_thread::sleep_for(std::chrono::milliseconds(200));
    }
  }

  std::string answer;
  asio::io_context context;
  Tcp::acceptor acceptor;
  std::thread thread;
};

TEST_CASE("A response that is sent before the end of the request body reaches the caller")
{
  struct Case
  {
    std::string name;
    std::string answer;
    unsigned status;
  };
  const std::string common = "X-Plantainhaven-Request-Id: raw-1\r\nContent-Length: 5\r\n";
  const Case cases[] = {
    { "served",
      "HTTP/1.1 200 OK\r\nX-Plantainhaven-Response-Signature: s\r\n" + common + "\r\nearly",
      200 },
    { "not run",
      "HTTP/1.1 503 Busy\r\nX-Plantainhaven-Not-Executed: 1\r\n" + common + "\r\nearly",
      503 },
  };
  for (const Case& entry : cases) {
    CAPTURE(entry.name);
    EarlyServer server(entry.answer);
    OneVm vm;
    vm.UseServerAt(server.Port());
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    RawCaller caller(vm.CallersPort());
    caller.Head("/book/x", "Content-Length: " + std::to_string(kLarge) + "\r\n");
    caller.Write(BodyOf(100'000));
    const ReceivedResponse answer = caller.Read();
    CHECK(answer.result_int() == entry.status);
    CHECK_FALSE(answer.keep_alive());
  }
}

TEST_CASE("A request whose caller disconnects within the body doesn't reach the server whole")
{
  OneVm vm;
  {
    RawCaller caller(vm.CallersPort());
    caller.Head("/book/x", "Content-Length: " + std::to_string(kLarge) + "\r\n");
    caller.Write(BodyOf(100'000));
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    caller.Close();
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  // The server never receives a complete request, and the VM goes on serving.
  CHECK(vm.ReceivedCount() == 0);
  CHECK(vm.SendRequest(http::verb::get, "/read/x").result_int() == 200);
}

TEST_CASE("A caller that expects 100-continue receives it before it sends its body")
{
  OneVm vm;
  RawCaller caller(vm.CallersPort());
  caller.Head("/book/x", "Content-Length: 5\r\nExpect: 100-continue\r\n");
  CHECK(caller.Read().result_int() == 100);
  caller.Write("hello");
  CHECK(caller.Read().result_int() == 200);
  CHECK(vm.LastRequest().body() == "hello");
  CHECK(vm.LastRequest().count(http::field::expect) == 0);
}

} // namespace
} // namespace plantainhaven::edge
