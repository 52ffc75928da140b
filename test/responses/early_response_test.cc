#include "edge/exchange.h"

#include "edge/one_vm.h"
#include "edge/raw_caller.h"
#include "http/raw_peer.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstdio>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>

namespace plantainhaven::edge {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kSmall = 4;
constexpr std::size_t kMedium = 100'000;
// More than a VM buffers of a response before it forwards it.
constexpr std::size_t kLarge = 400'000;
// More than the buffers of a connection hold.
constexpr std::size_t kUpload = 32 << 20;

const std::string kFields = "X-Plantainhaven-Request-Id: raw-1\r\n" + std::string(kSignatureLine);

// The test routing, with room for long uploads and time for them.
RoutingPtr
MakeUploadRouting()
{
  Routing routing;
  routing.version = 2;
  routing.limits.maxBodyBytes = 2 * kUpload;
  for (const char* const name : { "read", "book" }) {
    Route route;
    route.name = name;
    route.prefix = "/" + std::string(name) + "/";
    route.isIdempotent = route.name == "read";
    route.timeout = milliseconds(20000);
    route.latencyObjective = milliseconds(300);
    route.maxAttempts = 2;
    route.targets = { { "portal", 1.0 } };
    routing.AddRoute("shop.example", route);
  }
  routing.accounts = MakeTestRouting()->accounts;
  routing.AddKey("key-1", 0);
  return std::make_shared<Routing>(std::move(routing));
}

// The head and the body of a response, in the form that its name tells.
std::string
Bytes(const std::string& aForm, std::size_t aSize)
{
  const std::string body(aSize, 'b');
  if (aForm == "length") {
    return "HTTP/1.1 200 OK\r\n" + kFields + "Content-Length: " + std::to_string(aSize) +
           "\r\n\r\n" + body;
  }
  if (aForm == "chunks") {
    char size[20];
    std::snprintf(size, sizeof(size), "%zx\r\n", aSize);
    return "HTTP/1.1 200 OK\r\n" + kFields + "Transfer-Encoding: chunked\r\n\r\n" + size + body +
           "\r\n0\r\n\r\n";
  }
  return (aForm == "HTTP/1.0" ? "HTTP/1.0" : "HTTP/1.1") + std::string(" 200 OK\r\n") + kFields +
         "\r\n" + body;
}

// The response with the id of the request whose head is given.
std::string
WithIdOf(const std::string& aHead, std::string aResponse)
{
  const std::string name = "X-Plantainhaven-Request-Id: ";
  const std::size_t at = aHead.find(name) + name.size();
  const std::string id = aHead.substr(at, aHead.find("\r\n", at) - at);
  return aResponse.replace(aResponse.find("raw-1"), 5, id);
}

// How requests get from the VM to its server.
enum class Way
{
  kDirect,
  kRelayed, // Through another VM.
};

// A VM whose only server answers a long upload as a script tells, once the upload has filled the
// connections, so that the VM's write is pending.
class VmWithUpload
{
public:
  VmWithUpload(Way aWay, ScriptedServer::Script aScript)
    : script(std::move(aScript))
    , server([this](RawSocket& aSocket) { this->Serve(aSocket); })
  {
    this->vm.SetRouting(MakeUploadRouting());
    if (aWay == Way::kDirect) {
      this->vm.UseServerAt(this->server.Port());
    } else {
      this->relay = std::make_unique<OneVm>();
      this->relay->SetRouting(MakeUploadRouting());
      this->relay->UseServerAt(this->server.Port());
      this->vm.RelayThrough(this->relay->RelayEndpoint());
      // The VM learns that it has no path of its own.
      REQUIRE(Await(
        [&] { return this->vm.SendRequest(http::verb::get, "/read/x").result_int() == 200; }));
    }
    this->caller = std::make_unique<RawCaller>(this->vm.CallersPort());
  }

