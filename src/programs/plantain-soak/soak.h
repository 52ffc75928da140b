#pragma once

#include "callers.h"
#include "fault_proxy.h"
#include "ledger.h"
#include "vm_process.h"

#include "edge/context.h"
#include "edge/net.h"
#include "plantainhaven/standin/free_port.h"
#include "plantainhaven/standin/server_standin.h"
#include "plantainhaven/standin/store_standin.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace plantainhaven::soak {

struct SoakOptions
{
  std::uint64_t seed = 1;
  std::chrono::seconds length{ 30 };
  int vms = 4;
  int servers = 6;
  int callers = 24;
  // Path of plantain-edged.
  std::string program;
  // Path of another build of plantain-edged. VMs begin with it and change the build with each
  // restart.
  std::string otherProgram;
  // Folder for settings and logs.
  std::string folder;
};

// Runs plantain-edged processes with simulated callers, backend servers and a store, injects
// random faults, and checks what callers and servers observe.
class Soak
{
public:
  explicit Soak(SoakOptions aOptions);

  // Returns one line for each violation.
  std::vector<std::string> Run();
  std::string Summary() const { return this->ledger.Summary(); }

private:
  struct Vm
  {
    std::unique_ptr<FaultProxy> storeLink;
    std::unique_ptr<VmProcess> process;
    // Time of the next restart; zero while the process should run.
    BootTime startAt{};
    // Time at which a process that received SIGTERM is killed; zero if none was sent.
    BootTime killAt{};
  };
  struct Server
  {
    std::unique_ptr<standin::ServerStandin> standin;
    std::unique_ptr<FaultProxy> link;
    std::string service;
    std::string domain;
    bool isDraining = false;
    // Time at which a draining server ends.
    BootTime endAt{};
  };
  struct FaultAction
  {
    const char* name;
    void (Soak::*run)();
  };

  void AddVm(int aNumber);
  Server MakeServer(const std::string& aService, const std::string& aDomain);
  void ReportServer(Server& aServer);
  void WriteConfiguration();
  edge::Task<void> RunServers();
  edge::Task<void> RunVms();
  edge::Task<void> RunFaultActions();
  void Watch(Vm& aVm);
  void EndFaults();
  // Runs an action once after a delay.
  void After(std::chrono::milliseconds aTime, std::function<void()> aAction);
  std::chrono::milliseconds Between(int aLeast, int aMost);
  Vm& AnyVm() { return this->vms[this->random() % this->vms.size()]; }
  Server& AnyServer() { return this->servers[this->random() % this->servers.size()]; }
  void Note(const std::string& aWhat);

  void KillVm();
  void StopVm();
  void PauseVm();
  void ReloadVm();
  void InjectStoreFault();
  void LoseStoreResponses();
  void ForgetHistory();
  void InjectStoreLinkFault();
  void InjectServerFault();
  void LimitServer();
  void InjectServerLinkFault();
  void CrashServer();
  void DrainServer();
  void ChangeConfiguration();
  void Evacuate();

  SoakOptions options;
  std::mt19937_64 random;
  edge::Context context;
  BootTime startedAt;
  Ledger ledger;
  standin::StoreStandin store;
  PortRange ports;
  std::vector<Vm> vms;
  std::vector<Server> servers;
  std::unique_ptr<Callers> callers;
  std::vector<std::string> broken;
  int nextServer = 1;
  int limitedServers = 0;
  int configuration = 0;
  bool hasEnded = false;
};

} // namespace plantainhaven::soak
