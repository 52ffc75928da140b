#include "plantainhaven/http/server.h"

#include "http/raw_peer.h"
#include "plantainhaven/http/client.h"

#include <algorithm>
#include <atomic>
#include <future>
#include <optional>
#include <semaphore>

#include <catch2/catch.hpp>

namespace plantainhaven {
namespace {

using namespace std::chrono_literals;

constexpr auto kAmple = 20s;

HttpServerOptions
SmallOptions()
{
  HttpServerOptions options;
  options.address = "127.0.0.1";
  options.threads = 2;
  options.queue = 1;
  options.maxBody = 100;
  options.refusalHeaders.Add("X-Outcome", "not-run");
  return options;
}

HttpResponse
Echo(const HttpRequest& aRequest)
{
  HttpResponse answer;
  answer.headers.Add("X-Seen", aRequest.method + ' ' + aRequest.target + ' ' + aRequest.path);
  for (const HttpHeader& field : aRequest.headers.All()) {
    if (field.name.starts_with("x-") || field.name.starts_with("X-")) {
      answer.headers.Add("Echo-" + field.name, field.value);
    }
  }
  answer.body = aRequest.body;
  return answer;
}

// Sends bytes and returns all that comes until the server closes.
std::string
Talk(const HttpServer& aServer, const std::string& aBytes)
{
  const RawSocket socket = RawSocket::To(aServer.Port());
  socket.Send(aBytes);
  return socket.ReadUntil("");
}

TEST_CASE("Every method reaches the handler with raw target, headers and body")
{
  HttpServer server(SmallOptions(), Echo);
  REQUIRE(IsOk(server.Start()));
  HttpConnection connection({ "127.0.0.1", server.Port() });
  for (const char* method : { "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS" }) {
    for (const char* body : { "", "a%20b&c" }) {
      CAPTURE(method, body);
      HttpRequest request;
      request.method = method;
      request.target = "/a%20b?c=%2f&d";
      request.headers.Add("X-ODD-case", "%0d%0aX: y");
      request.headers.Add("x-two", "b");
      request.headers.Add("X-Two", "a");
      request.headers.Add("Content-Type", "application/x-www-form-urlencoded");
      request.body = request.method == "HEAD" ? "" : body;
      const auto result = connection.Exchange(request, kAmple);
      REQUIRE(std::holds_alternative<HttpResponse>(result));
      const auto& answer = std::get<HttpResponse>(result);
      CHECK(answer.status == 200);
      CHECK(answer.headers.Get("X-Seen") == std::string(method) + " /a%20b?c=%2f&d /a%20b");
      CHECK(answer.headers.Get("Echo-X-Odd-Case") == "%0d%0aX: y");
      CHECK(answer.headers.Get("Echo-X-Two") == "b");
      CHECK(answer.headers.CountOf("Echo-X-Two") == 2);
      CHECK(answer.headers.CountOf("Content-Type") == 0);
      CHECK(answer.body == request.body);
      CHECK(connection.IsOpen());
    }
  }
}

struct RawCase
{
  std::string bytes;
  const char* expected; // Start of the answer.
};

TEST_CASE("Malformed, oversized and ambiguous requests are refused, and the server serves on")
{
  std::atomic<int> handled{ 0 };
  HttpServer server(SmallOptions(), [&handled](const HttpRequest& aRequest) {
    ++handled;
    return Echo(aRequest);
  });
  REQUIRE(IsOk(server.Start()));
  const std::string post = "POST / HTTP/1.1\r\n";
  std::string manyHeaders = "GET / HTTP/1.1\r\n";
  for (int index = 0; index < 200; ++index) {
    manyHeaders += "x" + std::to_string(index) + ": y\r\n";
  }
  const RawCase cases[] = {
    { "nonsense\r\n\r\n", "HTTP/1.1 400 " },
    { "GET  / HTTP/1.1\r\n\r\n", "HTTP/1.1 400 " },
    { "GET http://x/ HTTP/1.1\r\n\r\n", "HTTP/1.1 400 " },
    { "BREW / HTTP/1.1\r\n\r\n", "HTTP/1.1 501 " },
    { "GET / HTTP/2.0\r\n\r\n", "HTTP/1.1 505 " },
    { "GET / HTTP/1.1\r\nX : y\r\n\r\n", "HTTP/1.1 400 " },
    { "GET / HTTP/1.1\r\nX: y\r\n folded\r\n\r\n", "HTTP/1.1 400 " },
    { std::string("GET / HTTP/1.1\r\nX: a") + '\0' + "b\r\n\r\n", "HTTP/1.1 400 " },
    { "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", "HTTP/1.1 400 " },
    { "GET /" + std::string(9000, 'x') + " HTTP/1.1\r\n\r\n", "HTTP/1.1 414 " },
    { "GET / HTTP/1.1\r\nX: " + std::string(40000, 'x') + "\r\n\r\n", "HTTP/1.1 431 " },
    { manyHeaders + "\r\n", "HTTP/1.1 431 " },
    { post + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", "HTTP/1.1 400 " },
    { post + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "HTTP/1.1 400 " },
    { post + "Content-Length: -1\r\n\r\n", "HTTP/1.1 400 " },
    { post + "Transfer-Encoding: gzip\r\n\r\n", "HTTP/1.1 501 " },
    { post + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", "HTTP/1.1 400 " },
    { "HEAD / HTTP/1.1\r\nContent-Length: 1\r\n\r\na", "HTTP/1.1 400 " },
    { post + "Content-Length: 101\r\n\r\n", "HTTP/1.1 413 " },
    { post + "Transfer-Encoding: chunked\r\n\r\n65\r\n" + std::string(101, 'x'), "HTTP/1.1 413 " },
    { post + "Transfer-Encoding: chunked\r\n\r\n" + std::string(200000, '0'), "HTTP/1.1 413 " },
  };
  for (const RawCase& one : cases) {
    INFO(one.bytes.substr(0, 80));
    const std::string answer = Talk(server, one.bytes);
    CHECK(answer.substr(0, 13) == one.expected);
    CHECK(answer.find("Connection: close") != std::string::npos);
    const bool isOversize = answer.starts_with("HTTP/1.1 413");
    CHECK((answer.find("X-Outcome: not-run") != std::string::npos) == isOversize);
  }
  CHECK(handled == 0);
  CHECK(Talk(server, "GET / HTTP/1.0\r\n\r\n").starts_with("HTTP/1.1 200 "));
}

TEST_CASE("Bodies up to the bound are taken, in chunks too, and never taken for a request")
{
  HttpServer server(SmallOptions(), Echo);
  REQUIRE(IsOk(server.Start()));
  const std::string body(100, 'b');
  const std::string last = "GET / HTTP/1.1\r\nConnection: close\r\n\r\n";
  const std::string bodies[] = {
    "POST / HTTP/1.1\r\nContent-Length: 100\r\n\r\n" + body,
    "GET / HTTP/1.1\r\nContent-Length: 100\r\n\r\n" + body,
    "PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n64\r\n" + body + "\r\n0\r\n\r\n",
    "POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 100\r\n\r\n" + body,
  };
  for (const std::string& bytes : bodies) {
    INFO(bytes.substr(0, 50));
    const std::string answers = Talk(server, bytes + last);
    const std::size_t first = answers.find("\r\n\r\n" + body + "HTTP/1.1 200 OK\r\n");
    CHECK(first != std::string::npos);
  }
}

TEST_CASE("Answers from a source come in chunks, and an aborted one is never whole")
{
  struct Case
  {
    int abort_at; // Piece at which the source aborts; beyond the last one it doesn't.
    std::optional<std::size_t> expected;
  };
  constexpr int pieces = 5;
  const Case cases[] = { { pieces, pieces * 1000 }, { 3, std::nullopt }, { 0, std::nullopt } };
  for (const Case& one : cases) {
    CAPTURE(one.abort_at);
    HttpServer server(SmallOptions(), [&one](const HttpRequest&) {
      HttpResponse answer;
      answer.source = [&one, index = 0](std::string& aPiece, bool& aAbort) mutable {
        aAbort = index == one.abort_at;
        aPiece = std::string(1000, 'x');
        return ++index < pieces;
      };
      return answer;
    });
    REQUIRE(IsOk(server.Start()));
    HttpConnection connection({ "127.0.0.1", server.Port() });
    HttpRequest request;
    request.method = "GET";
    request.target = "/";
    const auto result = connection.Exchange(request, kAmple);
    const auto* answer = std::get_if<HttpResponse>(&result);
    CHECK((answer != nullptr) == one.expected.has_value());
    CHECK((answer == nullptr || answer->body.size() == *one.expected));
  }
}

TEST_CASE("A full queue answers 503 with the refusal headers at once and counts it")
{
  std::counting_semaphore<> go(0);
  HttpServer server(SmallOptions(), [&go](const HttpRequest& aRequest) {
    go.acquire();
    return Echo(aRequest);
  });
  REQUIRE(IsOk(server.Start()));
  const std::string request = "GET / HTTP/1.1\r\nConnection: close\r\n\r\n";
  // Two are handled and one waits; the others are refused while those are held.
  std::vector<std::future<std::string>> answers;
  for (std::size_t index = 0; index < 8; ++index) {
    answers.push_back(std::async(std::launch::async, Talk, std::cref(server), request));
  }
  const auto isReady = [](const auto& aAnswer) {
    return aAnswer.wait_for(0s) == std::future_status::ready;
  };
  while (std::count_if(answers.begin(), answers.end(), isReady) < 5 || server.InFlight() < 2) {
    std::this_thread::sleep_for(1ms);
  }
  CHECK(server.RefusedConnections() == 5);
  go.release(3);
  std::size_t served = 0;
  for (auto& future : answers) {
    const std::string answer = future.get();
    CAPTURE(answer);
    served += answer.starts_with("HTTP/1.1 200 ") ? 1 : 0;
    if (!answer.starts_with("HTTP/1.1 200 ")) {
      CHECK(answer.starts_with("HTTP/1.1 503 "));
      CHECK(answer.find("\r\nX-Outcome: not-run\r\n") != std::string::npos);
      CHECK(answer.find("\r\nRetry-After: 1\r\n") != std::string::npos);
    }
  }
  CHECK(served == 3);
}

TEST_CASE("Idle connections and half-sent heads take no thread")
{
  HttpServer server(SmallOptions(), Echo);
  REQUIRE(IsOk(server.Start()));
  std::vector<RawSocket> quiet;
  for (int index = 0; index < 20; ++index) {
    quiet.push_back(RawSocket::To(server.Port()));
    quiet.back().Send(index % 2 == 0 ? "" : "GET / HTTP/1.1\r\nX-Half: ");
  }
  CHECK(Talk(server, "GET / HTTP/1.0\r\n\r\n").starts_with("HTTP/1.1 200 "));
  for (int index = 1; index < 20; index += 2) {
    quiet[static_cast<std::size_t>(index)].Send("whole\r\n\r\n");
    CHECK(quiet[static_cast<std::size_t>(index)].ReadUntil("\r\n\r\n").find("whole") !=
          std::string::npos);
  }
  CHECK(server.RefusedConnections() == 0);
}

TEST_CASE("A connection serves its number of requests, and a handler's failure is a 500")
{
  HttpServerOptions options = SmallOptions();
  options.keepAliveRequests = 2;
  HttpServer server(options, [](const HttpRequest& aRequest) {
    if (aRequest.path == "/throw") {
      throw std::runtime_error("thrown by the test");
    }
    return Echo(aRequest);
  });
  REQUIRE(IsOk(server.Start()));
  const std::string get = "GET / HTTP/1.1\r\n\r\n";
  const std::string answers = Talk(server, get + get + get);
  CHECK(answers.find("Connection: close") > answers.find("HTTP/1.1 200 ", 1));
  CHECK(answers.find("HTTP/1.1 200 ", answers.find("Connection: close")) == std::string::npos);
  CHECK(Talk(server, "GET /throw HTTP/1.1\r\n\r\n").starts_with("HTTP/1.1 500 "));
}

TEST_CASE("A port in use is an error that names it")
{
  HttpServer first(SmallOptions(), Echo);
  REQUIRE(IsOk(first.Start()));
  HttpServerOptions options = SmallOptions();
  options.port = first.Port();
  HttpServer second(options, Echo);
  const auto result = second.Start();
  REQUIRE_FALSE(IsOk(result));
  CHECK(ErrorOf(result).message.find(std::to_string(options.port)) != std::string::npos);
}

} // namespace
} // namespace plantainhaven
