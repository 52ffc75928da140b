#include "platform/store_client.h"

#include "edge/context.h"
#include "http/raw_peer.h"
#include "support/await_result.h"
#include "support/peak_memory.h"
#include "support/repeat.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <thread>

namespace plantainhaven::platform {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTimeout{ 300 };
// As much as the largest response that the client accepts, and once more while it is read.
constexpr long kMaxGrowthBytes = 48 << 20;
const std::string kRows = R"({"rows":[],"ver":7,"now_ms":1})";

std::string
Response(const std::string& aStatus, const std::string& aFields, const std::string& aBody)
{
  return "HTTP/1.1 " + aStatus + " X\r\n" + aFields +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

std::string
Response(int aVersion)
{
  return Response("200", "", R"({"rows":[],"ver":)" + std::to_string(aVersion) + "}");
}

// A client and a store that answers each call as a script tells.
class StoreSubject
{
public:
  explicit StoreSubject(const ScriptedServer::Script& aScript)
    : server(aScript)
    , client(this->context, "127.0.0.1:" + std::to_string(this->server.Port()), kTimeout, [] {})
  {
  }
  ~StoreSubject() { this->context.Shutdown(); }

  Result<WrittenRows> Write()
  {
    return AwaitResult<WrittenRows>(this->context,
                                    this->client.Write("t", { { { "a", "1", 0 } }, {}, {} }));
  }
  Result<TableSnapshot> Read()
  {
    return AwaitResult<TableSnapshot>(this->context, this->client.ReadTable("t"));
  }

private:
  edge::Context context;
  ScriptedServer server;
  StoreClient client;
};

// Reads a call, with its body if it has one. Returns false at the end of the connection.
bool
ReadCall(const RawSocket& aSocket)
{
  const std::string head = aSocket.ReadUntil("\r\n\r\n");
  if (head.find("POST") == 0) {
    aSocket.ReadUntil("]}");
  }
  return !head.empty();
}

// The client took each of these for the store's word that nothing was done.
TEST_CASE("A broken response of the store leaves open whether a write was applied")
{
  struct Case
  {
    std::string name;
    std::string response;
  };
  const Case cases[] = {
    { "status 000", Response("000", "", kRows) },
    { "status 099", Response("099", "", kRows) },
    { "status 600", Response("600", "", kRows) },
    { "status 999", Response("999", "", kRows) },
    { "status 101", "HTTP/1.1 101 X\r\n\r\n" },
    { "unknown coding", Response("503", "Transfer-Encoding: gzip\r\n", "") },
    { "folded line", Response("503", "A: b\r\n c\r\n", "") },
    { "no HTTP", "503 these bytes are no response\r\n\r\n" },
    { "truncated", "HTTP/1.1 503 X\r\nContent-Length: 5\r\n\r\na" },
  };
  for (const Case& entry : cases) {
    CAPTURE(entry.name);
    StoreSubject subject([&](RawSocket& aSocket) {
      ReadCall(aSocket);
      aSocket.Send(entry.response);
    });
    const auto written = subject.Write();
    REQUIRE_FALSE(IsOk(written));
    CHECK(ErrorOf(written).kind == ErrorKind::kUnknown);
    const auto read = subject.Read();
    REQUIRE_FALSE(IsOk(read));
    CHECK(ErrorOf(read).kind == ErrorKind::kUnknown);
  }
}

// A response that came after an interim one, or twice, was taken for the next call's.
TEST_CASE("A call of the store gets its own response")
{
  struct Case
  {
    std::string name;
    std::string before;
    std::string after;
    milliseconds later;
  };
  const Case cases[] = {
    { "sound", "", "", milliseconds(0) },
    { "after an interim response", "HTTP/1.1 100 Continue\r\n\r\n", "", milliseconds(0) },
    { "sent twice", "", Response(1000), milliseconds(0) },
    { "sent twice, late", "", Response(1000), milliseconds(20) },
  };
  for (const Case& entry : cases) {
    CAPTURE(entry.name);
    std::atomic<int> version{ 0 };
    StoreSubject subject([&](RawSocket& aSocket) {
      while (ReadCall(aSocket)) {
        aSocket.Send(entry.before + Response(++version) +
                     (entry.later.count() == 0 ? entry.after : ""));
        std::this_thread::sleep_for(entry.later);
        aSocket.Send(entry.later.count() == 0 ? "" : entry.after);
      }
    });
    for (std::uint64_t call = 1; call <= 3; ++call) {
      const auto written = subject.Write();
      REQUIRE(IsOk(written));
      CHECK(ValueOf(written).version == call);
      std::this_thread::sleep_for(2 * entry.later);
    }
  }
}

TEST_CASE("A response of the store without end is cut off in bounded memory")
{
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  struct Case
  {
    std::string name;
    std::string begin;
    std::string endless;
  };
  const Case cases[] = {
    { "no line end", "x", Repeat("x") },
    { "field", ok + "X-Field: ", Repeat("a") },
    { "fields", ok, Repeat("X-Field: a\r\n") },
    { "interim responses", "", Repeat("HTTP/1.1 100 Continue\r\n\r\n") },
    { "body without a length", ok + "\r\n", Repeat("a") },
    { "chunk extension", ok + "Transfer-Encoding: chunked\r\n\r\n5;a=", Repeat("a") },
    { "tiny chunks", ok + "Transfer-Encoding: chunked\r\n\r\n", Repeat("1\r\nb\r\n") },
    { "trailer", ok + "Transfer-Encoding: chunked\r\n\r\n0\r\nX-Field: ", Repeat("a") },
    { "bytes after the response", Response(1), Repeat("a") },
  };
  for (const Case& entry : cases) {
    CAPTURE(entry.name);
    StoreSubject subject([&](RawSocket& aSocket) {
      ReadCall(aSocket);
      aSocket.Send(entry.begin);
      while (aSocket.Send(entry.endless)) {
      }
    });
    const PeakMemory memory;
    const auto written = subject.Write();
    const bool isAnswered = entry.name == "bytes after the response";
    CHECK(IsOk(written) == isAnswered);
    CHECK((isAnswered || ErrorOf(written).kind == ErrorKind::kUnknown));
    // The client has closed the connection.
    CHECK(IsOk(subject.Write()) == isAnswered);
    CHECK(memory.Growth() < kMaxGrowthBytes);
  }
}

} // namespace
} // namespace plantainhaven::platform
