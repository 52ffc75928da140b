// MIXED: the servers of a service crash for some seconds. Meanwhile clients send HEAD requests on
// kept connections, and go on to use these connections.
// TROUBLE=0: the servers don't crash.

#include "standin.h"

using namespace review;

namespace {

constexpr int kClients = 10;
constexpr long kCrashMs = 4500;

// What one client saw on its connection.
struct Seen
{
  bool hasStrayBytes = false;
  bool isNextBroken = false;
};

Seen
UseConnection(const Vm& aVm)
{
  Seen seen;
  Connection connection;
  Message answer;
  const std::string headId = NewId();
  if (!aVm.Connect(connection) ||
      !connection.Send(RequestHead("HEAD", "/page/1", headId, "key-academy", 2000) + "\r\n") ||
      connection.Read(answer, 3000, true) != ReadEnd::kWhole) {
    Say("HEAD id=%s: no answer", headId.c_str());
    return seen;
  }
  const bool keeps = ::strcasecmp(answer.Field("Connection").c_str(), "close") != 0;
  Say("HEAD id=%s: %d, Content-Length %s, connection %s",
      headId.c_str(),
      answer.Status(),
      answer.Field("Content-Length").c_str(),
      keeps ? "kept" : "closed");
  // A response to HEAD ends with its head: nothing may come before the next request.
  const bool gotMore =
    !connection.Rest().empty() || connection.Receive(Clock::now() + Ms(200));
  seen.hasStrayBytes = gotMore && !connection.Rest().empty();
  if (seen.hasStrayBytes) {
    Say("  bytes with no request waiting: %s", Shown(connection.Rest()).c_str());
  }
  if (!keeps || connection.IsEnded()) {
    return seen;
  }
  const std::string getId = NewId();
  if (!connection.Send(RequestHead("GET", "/page/2", getId, "key-academy", 2000) + "\r\n")) {
    return seen;
  }
  const ReadEnd end = connection.Read(answer, 3000);
  const std::string echoed = answer.Field("X-Plantainhaven-Request-Id");
  seen.isNextBroken = end == ReadEnd::kBroken || (end == ReadEnd::kWhole && echoed != getId);
  Say("GET id=%s: %s, first word \"%s\", status %d, id %s",
      getId.c_str(),
      end == ReadEnd::kWhole ? "an answer" : "no answer in the protocol",
      Shown(answer.first).c_str(),
      answer.Status(),
      echoed.c_str());
  return seen;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  if (aCount != 2) {
    return kCouldNotRun;
  }
  Record::Get().Open(aArguments[1]);
  StartWatchdog();
  Store store;
  Server servers[2];
  bool isSetUp = store.Start(OwnAddress(1));
  for (int i = 0; i < 2 && isSetUp; ++i) {
    servers[i].options = { .id = "desk-" + std::to_string(i),
                           .zone = i == 0 ? "north-a" : "north-b",
                           .ip = OwnAddress(2 + i) };
    isSetUp = servers[i].Start();
    servers[i].Register(store);
  }
  store.Put("op", "config", Configuration().Text());
  Vm vm;
  vm.options = {
    .name = "vm-a", .ip = OwnAddress(11), .store = store.Address(), .folder = TemporaryFolder()
  };
  if (!isSetUp || !vm.Start() || !vm.AwaitReady(15000)) {
    Say("the case could not run");
    return kCouldNotRun;
  }
  SleepMs(500);
  if (HasTrouble()) {
    for (Server& server : servers) {
      server.Crash();
    }
    Say("the servers crash");
  }
  const long crashedAt = NowMs();
  int stray = 0;
  int broken = 0;
  for (int i = 0; i < kClients; ++i) {
    const Seen seen = UseConnection(vm);
    stray += seen.hasStrayBytes ? 1 : 0;
    broken += seen.isNextBroken ? 1 : 0;
  }
  if (HasTrouble()) {
    SleepMs(std::max(0L, crashedAt + kCrashMs - NowMs()));
    for (Server& server : servers) {
      if (!server.Start()) {
        return kCouldNotRun;
      }
      server.Register(store);
    }
    Say("the servers are back");
  }
  const bool isBroken = stray > 0 || broken > 0;
  Say("of %d connections, %d carried bytes with no request waiting, %d a next answer that is none: "
      "MIXED is %s",
      kClients,
      stray,
      broken,
      isBroken ? "broken" : "held");
  return isBroken ? kBroken : kHeld;
}
