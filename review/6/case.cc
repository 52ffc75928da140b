// RECOVER: VMs are replaced one after the other by new ones with new names and addresses. Then all
// processes are killed and start again. Requests of an account with a limit are served as long as
// the VMs that were there at first hold the account's units; later ones never receive any.
// TROUBLE=0: the same VMs are stopped and started in the same order, but none is replaced.

#include "standin.h"

using namespace review;

namespace {

constexpr double kRate = 40;
constexpr double kBurst = 40;
constexpr long kGraceMs = 6000;
constexpr long kRecoverMs = 15000;
// The clients ask for a quarter of the account's rate.
constexpr long kPauseMs = 100;
constexpr int kReplacements = 4;

struct Counts
{
  int sent = 0;
  int served = 0;
  std::map<int, int> byStatus;
};

class Fleet
{
public:
  Fleet(Store& aStore, std::string aFolder)
    : store(aStore)
    , folder(std::move(aFolder))
  {
  }

  bool Add(const std::string& aName)
  {
    Vm& vm = this->vms[aName];
    vm.options = { .name = aName,
                   .zone = this->next % 2 == 0 ? "north-a" : "north-b",
                   .ip = OwnAddress(20 + this->next),
                   .store = this->store.Address(),
                   .folder = this->folder };
    ++this->next;
    return vm.Start();
  }
  bool AwaitReady(const std::string& aName) { return this->vms[aName].AwaitReady(15000); }
  void Stop(const std::string& aName) { this->vms[aName].Stop(kGraceMs); }
  void Remove(const std::string& aName)
  {
    this->Stop(aName);
    this->vms.erase(aName);
    Say("vm %s is removed for good", aName.c_str());
  }
  bool Start(const std::string& aName) { return this->vms[aName].Start(); }
  std::vector<std::string> Names() const
  {
    std::vector<std::string> names;
    for (const auto& [name, vm] : this->vms) {
      names.push_back(name);
    }
    return names;
  }
  void KillAll()
  {
    for (auto& [name, vm] : this->vms) {
      vm.Kill();
    }
    Say("all processes are killed");
  }
  // Sends requests to the VMs in turn, each on a connection of its own.
  Counts Ask(int aCount, const char* aWhen)
  {
    Counts counts;
    for (int i = 0; i < aCount; ++i) {
      auto vm = this->vms.begin();
      std::advance(vm, i % static_cast<int>(this->vms.size()));
      const std::string id = NewId();
      Connection connection;
      Message answer;
      int status = 0;
      if (vm->second.Connect(connection) &&
          connection.Send(RequestHead("GET", "/page/1", id, "key-academy", 2000) + "\r\n") &&
          connection.Read(answer, 2500) == ReadEnd::kWhole) {
        status = answer.Status();
      }
      Say("request %s at %s: %d %s",
          id.c_str(),
          vm->first.c_str(),
          status,
          status == 200 ? "" : Shown(answer.body).c_str());
      ++counts.sent;
      counts.served += status == 200 ? 1 : 0;
      ++counts.byStatus[status];
      SleepMs(kPauseMs);
    }
    std::string statuses;
    for (const auto& [status, count] : counts.byStatus) {
      statuses += " " + std::to_string(status) + " x " + std::to_string(count);
    }
    Say("%s: %d of %d served, answers:%s", aWhen, counts.served, counts.sent, statuses.c_str());
    return counts;
  }

private:
  Store& store;
  std::string folder;
  std::map<std::string, Vm> vms;
  int next = 0;
};

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
  std::vector<std::unique_ptr<Server>> servers;
  bool isSetUp = store.Start(OwnAddress(1));
  for (int i = 0; i < 4 && isSetUp; ++i) {
    servers.push_back(std::make_unique<Server>());
    servers.back()->options = { .id = "desk-" + std::to_string(i),
                                .zone = i % 2 == 0 ? "north-a" : "north-b",
                                .ip = OwnAddress(2 + i) };
    isSetUp = servers.back()->Start();
    servers.back()->Register(store);
  }
  Configuration configuration;
  configuration.rate = kRate;
  configuration.burst = kBurst;
  store.Put("op", "config", configuration.Text());
  Fleet fleet(store, TemporaryFolder());
  isSetUp = isSetUp && fleet.Add("vm-0") && fleet.Add("vm-1") && fleet.AwaitReady("vm-0") &&
            fleet.AwaitReady("vm-1");
  if (!isSetUp) {
    Say("the case could not run");
    return kCouldNotRun;
  }
  SleepMs(3000);
  Counts before = fleet.Ask(20, "at first");
  for (int i = 0; i < kReplacements; ++i) {
    const std::string old = "vm-" + std::to_string(HasTrouble() ? i : i % 2);
    const std::string added = "vm-" + std::to_string(i + 2);
    if (HasTrouble()) {
      // The new VM serves before the old one is stopped.
      if (!fleet.Add(added) || !fleet.AwaitReady(added)) {
        return kCouldNotRun;
      }
      SleepMs(2000);
      fleet.Remove(old);
    } else {
      fleet.Stop(old);
      if (!fleet.Start(old) || !fleet.AwaitReady(old)) {
        return kCouldNotRun;
      }
      SleepMs(2000);
    }
    const Counts round = fleet.Ask(10, ("after round " + std::to_string(i + 1)).c_str());
    before.sent += round.sent;
    before.served += round.served;
  }
  fleet.KillAll();
  SleepMs(1000);
  const auto names = fleet.Names();
  for (const std::string& name : names) {
    if (!fleet.Start(name)) {
      return kCouldNotRun;
    }
  }
  for (const std::string& name : names) {
    fleet.AwaitReady(name);
  }
  Say("the machines are back");
  SleepMs(kRecoverMs + 500);
  const Counts after = fleet.Ask(40, "15 s after the machines were back");
  const bool wasServed = 4 * before.served >= before.sent;
  const bool isBroken = wasServed && 4 * after.served < after.sent;
  Say("before the final fault %d of %d served, after it %d of %d: RECOVER is %s",
      before.served,
      before.sent,
      after.served,
      after.sent,
      isBroken ? "broken" : "held");
  return isBroken ? kBroken : kHeld;
}