  // Sends the upload and returns the response; its status is 0 when the connection ends before the
  // response is complete.
  ReceivedResponse Upload(const std::string& aPath = "/book/x",
                          const std::string& aVersion = "HTTP/1.1")
  {
    const std::string body(kUpload, 'u');
    std::thread writer([&] {
      this->caller->Head(
        aPath, "Content-Length: " + std::to_string(kUpload) + "\r\n", aVersion, "20000");
      this->caller->Write(body);
    });
    const ReceivedResponse answer = this->caller->Read();
    CHECK(this->isFull);
    this->hasResponse = true;
    this->caller->Shutdown();
    writer.join();
    return answer;
  }
  // Waits until the caller has the response.
  void AwaitResponse() const
  {
    Await([this] { return this->hasResponse.load(); });
  }
  OneVm& Vm() { return this->vm; }

private:
  void Serve(RawSocket& aSocket)
  {
    const std::string head = aSocket.ReadUntil("\r\n\r\n");
    if (head.empty()) {
      // A probe that only connects.
      return;
    }
    if (head.starts_with("GET")) {
      aSocket.Send(WithIdOf(head, Bytes("no length", kSmall)));
      return;
    }
    constexpr int kCalmChecks = 20;
    int unread = 0;
    int calm = 0;
    this->isFull = Await([&] {
      const bool isCalm = aSocket.Unread() == unread && !this->caller->CanWrite();
      calm = isCalm ? calm + 1 : 0;
      unread = aSocket.Unread();
      return calm == kCalmChecks;
    });
    this->script(aSocket);
  }

