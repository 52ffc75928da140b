#include "edge/exchange.h"

#include "edge/one_vm.h"

#include <catch2/catch.hpp>
#include <string>

namespace plantainhaven::edge {
namespace {

// A whole response of a server except for its status line.
FakeHandler
WithStatusLine(const std::string& aLine)
{
  return [aLine](const FakeRequest& aRequest) {
    return FakeAnswer{
      aLine + "\r\n" + IdLine(aRequest) + kSignatureLine + "Content-Length: 5\r\n\r\nwrong", true
    };
  };
}

// A whole response of a server with other fields before its last ones.
FakeHandler
WithFields(const std::string& aFields)
{
  return [aFields](const FakeRequest& aRequest) {
    return FakeAnswer{ "HTTP/1.1 200 OK\r\n" + IdLine(aRequest) + kSignatureLine + aFields +
                         "Content-Length: 5\r\n\r\nwrong",
                       true };
  };
}

// A whole response in chunks, under other fields and with another first line.
FakeHandler
InChunks(const std::string& aFirstLine, const std::string& aFields)
{
  return [aFirstLine, aFields](const FakeRequest& aRequest) {
    return FakeAnswer{ aFirstLine + "\r\n" + IdLine(aRequest) + kSignatureLine + aFields +
                         "\r\n5\r\nwrong\r\n0\r\n\r\n",
                       true };
  };
}

struct Case
{
  std::string name;
  FakeHandler response;
};

// Requires that callers get a sound response of another server, or none if the request can't be
// repeated.
void
CheckNotForwarded(const Case& aCase)
{
  for (const bool isRead : { true, false }) {
    CAPTURE(aCase.name, isRead);
    OneVm vm;
    vm.EarnRetryBudget();
    const std::size_t before = vm.ReceivedCount();
    vm.FailFirstAttempt(aCase.response);
    const ReceivedResponse answer =
      vm.SendRequest(isRead ? http::verb::get : http::verb::post, isRead ? "/read/x" : "/book/x");
    CHECK(answer.result_int() == (isRead ? 200 : 502));
    CHECK(answer.count(platform::kSignatureHeader) == (isRead ? 1 : 0));
    CHECK(answer.body() == (isRead ? "whole" : "broken\n"));
    CHECK(vm.ReceivedCount() - before == (isRead ? 2 : 1));
  }
}

// A response with status 000 reached callers.
TEST_CASE("A response whose status is no status of HTTP isn't forwarded")
{
  for (const std::string status :
       { "000", "001", "099", "600", "999", "20", "2000", "2x0", "-10", "101", "" }) {
    CheckNotForwarded({ "status " + status, WithStatusLine("HTTP/1.1 " + status + " OK") });
  }
}

TEST_CASE("A response whose head is malformed isn't forwarded")
{
  const Case cases[] = {
    { "blank in a name", WithFields("X Y: a\r\n") },
    { "tab in a name", WithFields("X\tY: a\r\n") },
    { "control byte in a name", WithFields("X\x01Y: a\r\n") },
    { "DEL in a name", WithFields("X\x7fY: a\r\n") },
    { "NUL in a name", WithFields(std::string("X\0Y: a\r\n", 8)) },
    { "byte over 127 in a name", WithFields("X\xe9Y: a\r\n") },
    { "blank as a name", WithFields(" : a\r\n") },
    { "control byte as a name", WithFields("\x01: a\r\n") },
    { "no name", WithFields(": a\r\n") },
    { "blank before the colon", WithFields("X-Field : a\r\n") },
    { "blank before the colon of Content-Length", WithFields("Content-Length : 2\r\n") },
    { "blank before the colon of Transfer-Encoding",
      WithFields("Transfer-Encoding : chunked\r\n") },
    { "no colon", WithFields("X-Field\r\n") },
    { "NUL in a value", WithFields(std::string("X-Field: a\0b\r\n", 14)) },
    { "control byte in a value", WithFields("X-Field: a\x01z\r\n") },
    { "bare CR in a value", WithFields("X-Field: a\rb\r\n") },
    { "line that ends with LF alone", WithFields("X-Field: a\n") },
    { "line break within a field", WithFields("X-Field: a\r\n\x01X: b\r\n") },
  };
  for (const Case& entry : cases) {
    CheckNotForwarded(entry);
  }
}

// The field isn't passed on, so that callers took the coded bytes for the body.
TEST_CASE("A response in a transfer coding that the VM doesn't decode isn't forwarded")
{
  const std::string line = "HTTP/1.1 200 OK";
  const Case cases[] = {
    { "gzip with a length", WithFields("Transfer-Encoding: gzip\r\n") },
    { "identity with a length", WithFields("Transfer-Encoding: identity\r\n") },
    { "chunked with a length", WithFields("Transfer-Encoding: chunked\r\n") },
    { "gzip", InChunks(line, "Transfer-Encoding: gzip\r\n") },
    { "gzip, chunked", InChunks(line, "Transfer-Encoding: gzip, chunked\r\n") },
    { "chunked, gzip", InChunks(line, "Transfer-Encoding: chunked, gzip\r\n") },
    { "chunked, chunked", InChunks(line, "Transfer-Encoding: chunked, chunked\r\n") },
    { "two fields", InChunks(line, "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n") },
    { "chunked twice",
      InChunks(line, "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n") },
    { "xchunked", InChunks(line, "Transfer-Encoding: xchunked\r\n") },
    { "chunked with a parameter", InChunks(line, "Transfer-Encoding: chunked;a=b\r\n") },
    { "identity", InChunks(line, "Transfer-Encoding: identity\r\n") },
    { "empty", InChunks(line, "Transfer-Encoding:\r\n") },
  };
  for (const Case& entry : cases) {
    CheckNotForwarded(entry);
  }
}

// RFC 9112, section 6.1: such a message is to be treated as if its framing were faulty.
TEST_CASE("A response of HTTP/1.0 in chunks isn't forwarded")
{
  CheckNotForwarded({ "HTTP/1.0", InChunks("HTTP/1.0 200 OK", "Transfer-Encoding: chunked\r\n") });
}

TEST_CASE("A response that names two requests isn't forwarded")
{
  const Case cases[] = {
    { "the other one last", WithFields("X-Plantainhaven-Request-Id: other\r\n") },
    { "the other one first",
      [](const FakeRequest& aRequest) {
        return FakeAnswer{ "HTTP/1.1 200 OK\r\nX-Plantainhaven-Request-Id: other\r\n" +
                             IdLine(aRequest) + kSignatureLine + "Content-Length: 5\r\n\r\nwrong",
                           true };
      } },
    { "no name last", WithFields("X-Plantainhaven-Request-Id:\r\n") },
  };
  for (const Case& entry : cases) {
    CheckNotForwarded(entry);
  }
}

TEST_CASE("A response in chunks is forwarded however the coding is written")
{
  for (const char* const fields :
       { "Transfer-Encoding: chunked\r\n", "transfer-encoding:  Chunked \r\n" }) {
    CAPTURE(fields);
    OneVm vm;
    const FakeHandler handler = InChunks("HTTP/1.1 200 OK", fields);
    vm.SetServerHandler(handler);
    const ReceivedResponse answer = vm.SendRequest(http::verb::post, "/book/x");
    CHECK(answer.result_int() == 200);
    CHECK(answer.body() == "wrong");
  }
}

} // namespace
} // namespace plantainhaven::edge
