#include "edge/exchange.h"

#include "edge/one_vm.h"
#include "support/peak_memory.h"
#include "support/repeat.h"

#include <catch2/catch.hpp>
#include <functional>
#include <string>

namespace plantainhaven::edge {
namespace {

using std::chrono::milliseconds;

// Growth of the process that one endless response may cause at most; a VM has a few hundred MB.
constexpr long kMaxGrowthBytes = 32 << 20;

// The head of a response that is sent in chunks.
std::string
ChunkedHead(const FakeRequest& aRequest, const std::string& aFields)
{
  return "HTTP/1.1 200 OK\r\n" + IdLine(aRequest) + aFields + "Transfer-Encoding: chunked\r\n\r\n";
}

const std::string kChunk = "1000\r\n" + std::string(4096, 'b') + "\r\n";

FakeAnswer
NoLineEnd(const FakeRequest&)
{
  return { .bytes = "x", .endless = Repeat("x") };
}

FakeAnswer
EndlessField(const FakeRequest&)
{
  return { .bytes = "HTTP/1.1 200 OK\r\nX-Field: ", .endless = Repeat("a") };
}

FakeAnswer
EndlessFields(const FakeRequest&)
{
  return { .bytes = "HTTP/1.1 200 OK\r\n", .endless = Repeat("X-Field: a\r\n") };
}

FakeAnswer
EndlessInterimResponses(const FakeRequest&)
{
  return { .bytes = "", .endless = Repeat("HTTP/1.1 100 Continue\r\n\r\n") };
}

FakeAnswer
EndlessChunkExtension(const FakeRequest& aRequest)
{
  return { .bytes = ChunkedHead(aRequest, kSignatureLine) + "5;a=", .endless = Repeat("a") };
}

FakeAnswer
EndlessTrailer(const FakeRequest& aRequest)
{
  return { .bytes = ChunkedHead(aRequest, kSignatureLine) + "0\r\nX-Field: ",
           .endless = Repeat("a") };
}

FakeAnswer
EndlessUnsignedBody(const FakeRequest& aRequest)
{
  return { .bytes = ChunkedHead(aRequest, ""), .endless = Repeat(kChunk) };
}

FakeAnswer
EndlessStaleBody(const FakeRequest&)
{
  return { .bytes = "HTTP/1.1 200 OK\r\nX-Plantainhaven-Request-Id: other\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n",
           .endless = Repeat(kChunk) };
}

FakeAnswer
EndlessSignedBody(const FakeRequest& aRequest)
{
  return { .bytes = ChunkedHead(aRequest, kSignatureLine), .endless = Repeat(kChunk) };
}

FakeAnswer
EndlessExcess(const FakeRequest& aRequest)
{
  return { .bytes = Served(aRequest).bytes, .endless = Repeat("x") };
}

FakeAnswer
SlowEndlessField(const FakeRequest&)
{
  return { .bytes = "HTTP/1.1 200 OK\r\nX-Field: ", .endless = "a", .pause = milliseconds(20) };
}

// An endless chunk header filled the VM's memory until the request's deadline.
TEST_CASE("A response without end is cut off in bounded memory and retried only if that is safe")
{
  struct Case
  {
    std::string name;
    FakeAnswer (*response)(const FakeRequest&);
    // Expected status for an idempotent request and the number of its sends, and the status for one
    // that isn't idempotent. Status 0: the connection ends before the response is complete.
    unsigned readStatus;
    std::size_t readSends;
    unsigned bookStatus;
  };
  const Case cases[] = {
    { "no line end", NoLineEnd, 200, 2, 502 },
    { "field", EndlessField, 200, 2, 502 },
    { "fields", EndlessFields, 200, 2, 502 },
    { "interim responses", EndlessInterimResponses, 200, 2, 502 },
    { "chunk extension", EndlessChunkExtension, 200, 2, 502 },
    { "trailer", EndlessTrailer, 200, 2, 502 },
    { "unsigned body", EndlessUnsignedBody, 200, 2, 502 },
    { "body of another response", EndlessStaleBody, 200, 2, 502 },
    { "signed body", EndlessSignedBody, 0, 1, 0 },
    { "bytes after the response", EndlessExcess, 200, 1, 200 },
    { "slow field", SlowEndlessField, 504, 1, 504 },
  };
  for (const Case& entry : cases) {
    for (const bool isRead : { true, false }) {
      CAPTURE(entry.name, isRead);
      OneVm vm;
      vm.EarnRetryBudget();
      const std::size_t before = vm.ReceivedCount();
      const long bytesBefore = ResidentBytes();
      vm.FailFirstAttempt(entry.response);
      const ReceivedResponse answer =
        vm.SendRequest(isRead ? http::verb::get : http::verb::post, isRead ? "/read/x" : "/book/x");
      CHECK(ResidentBytes() - bytesBefore < kMaxGrowthBytes);
      CHECK(answer.result_int() == (isRead ? entry.readStatus : entry.bookStatus));
      CHECK(vm.ReceivedCount() - before == (isRead ? entry.readSends : 1));
      // The VM has closed the connection, and the next request isn't affected.
      CHECK(vm.SendRequest(http::verb::get, "/read/x").body() == "whole");
    }
  }
}

// The same chunk header from a caller.
TEST_CASE("A request without end is cut off in bounded memory")
{
  OneVm vm;
  const long bytesBefore = ResidentBytes();
  asio::io_context context;
  Tcp::socket socket(context);
  socket.connect({ asio::ip::make_address("127.0.0.1"), vm.CallersPort() });
  beast::error_code fault;
  asio::write(socket,
              asio::buffer(std::string("POST /book/x HTTP/1.1\r\nHost: shop.example\r\n"
                                       "X-Plantainhaven-Request-Id: endless\r\n"
                                       "Authorization: Token key-1\r\n"
                                       "Transfer-Encoding: chunked\r\n\r\n5;a=")),
              fault);
  const std::string filler = Repeat("a");
  std::size_t sent = 0;
  while (!fault && sent < std::size_t{ 2 } * kMaxGrowthBytes) {
    sent += asio::write(socket, asio::buffer(filler), fault);
  }
  CHECK(fault);
  CHECK(ResidentBytes() - bytesBefore < kMaxGrowthBytes);
  CHECK(vm.SendRequest(http::verb::get, "/read/x").body() == "whole");
}

} // namespace
} // namespace plantainhaven::edge
