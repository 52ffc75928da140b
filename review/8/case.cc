// MIXED: one account's clients send 6 times their usual, more than the account's limit, so part of
// their requests is refused. Some of the requests are HEAD. The clients keep their connections.
// TROUBLE=0: they send as usual.

#include "standin.h"

using namespace review;

namespace {

constexpr double kRate = 40;
constexpr double kBurst = 40;
constexpr int kClients = 10;
// As usual, 25 requests a second in all; 6 times that with the disruption.
constexpr long kUsualPauseMs = 400;
constexpr long kHotPauseMs = 66;
constexpr long kLengthMs = 6000;

struct Counts
{
  std::atomic<int> heads{ 0 };
  std::atomic<int> refusedHeads{ 0 };
  std::atomic<int> stray{ 0 };
  std::atomic<int> unreadable{ 0 };
  std::atomic<int> answered{ 0 };
};

// Sends one request on the connection and reads its answer. Returns whether the connection can be
// used on.
bool
Ask(Connection& aConnection, const char* aMethod, Counts& aCounts)
{
  const bool isHead = std::string(aMethod) == "HEAD";
  // Whatever is there before the request is sent belongs to no request.
  aConnection.Receive(Clock::now() + Ms(1));
  if (!aConnection.Rest().empty()) {
    ++aCounts.stray;
    Say("bytes with no request waiting: %s", Shown(aConnection.Rest()).c_str());
  }
  const std::string id = NewId();
  if (!aConnection.Send(RequestHead(aMethod, "/page/1", id, "key-academy", 2000) + "\r\n")) {
    return false;
  }
  Message answer;
  const ReadEnd end = aConnection.Read(answer, 3000, isHead);
  const bool isForeign =
    end == ReadEnd::kWhole && answer.Field("X-Plantainhaven-Request-Id") != id;
  if (end == ReadEnd::kBroken || isForeign) {
    ++aCounts.unreadable;
    Say("%s id=%s: no answer in the protocol, its first word is \"%s\"",
        aMethod,
        id.c_str(),
        Shown(answer.first).c_str());
    return false;
  }
  if (end == ReadEnd::kNothing) {
    Say("%s id=%s: the connection ends", aMethod, id.c_str());
    return false;
  }
  ++aCounts.answered;
  aCounts.heads += isHead ? 1 : 0;
  aCounts.refusedHeads += isHead && answer.Status() == 429 ? 1 : 0;
  Say("%s id=%s: %d", aMethod, id.c_str(), answer.Status());
  return ::strcasecmp(answer.Field("Connection").c_str(), "close") != 0;
}

void
RunClient(const Vm& aVm, int aIndex, Counts& aCounts)
{
  const long pause = HasTrouble() ? kHotPauseMs : kUsualPauseMs;
  SleepMs(aIndex * pause / kClients);
  const long until = NowMs() + kLengthMs;
  Connection connection;
  for (int i = aIndex; NowMs() < until; ++i) {
    const bool isOpen = connection.IsOpen() || aVm.Connect(connection);
    if (!isOpen || !Ask(connection, i % 2 == 0 ? "HEAD" : "GET", aCounts)) {
      connection.Close();
    }
    SleepMs(pause);
  }
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
  Configuration configuration;
  configuration.rate = kRate;
  configuration.burst = kBurst;
  store.Put("op", "config", configuration.Text());
  Vm vm;
  vm.options = {
    .name = "vm-a", .ip = OwnAddress(11), .store = store.Address(), .folder = TemporaryFolder()
  };
  if (!isSetUp || !vm.Start() || !vm.AwaitReady(15000)) {
    Say("the case could not run");
    return kCouldNotRun;
  }
  SleepMs(2000);
  Counts counts;
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back(RunClient, std::cref(vm), i, std::ref(counts));
  }
  for (std::thread& client : clients) {
    client.join();
  }
  if (counts.heads == 0) {
    return kCouldNotRun;
  }
  const bool isBroken = counts.stray > 0 || counts.unreadable > 0;
  Say("%d requests answered, %d HEAD, %d of these refused; %d times bytes with no request waiting, %d "
      "times no answer in the protocol: MIXED is %s",
      counts.answered.load(),
      counts.heads.load(),
      counts.refusedHeads.load(),
      counts.stray.load(),
      counts.unreadable.load(),
      isBroken ? "broken" : "held");
  return isBroken ? kBroken : kHeld;
}
