#include "soak.h"

#include "platform/names.h"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <functional>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sys/wait.h>
#include <utility>

namespace plantainhaven::soak {
namespace {

using edge::Sleep;
using edge::Task;
using std::chrono::milliseconds;
namespace asio = edge::asio;

constexpr Ledger::Limits kLimits{ .rate = 25, .burst = 25 };
constexpr milliseconds kHeartbeat{ 1500 };
constexpr milliseconds kProcessPollInterval{ 50 };
constexpr milliseconds kRestart{ 400 };
constexpr milliseconds kGrace{ 6000 };
// Tolerance for the end of a process after its grace period, because the processes are only
// polled at intervals.
constexpr milliseconds kGraceSlack{ 300 };
// Delay before callers start, so that the VMs discover each other first.
constexpr milliseconds kStartDelay{ 3000 };
// Fault-free time at the end of the run. Requests sent in its last kRecovered must be served.
constexpr std::chrono::seconds kCalm{ 12 };
constexpr std::chrono::seconds kRecovered{ 4 };
// No server names a rate limit in this time at the end.
constexpr std::chrono::seconds kLimitFreeTime{ 7 };
// Minimum fraction of requests served after the recovery. The guaranteed bound is a quarter;
// without faults nearly all requests are served.
constexpr double kLeastServed = 0.9;

std::string
DomainOf(int aNumber)
{
  return std::string(aNumber % 2 == 0 ? "north" : "south") + (aNumber / 2 % 2 == 0 ? "-a" : "-b");
}

nlohmann::json
RouteOf(const char* aName, const char* aPrefix, const char* aType, const char* aService)
{
  return { { "name", aName },
           { "prefix", aPrefix },
           { "route_type", aType },
           { "timeout_ms", 2500 },
           { "target_latency_ms", 300 },
           { "priority", 1 },
           { "service", aService },
           { "max_attempts", 2 },
           { "public", false },
           { "session_affinity", true },
           { "allowed_regions", nlohmann::json::array() } };
}

nlohmann::json
ServiceOf(const char* aName)
{
  return { { "name", aName },
           { "health_path", "/health" },
           { "max_connections", 300 },
           { "warmup_s", 0.0 },
           { "warmup_per_s", 0.0 } };
}

nlohmann::json
AccountOf(const std::string& aName, double aRate, double aBurst)
{
  return { { "name", aName },
           { "api_keys", { "key-" + aName } },
           { "rate_per_s", aRate },
           { "burst", aBurst },
           { "allowed_regions", nlohmann::json::array() } };
}

} // namespace

Soak::Soak(SoakOptions aOptions)
  : options(std::move(aOptions))
  , random(this->options.seed)
  , startedAt(BootClock::Now())
  , ledger(kLimits)
  , store(this->context, "127.0.0.1", 0)
{
  std::filesystem::create_directories(this->options.folder);
  for (int i = 0; i < this->options.servers; ++i) {
    const bool isShop = i % 3 != 2;
    this->servers.push_back(this->MakeServer(isShop ? "shop" : "desk", DomainOf(i)));
  }
  for (int i = 0; i < this->options.vms; ++i) {
    this->AddVm(i);
  }
}

void
Soak::Note(const std::string& aWhat)
{
  const auto at = edge::ToMilliseconds(BootClock::Now() - this->startedAt);
  std::cout << "event=soak_move at_ms=" << at.count() << " what=\"" << aWhat << "\"\n";
}

milliseconds
Soak::Between(int aLeast, int aMost)
{
  return milliseconds(std::uniform_int_distribution<int>(aLeast, aMost)(this->random));
}

void
Soak::After(milliseconds aTime, std::function<void()> aAction)
{
  const auto timer = std::make_shared<asio::steady_timer>(this->context);
  timer->expires_after(aTime);
  timer->async_wait([timer, action = std::move(aAction)](const edge::beast::error_code& aFault) {
    if (!aFault) {
      action();
    }
  });
}

void
Soak::AddVm(int aNumber)
{
  VmOptions vm;
  vm.name = "vm-" + std::to_string(aNumber + 1);
  vm.failureDomain = DomainOf(aNumber);
  vm.region = vm.failureDomain.substr(0, 5);
  vm.program = this->options.program;
  vm.otherProgram = this->options.otherProgram;
  vm.folder = this->options.folder;
  const std::string address = this->store.Address();
  const int port = std::stoi(address.substr(address.rfind(':') + 1));
  auto link = std::make_unique<FaultProxy>(this->context, static_cast<std::uint16_t>(port));
  vm.store = link->Port();
  vm.ports = { this->ports.Next(),
               this->ports.Next(),
               this->ports.Next(),
               this->ports.Next(),
               this->ports.Next() };
  this->vms.push_back({ std::move(link), std::make_unique<VmProcess>(std::move(vm)), {}, {} });
}

Soak::Server
Soak::MakeServer(const std::string& aService, const std::string& aDomain)
{
  standin::ServerOptions server;
  server.id = aService + "-" + std::to_string(this->nextServer++);
  server.service = aService;
  server.failureDomain = aDomain;
  server.work = this->Between(5, 60);
  Server made;
  made.service = aService;
  made.domain = aDomain;
  made.standin = std::make_unique<standin::ServerStandin>(
    this->context, server, [this, aService](const standin::ServerRun& aRun) {
      this->ledger.OnRun(aRun, aService, BootClock::Now());
    });
  made.link = std::make_unique<FaultProxy>(this->context, made.standin->Port());
  return made;
}

void
Soak::ReportServer(Server& aServer)
{
  this->store.Put(platform::kServerTable,
                  aServer.standin->Id(),
                  aServer.standin->Report(aServer.link->Port(), aServer.isDraining));
}

void
Soak::WriteConfiguration()
{
  ++this->configuration;
  const char* const pages = this->configuration % 2 == 0 ? "shop" : "desk";
  const nlohmann::json json{ { "version", 10 + 3 * this->configuration },
                             { "services", { ServiceOf("shop"), ServiceOf("desk") } },
                             { "limits",
                               { { "max_header_bytes", 16384 },
                                 { "max_body_bytes", 1048576 },
                                 { "header_timeout_ms", 3000 },
                                 { "idle_timeout_ms", 15000 } } },
                             { "tenants",
                               { AccountOf(kFreeAccount, 0, 0),
                                 AccountOf(kLimitedAccount, kLimits.rate, kLimits.burst) } },
                             { "hosts",
                               { { { "host", "soak.example" },
                                   { "paths",
                                     { RouteOf("book", "/book/", "unsafe", "shop"),
                                       RouteOf("page", "/page/", "safe", pages) } } } } } };
  this->store.Put(platform::kOperatorTable, platform::kConfigurationKey, json.dump());
}

Task<void>
Soak::RunServers()
{
  asio::steady_timer timer(this->context);
  while (true) {
    for (Server& server : this->servers) {
      this->ReportServer(server);
    }
    co_await Sleep(timer, kHeartbeat);
  }
}

Task<void>
Soak::RunVms()
{
  asio::steady_timer timer(this->context);
  while (true) {
    for (Vm& vm : this->vms) {
      this->Watch(vm);
    }
    co_await Sleep(timer, kProcessPollInterval);
  }
}

// Starts a VM when its restart is due, kills it after its grace period, and records a
// violation when it ended unexpectedly.
void
Soak::Watch(Vm& aVm)
{
  const BootTime now = BootClock::Now();
  const std::string& name = aVm.process->Options().name;
  if (aVm.startAt != BootTime{}) {
    if (now >= aVm.startAt) {
      aVm.startAt = {};
      aVm.process->Start();
    }
    return;
  }
  if (aVm.process->HasEnded()) {
    const int status = aVm.process->LastStatus();
    const bool wasKilled = WIFSIGNALED(status) && WTERMSIG(status) == SIGKILL;
    const bool wasAsked = aVm.killAt != BootTime{};
    if (!wasAsked || (!wasKilled && status != 0)) {
      this->broken.push_back("CRASH: " + name + " ended with status " + std::to_string(status));
    }
    aVm.killAt = {};
    aVm.startAt = now + kRestart;
    return;
  }
  if (aVm.killAt != BootTime{} && now >= aVm.killAt + kGraceSlack) {
    this->broken.push_back("STOP: " + name + " still ran after its grace");
    this->ledger.OnVmDisturbed(name, now);
    aVm.process->Signal(SIGKILL);
    aVm.killAt = now + std::chrono::hours(1);
  }
}

Task<void>
Soak::RunFaultActions()
{
  static constexpr FaultAction kFaultActions[] = {
    { "kill", &Soak::KillVm },
    { "stop", &Soak::StopVm },
    { "stop", &Soak::StopVm },
    { "pause", &Soak::PauseVm },
    { "reload", &Soak::ReloadVm },
    { "store", &Soak::InjectStoreFault },
    { "store_answers", &Soak::LoseStoreResponses },
    { "store_history", &Soak::ForgetHistory },
    { "store_link", &Soak::InjectStoreLinkFault },
    { "server", &Soak::InjectServerFault },
    { "server_limit", &Soak::LimitServer },
    { "server_limit", &Soak::LimitServer },
    { "server_link", &Soak::InjectServerLinkFault },
    { "server_crash", &Soak::CrashServer },
    { "server_drain", &Soak::DrainServer },
    { "configuration", &Soak::ChangeConfiguration },
    { "evacuate", &Soak::Evacuate },
  };
  asio::steady_timer timer(this->context);
  co_await Sleep(timer, kStartDelay);
  this->callers->Start(this->options.callers);
  const BootTime until = this->startedAt + this->options.length - kCalm;
  while (BootClock::Now() < until) {
    co_await Sleep(timer, this->Between(100, 900));
    const FaultAction& move = kFaultActions[this->random() % std::size(kFaultActions)];
    this->Note(move.name);
    (this->*move.run)();
  }
  this->EndFaults();
  const BootTime calmAt = BootClock::Now();
  co_await Sleep(timer, kCalm);
  this->callers->Stop();
  co_await Sleep(timer, milliseconds(4000));
  const double served = this->ledger.ServedPart(calmAt + kCalm - kRecovered, calmAt + kCalm);
  if (served < kLeastServed) {
    this->broken.push_back("RECOVER: expected 0.9 served at the end, found " +
                           std::to_string(served));
  }
  this->hasEnded = true;
  this->context.stop();
}

void
Soak::EndFaults()
{
  this->Note("calm");
  this->store.SetFaults({});
  for (Vm& vm : this->vms) {
    vm.storeLink->SetFault(LinkFault::kNone, {});
    vm.process->Signal(SIGCONT);
  }
  for (Server& server : this->servers) {
    server.standin->SetFaults({});
    server.link->SetFault(LinkFault::kNone, {});
  }
  for (const char* const domain : { "north-a", "north-b", "south-a", "south-b" }) {
    this->store.Remove(platform::kOperatorTable, std::string(platform::kEvacuationPrefix) + domain);
  }
}

std::vector<std::string>
Soak::Run()
{
  this->WriteConfiguration();
  std::vector<KnownVm> known;
  for (Vm& vm : this->vms) {
    const VmOptions& vmOptions = vm.process->Options();
    known.push_back(
      { vmOptions.name, vmOptions.ports.callers, vmOptions.ports.lookups, vmOptions.region });
    vm.process->Start();
  }
  this->callers =
    std::make_unique<Callers>(this->context, known, this->ledger, this->options.seed + 1);
  asio::co_spawn(this->context, this->RunServers(), asio::detached);
  asio::co_spawn(this->context, this->RunVms(), asio::detached);
  asio::co_spawn(this->context, this->RunFaultActions(), asio::detached);
  this->context.run();
  this->context.Shutdown();
  std::vector<std::string> all = this->ledger.Broken();
  all.insert(all.end(), this->broken.begin(), this->broken.end());
  return all;
}

void
Soak::KillVm()
{
  Vm& vm = this->AnyVm();
  if (vm.startAt == BootTime{} && !vm.process->HasEnded()) {
    this->ledger.OnVmDisturbed(vm.process->Options().name, BootClock::Now());
    vm.killAt = BootClock::Now() + std::chrono::hours(1);
    vm.process->Signal(SIGKILL);
  }
}

void
Soak::StopVm()
{
  Vm& vm = this->AnyVm();
  if (vm.startAt == BootTime{} && vm.killAt == BootTime{}) {
    vm.killAt = BootClock::Now() + kGrace;
    vm.process->Signal(SIGTERM);
  }
}

void
Soak::PauseVm()
{
  Vm& vm = this->AnyVm();
  VmProcess* const process = vm.process.get();
  const milliseconds time = this->Between(200, 3000);
  this->ledger.OnVmDisturbed(process->Options().name, BootClock::Now());
  if (vm.killAt != BootTime{}) {
    // The grace period excludes the time for which the process is paused.
    vm.killAt += time;
  }
  process->Signal(SIGSTOP);
  this->After(time, [this, process] {
    this->ledger.OnVmDisturbed(process->Options().name, BootClock::Now());
    process->Signal(SIGCONT);
  });
}

void
Soak::ReloadVm()
{
  this->AnyVm().process->Signal(SIGHUP);
}

void
Soak::InjectStoreFault()
{
  constexpr standin::StoreOutage kWays[] = { standin::StoreOutage::kUnavailable,
                                             standin::StoreOutage::kTooMany,
                                             standin::StoreOutage::kReset,
                                             standin::StoreOutage::kSilent,
                                             standin::StoreOutage::kNone };
  standin::StoreFaults faults;
  faults.outage = kWays[this->random() % std::size(kWays)];
  faults.delay = this->Between(0, 200);
  this->store.SetFaults(faults);
  this->After(this->Between(300, 4000), [this] { this->store.SetFaults({}); });
}

void
Soak::LoseStoreResponses()
{
  standin::StoreFaults faults;
  faults.loseEvery = 2;
  faults.lateEvery = 3;
  faults.lateBy = this->Between(100, 2500);
  this->store.SetFaults(faults);
  this->After(this->Between(300, 4000), [this] { this->store.SetFaults({}); });
}

void
Soak::ForgetHistory()
{
  this->store.ForgetHistory();
}

void
Soak::InjectStoreLinkFault()
{
  constexpr LinkFault kWays[] = { LinkFault::kDelayed,
                                  LinkFault::kReset,
                                  LinkFault::kDropToTarget,
                                  LinkFault::kDropFromTarget,
                                  LinkFault::kDropBoth };
  FaultProxy* const link = this->AnyVm().storeLink.get();
  link->SetFault(kWays[this->random() % std::size(kWays)], this->Between(50, 400));
  this->After(this->Between(300, 5000), [link] { link->SetFault(LinkFault::kNone, {}); });
}

void
Soak::InjectServerFault()
{
  const int every = static_cast<int>(1 + this->random() % 5);
  const standin::ServerFaults kWays[] = {
    { .shedEvery = every },
    { .failEvery = every },
    { .dropResponseEvery = every },
    { .malformedResponseEvery = every },
    { .extraLatency = this->Between(100, 1500) },
  };
  Server& server = this->AnyServer();
  const std::string id = server.standin->Id();
  server.standin->SetFaults(kWays[this->random() % std::size(kWays)]);
  this->After(this->Between(300, 4000), [this, id] {
    for (Server& other : this->servers) {
      if (other.standin->Id() == id) {
        other.standin->SetFaults({});
      }
    }
  });
}

// A server names a rate limit for some time. Half of the servers of "shop" have none.
void
Soak::LimitServer()
{
  constexpr int kMostLimited = 2;
  Server& server = this->AnyServer();
  if (server.service != "shop" || this->limitedServers == kMostLimited) {
    return;
  }
  const std::string id = server.standin->Id();
  const double rate = 0.1 * static_cast<double>(this->Between(10, 120).count());
  const milliseconds calmEnd = edge::ToMilliseconds(this->startedAt + this->options.length -
                                                    kLimitFreeTime - BootClock::Now());
  ++this->limitedServers;
  server.standin->SetLimit(rate);
  this->ledger.OnLimit(id, rate, BootClock::Now());
  this->After(std::min(this->Between(7000, 15000), calmEnd), [this, id] {
    --this->limitedServers;
    this->ledger.OnLimit(id, std::nullopt, BootClock::Now());
    for (Server& other : this->servers) {
      if (other.standin->Id() == id) {
        other.standin->SetLimit(std::nullopt);
      }
    }
  });
}

void
Soak::InjectServerLinkFault()
{
  constexpr LinkFault kWays[] = { LinkFault::kDelayed,
                                  LinkFault::kReset,
                                  LinkFault::kDropToTarget,
                                  LinkFault::kDropFromTarget,
                                  LinkFault::kDropBoth };
  Server& server = this->AnyServer();
  const std::string id = server.standin->Id();
  server.link->SetFault(kWays[this->random() % std::size(kWays)], this->Between(20, 300));
  this->After(this->Between(300, 3000), [this, id] {
    for (Server& other : this->servers) {
      if (other.standin->Id() == id) {
        other.link->SetFault(LinkFault::kNone, {});
      }
    }
  });
}

// Replaces the server by one of the same service with a new id.
void
Soak::CrashServer()
{
  Server& server = this->AnyServer();
  this->store.Remove(platform::kServerTable, server.standin->Id());
  server = this->MakeServer(server.service, server.domain);
  this->ReportServer(server);
}

void
Soak::DrainServer()
{
  Server& server = this->AnyServer();
  if (server.isDraining) {
    return;
  }
  server.isDraining = true;
  this->ReportServer(server);
  const std::string id = server.standin->Id();
  this->After(this->Between(2500, 4000), [this, id] {
    for (Server& other : this->servers) {
      if (other.standin->Id() == id) {
        this->store.Remove(platform::kServerTable, id);
        other = this->MakeServer(other.service, other.domain);
        this->ReportServer(other);
      }
    }
  });
}

void
Soak::ChangeConfiguration()
{
  this->WriteConfiguration();
}

void
Soak::Evacuate()
{
  const std::string key =
    std::string(platform::kEvacuationPrefix) + DomainOf(static_cast<int>(this->random() % 4));
  this->store.Put(platform::kOperatorTable, key, "{}");
  this->After(this->Between(500, 5000),
              [this, key] { this->store.Remove(platform::kOperatorTable, key); });
}

} // namespace plantainhaven::soak
