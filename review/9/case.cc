// QUOTA: the store comes back from a copy that is older than the last change of who grants which part
// of the accounts' limits. Meanwhile the VM that gave a part away is restarted as planned work, and
// the one that got it stands still. From then on both grant that part.
// TROUBLE=0: the same VMs, clients and planned restart; the store stays, and no VM stands still.

#include "standin.h"

#include <algorithm>

using namespace review;

namespace {

constexpr double kRate = 100;
constexpr double kBurst = 100;
constexpr long kWindowMs = 5000;
constexpr double kOverage = 0.1;
constexpr double kSlack = 20;
constexpr long kFreezeMs = 5000;
constexpr long kGraceMs = 6000;
// The platform starts a process again after a short delay.
constexpr long kRestartMs = 150;
// The store is away from this time after the SIGTERM until vm-a has stopped.
constexpr long kAwayAfterMs = 2200;
constexpr int kClients = 24;
constexpr const char* kFleetTable = "plantain-vms";

// When each request was sent and when it arrived at a server, for those that ran.
struct Runs
{
  std::mutex mutex;
  std::map<std::string, long> sentAt;
  std::vector<std::pair<long, long>> ran;
};

// The most requests that were both sent and run within one window that begins after `aFrom`.
std::size_t
MostInWindow(Runs& aRuns, long aFrom)
{
  const std::lock_guard<std::mutex> lock(aRuns.mutex);
  std::vector<std::pair<long, long>> ran;
  for (const auto& [arrived, sent] : aRuns.ran) {
    if (sent >= aFrom) {
      ran.emplace_back(arrived, sent);
    }
  }
  std::sort(ran.begin(), ran.end());
  std::size_t most = 0;
  std::size_t first = 0;
  for (std::size_t last = 0; last < ran.size(); ++last) {
    while (ran[last].first - ran[first].first > kWindowMs) {
      ++first;
    }
    std::size_t count = 0;
    const long begin = ran[last].first - kWindowMs;
    for (std::size_t i = first; i <= last; ++i) {
      count += ran[i].second >= begin ? 1 : 0;
    }
    most = std::max(most, count);
  }
  return most;
}

void
RunClient(Vm& aFirst, Vm& aSecond, int aIndex, Runs& aRuns, std::atomic<bool>& aEnds)
{
  Vm& vm = aIndex % 2 == 0 ? aFirst : aSecond;
  while (!aEnds) {
    Connection connection;
    if (!vm.Connect(connection)) {
      SleepMs(20);
      continue;
    }
    bool isOpen = true;
    while (isOpen && !aEnds) {
      const std::string id = NewId();
      {
        const std::lock_guard<std::mutex> lock(aRuns.mutex);
        aRuns.sentAt[id] = NowMs();
      }
      Message answer;
      isOpen =
        connection.Send(RequestHead("GET", "/page/1", id, "key-academy", 1500) + "\r\n") &&
        connection.Read(answer, 2500) == ReadEnd::kWhole &&
        ::strcasecmp(answer.Field("Connection").c_str(), "close") != 0;
      SleepMs(25);
    }
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
  Runs runs;
  std::vector<std::unique_ptr<Server>> servers;
  bool isSetUp = store.Start(OwnAddress(1));
  for (int i = 0; i < 4 && isSetUp; ++i) {
    servers.push_back(std::make_unique<Server>());
    servers.back()->options = { .id = "desk-" + std::to_string(i),
                                .zone = i % 2 == 0 ? "north-a" : "north-b",
                                .ip = OwnAddress(2 + i),
                                .slots = 30 };
    servers.back()->before = [&runs](Server& aSelf, Connection&, const Message& aHead)
      -> std::optional<Server::Answer> {
      const std::string id = aHead.Field("X-Plantainhaven-Request-Id");
      if (aHead.Field("X-Plantainhaven-Target-Instance") != aSelf.options.id) {
        return std::nullopt;
      }
      const std::lock_guard<std::mutex> lock(runs.mutex);
      runs.ran.emplace_back(NowMs(), runs.sentAt[id]);
      return Server::Answer{ aSelf.Bytes(aHead, "200 OK", "", "done\n"), false };
    };
    isSetUp = servers.back()->Start();
    servers.back()->Register(store);
  }
  Configuration configuration;
  configuration.rate = kRate;
  configuration.burst = kBurst;
  store.Put("op", "config", configuration.Text());
  const std::string folder = TemporaryFolder();
  Vm giver;
  Vm receiver;
  giver.options = {
    .name = "vm-a", .ip = OwnAddress(11), .store = store.Address(), .folder = folder
  };
  receiver.options = { .name = "vm-b",
                       .zone = "north-b",
                       .ip = OwnAddress(12),
                       .store = store.Address(),
                       .folder = folder };
  isSetUp = isSetUp && giver.Start() && giver.AwaitReady(15000);
  SleepMs(3000);
  isSetUp = isSetUp && receiver.Start() && receiver.AwaitReady(15000);
  // The giver looks for VMs without a part every 15 s.
  const std::uint64_t registered = store.RowVersion(kFleetTable, "vm-b");
  const long shareUntil = NowMs() + 20000;
  while (store.RowVersion(kFleetTable, "vm-b") == registered && NowMs() < shareUntil) {
    SleepMs(50);
  }
  const long sharedAt = NowMs();
  if (!isSetUp || store.RowVersion(kFleetTable, "vm-b") == registered) {
    Say("the case could not run");
    return kCouldNotRun;
  }
  Say("vm-a has given vm-b a part of the limits");
  // The receiver has read its row by then.
  SleepMs(1700);
  Say("vm-a is restarted as planned work");
  giver.Signal(SIGTERM);
  const long stopAt = NowMs();
  SleepMs(kAwayAfterMs);
  if (HasTrouble()) {
    store.SetAway(true);
  }
  int status = 0;
  while (!giver.HasEnded(status)) {
    if (NowMs() - stopAt > kGraceMs) {
      giver.Kill();
    }
    SleepMs(10);
  }
  const long endedAt = NowMs();
  Say("vm-a has stopped");
  if (HasTrouble()) {
    receiver.Signal(SIGSTOP);
    Say("vm-b stands still");
    store.ReturnFromCopy(endedAt - sharedAt + 500);
    store.SetAway(false);
  }
  SleepMs(kRestartMs);
  if (!giver.Start()) {
    return kCouldNotRun;
  }
  SleepMs(endedAt + kFreezeMs - NowMs());
  if (HasTrouble()) {
    receiver.Signal(SIGCONT);
    Say("vm-b wakes again");
  }
  giver.AwaitReady(15000);
  receiver.AwaitReady(15000);
  SleepMs(8000);
  std::atomic<bool> ends{ false };
  std::vector<std::thread> clients;
  const long from = NowMs();
  Say("%d clients begin", kClients);
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back(
      RunClient, std::ref(giver), std::ref(receiver), i, std::ref(runs), std::ref(ends));
  }
  SleepMs(20000);
  ends = true;
  for (std::thread& client : clients) {
    client.join();
  }
  const double bound =
    (kRate * (static_cast<double>(kWindowMs) / 1000) + kBurst) * (1 + kOverage) + kSlack;
  const std::size_t most = MostInWindow(runs, from);
  const std::size_t later = MostInWindow(runs, from + 10000);
  const bool isBroken = static_cast<double>(most) > bound;
  Say("%zu runs in all; the most in 5 s: %zu, and %zu more than 10 s after the clients began; the "
      "bound is %.0f: QUOTA is %s",
      runs.ran.size(),
      most,
      later,
      bound,
      isBroken ? "broken" : "held");
  return isBroken ? kBroken : kHeld;
}