  OneVm vm;
  std::unique_ptr<OneVm> relay;
  ScriptedServer::Script script;
  std::unique_ptr<RawCaller> caller;
  std::atomic<bool> isFull{ false };
  std::atomic<bool> hasResponse{ false };
  ScriptedServer server;
};

// The write of the upload got the reset, and the read after it an ordinary end of the connection.
TEST_CASE("A response that a reset cuts while the upload is written isn't forwarded as whole")
{
  struct Case
  {
    std::string form;
    std::size_t sent;
    // The bytes that are missing at the end.
    std::size_t missing;
    unsigned status;
  };
  const Case cases[] = {
    { "no length", kSmall, 0, 502 },
    { "no length", kMedium, 0, 502 },
    { "HTTP/1.0", kMedium, 0, 502 },
    // Its first part was forwarded, so the caller's connection ends early.
    { "no length", kLarge, 0, 0 },
    { "length", kMedium, 1, 502 },
    { "chunks", kMedium, 1, 502 },
    // These state their own end.
    { "length", kMedium, 0, 200 },
    { "chunks", kMedium, 0, 200 },
  };
  const auto way = GENERATE(Way::kDirect, Way::kRelayed);
  for (const Case& entry : cases) {
    CAPTURE(way == Way::kRelayed, entry.form, entry.sent, entry.missing);
    bool isSent = false;
    unsigned status = 0;
    std::uint64_t cuts = 0;
    {
      VmWithUpload vm(way, [&](RawSocket& aSocket) {
        std::string bytes = Bytes(entry.form, entry.sent);
        bytes.resize(bytes.size() - entry.missing);
        aSocket.Send(bytes);
        isSent = aSocket.AwaitSent();
        // The VM waits for more of the response again.
        std::this_thread::sleep_for(milliseconds(50));
        aSocket.Reset();
      });
      status = vm.Upload().result_int();
      cuts = vm.Vm().Counter("plantainhaven_responses_cut_total", "by", "server");
    }
    CHECK(isSent);
    CHECK(status == entry.status);
    CHECK(cuts == (entry.status == 0 ? 1 : 0));
  }
}

TEST_CASE("A response that ends before its connection is reset is forwarded")
{
  struct Case
  {
    std::string name;
    // The VM sees the end and the reset at once.
    bool isSeenAtOnce;
  };
  const Case cases[] = { { "seen one after the other", false }, { "seen at once", true } };
  for (const Case& entry : cases) {
    CAPTURE(entry.name);
    std::function<void(const std::function<void()>&)> whileBlocked;
    VmWithUpload vm(Way::kDirect, [&](RawSocket& aSocket) {
      aSocket.Send(Bytes("no length", kMedium));
      aSocket.AwaitSent();
      const auto end = [&] {
        aSocket.Finish();
        std::this_thread::sleep_for(milliseconds(50));
        aSocket.Reset();
      };
      if (entry.isSeenAtOnce) {
        whileBlocked(end);
      } else {
        end();
      }
    });
    whileBlocked = [&vm](const std::function<void()>& aAction) { vm.Vm().WhileBlocked(aAction); };
    const ReceivedResponse answer = vm.Upload();
    CHECK(answer.result_int() == 200);
    CHECK((answer.body() == std::string(kMedium, 'b')));
  }
}

// The end of the unread upload closed the connection on which the response was arriving.
TEST_CASE("A long response to an upload that isn't read to its end reaches the caller whole")
{
  struct Case
  {
    std::string form;
    std::size_t size;
  };
  const Case cases[] = {
    { "length", kMedium },     { "chunks", kMedium },     { "no length", kMedium },
    { "length", kLarge },      { "chunks", kLarge },      { "no length", kLarge },
    { "length", 10 * kLarge }, { "chunks", 10 * kLarge }, { "no length", 10 * kLarge },
  };
  const auto way = GENERATE(Way::kDirect, Way::kRelayed);
  for (const Case& entry : cases) {
    CAPTURE(way == Way::kRelayed, entry.form, entry.size);
    VmWithUpload vm(way, [&](RawSocket& aSocket) {
      aSocket.Send(Bytes(entry.form, entry.size));
      if (entry.form == "no length") {
        aSocket.Finish();
      }
      vm.AwaitResponse();
    });
    const ReceivedResponse answer = vm.Upload();
    CHECK(answer.result_int() == 200);
    CHECK((answer.body() == std::string(entry.size, 'b')));
  }
}

TEST_CASE("A caller of HTTP/1.0 gets the body as the server has sent it")
{
  struct Case
  {
    std::string form;
    std::size_t size;
    bool isCut;
  };
  const Case cases[] = {
    { "length", kLarge, false },    { "chunks", kLarge, false },     { "chunks", kMedium, false },
    { "no length", kLarge, false }, { "no length", kMedium, false }, { "no length", kLarge, true },
    { "chunks", kLarge, true },
  };
  for (const Case& entry : cases) {
    // A caller that asks to keep the connection must not wait for more.
    for (const std::string fields : { "", "Connection: keep-alive\r\n" }) {
      CAPTURE(entry.form, entry.size, entry.isCut, fields);
      OneVm vm;
      ScriptedServer server([&](RawSocket& aSocket) {
        if (aSocket.ReadUntil("\r\n\r\n").empty()) {
          return;
        }
        std::string bytes = Bytes(entry.form, entry.size);
        bytes.resize(bytes.size() - (entry.isCut ? kSmall : 0));
        aSocket.Send(bytes);
        aSocket.AwaitSent();
        if (entry.isCut) {
          aSocket.Reset();
        } else {
          aSocket.Finish();
        }
      });
      vm.UseServerAt(server.Port());
      RawCaller caller(vm.CallersPort());
      caller.Head("/book/x", "Content-Length: 0\r\n" + fields, "HTTP/1.0");
      const ReceivedResponse answer = caller.Read();
      CHECK(answer.result_int() == (entry.isCut ? 0 : 200));
      if (!entry.isCut) {
        CHECK_FALSE(answer.chunked());
        CHECK((answer.body() == std::string(entry.size, 'b')));
      }
    }
  }
}

TEST_CASE("A response that a reset cuts after the request is written isn't forwarded as whole")
{
  for (const std::size_t size : { kSmall, kLarge }) {
    CAPTURE(size);
    OneVm vm;
    ScriptedServer server([&](RawSocket& aSocket) {
      const std::string head = aSocket.ReadUntil("\r\n\r\n");
      if (head.empty()) {
        return;
      }
      aSocket.Send(WithIdOf(head, Bytes("no length", size)));
      aSocket.AwaitSent();
      aSocket.Reset();
    });
    vm.UseServerAt(server.Port());
    const unsigned status = vm.SendRequest(http::verb::post, "/book/x").result_int();
    CHECK(status == (size == kSmall ? 502 : 0));
  }
}

} // namespace
} // namespace plantainhaven::edge
