#include "plantainhaven/edge/edge_program.h"

#include "edge/context.h"
#include "edge/fleet.h"
#include "edge/held_signals.h"
#include "edge/net.h"
#include "edge/settings_watch.h"
#include "edge/simple_server.h"
#include "edge/store_follower.h"
#include "edge/traffic.h"
#include "plantainhaven/common/log.h"
#include "plantainhaven/common/metrics.h"
#include "plantainhaven/common/program.h"
#include "plantainhaven/common/settings.h"
#include "platform/names.h"
#include "platform/store_client.h"

#include <algorithm>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <exception>
#include <functional>
#include <memory>
#include <thread>
#include <utility>

namespace plantainhaven {
namespace edge {
namespace {

// Longest delay in removing a server after its grace period has expired.
constexpr std::chrono::milliseconds kPublishInterval{ 100 };
// The settings file is polled because it may change without a signal.
constexpr std::chrono::milliseconds kSettingsInterval{ 5000 };
constexpr std::chrono::milliseconds kHandOverPoll{ 10 };
// Time in which messages to other VMs leave the process.
constexpr std::chrono::milliseconds kFlushTime{ 50 };
constexpr double kBytesPerMegabit = 1e6 / 8;

std::chrono::milliseconds
ToMs(const google::protobuf::Duration& aTime)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(ToChrono(aTime));
}

// All components of the daemon. Store and fleet state belong to the thread of
// `controlContext`, callers and servers to that of `trafficContext`; each posts to the other.
class Edge
{
public:
  Edge(const EdgedSettings& aSettings, const ChangedSettings& aDecoded);
  // Runs until an orderly stop has completed.
  void Run();

private:
  template<typename Action>
  void OnTraffic(Action aAction)
  {
    asio::post(this->trafficContext, std::move(aAction));
  }
  template<typename Action>
  void OnControl(Action aAction)
  {
    asio::post(this->controlContext, std::move(aAction));
  }
  StoreListener MakeStoreListener();
  FleetListener MakeFleetListener();
  std::unique_ptr<platform::StoreClient> MakeClient();
  TableUpdateLink MakeTableUpdateLink();
  void OnTableMessage(const Envelope& aMessage);
  Task<void> RunPeriodically();
  Task<void> WatchSettings();
  void ReloadSettings();
  SimpleResponse RespondToOperator(const SimpleRequest& aRequest);
  void AwaitSignal();
  void OnSignal(int aSignal);
  // Ends the process once other VMs own this one's part of the limits.
  Task<void> EndAfterHandOver(BootTime aExitAt);
  void RunContext(asio::io_context& aContext, const char* aThread);

  const EdgedSettings& settings;
  SettingsWatch watch;
  platform::RegionByDomain regions;
  Metrics metrics;
  Context controlContext;
  Context trafficContext;
  asio::signal_set signals;
  // A signal that was sent before this time has been handled.
  BootTime checkedSignalsAt = BootClock::Now();
  std::unique_ptr<platform::StoreClient> operatorClient;
  std::unique_ptr<platform::StoreClient> serverClient;
  std::unique_ptr<platform::StoreClient> fleetClient;
  StoreListener listener;
  OperatorRows operatorRows;
  ServerRows serverRows;
  TableFollower operatorFollower;
  TableFollower serverFollower;
  Fleet fleet;
  Traffic traffic;
};

Edge::Edge(const EdgedSettings& aSettings, const ChangedSettings& aDecoded)
  : settings(aSettings)
  , watch(SettingsFileName(), aSettings)
  , regions(aDecoded.regions)
  , signals(controlContext, SIGTERM, SIGINT, SIGHUP)
  , operatorClient(this->MakeClient())
  , serverClient(this->MakeClient())
  , fleetClient(this->MakeClient())
  , listener(this->MakeStoreListener())
  , operatorRows(this->listener)
  , serverRows(
      this->listener,
      this->regions,
      [this] { return this->fleet.HasStoreContact(placing::ServerRegistry::kReportGracePeriod); })
  , operatorFollower(this->controlContext,
                     *this->operatorClient,
                     { .table = platform::kOperatorTable,
                       .wait = ToMs(aSettings.store().configuration_wait()),
                       .interval = std::chrono::milliseconds(0),
                       .self = aSettings.vm().name(),
                       .linkBytesPerSecond = aSettings.link().megabits() * kBytesPerMegabit },
                     this->operatorRows.MakeReader(),
                     this->MakeTableUpdateLink())
  , serverFollower(this->controlContext,
                   *this->serverClient,
                   { .table = platform::kServerTable,
                     .wait = ToMs(aSettings.store().server_wait()),
                     .interval = ToMs(aSettings.store().server_interval()),
                     .self = aSettings.vm().name() },
                   this->serverRows.MakeReader(),
                   this->MakeTableUpdateLink())
  , fleet(this->controlContext,
          aSettings,
          *this->fleetClient,
          this->metrics,
          this->MakeFleetListener())
  , traffic(
      this->trafficContext,
      aSettings,
      aDecoded.bounds,
      this->metrics,
      [this](const std::string& aEndpoint, Envelope aMessage) {
        this->OnControl([this, aEndpoint, message = std::move(aMessage)]() mutable {
          this->fleet.Send(aEndpoint, std::move(message));
        });
      },
      [this](VmReport aReport) {
        this->OnControl([this, report = std::move(aReport)]() mutable {
          const auto contact = this->serverFollower.ContactTime();
          report.set_store_contact_ms(static_cast<std::uint64_t>(contact.count()));
          this->fleet.Report(std::move(report));
        });
      })
{
}

std::unique_ptr<platform::StoreClient>
Edge::MakeClient()
{
  return std::make_unique<platform::StoreClient>(
    this->controlContext,
    this->settings.store().address(),
    ToMs(this->settings.store().timeout()),
    [this] { this->metrics.Count("plantainhaven_store_calls_total"); });
}

TableUpdateLink
Edge::MakeTableUpdateLink()
{
  return { .send =
             [this](const TableNews& aUpdate) {
               Envelope message;
               *message.mutable_table_news() = aUpdate;
               this->fleet.SendToRegion(message);
             },
           .sendTo = [this](const std::string& aVm,
                            Envelope aMessage) { this->fleet.SendToVm(aVm, std::move(aMessage)); },
           .readerCount = [this] { return this->fleet.RegionVmCount(); },
           .onEra = [this](std::uint64_t aEra) { this->fleet.OnEra(aEra); } };
}

void
Edge::OnTableMessage(const Envelope& aMessage)
{
  const std::string& table = aMessage.has_table_news()       ? aMessage.table_news().table()
                             : aMessage.has_table_copy_ask() ? aMessage.table_copy_ask().table()
                                                             : aMessage.table_copy().table();
  if (table == platform::kOperatorTable) {
    this->operatorFollower.OnMessage(aMessage);
  } else if (table == platform::kServerTable) {
    this->serverFollower.OnMessage(aMessage);
  }
}

StoreListener
Edge::MakeStoreListener()
{
  return { .onRouting =
             [this](RoutingPtr aRouting) {
               this->OnTraffic(
                 [this, routing = std::move(aRouting)] { this->traffic.SetRouting(routing); });
             },
           .onAvoidedDomains =
             [this](std::vector<std::string> aDomains) {
               this->OnTraffic([this, domains = std::move(aDomains)] {
                 this->traffic.SetAvoidedDomains(domains);
               });
             },
           .onServers =
             [this](std::vector<BackendServer> aServers, BootTime aReadAt) {
               this->OnTraffic([this, aReadAt, servers = std::move(aServers)] {
                 this->traffic.SetServers(servers, aReadAt);
               });
             } };
}

FleetListener
Edge::MakeFleetListener()
{
  return { .onView =
             [this](FleetView aView) {
               this->OnTraffic([this, view = std::move(aView)]() mutable {
                 this->traffic.SetFleet(std::move(view));
               });
             },
           .onQuota =
             [this](const QuotaGrant& aGrant, std::function<void()> aOnApplied) {
               this->OnTraffic([this, aGrant, onApplied = std::move(aOnApplied)]() mutable {
                 this->traffic.SetQuota(aGrant);
                 this->OnControl(std::move(onApplied));
               });
             },
           .onServerNews =
             [this](VmReport aReport) {
               this->OnTraffic(
                 [this, report = std::move(aReport)] { this->traffic.OnPeerReport(report); });
             },
           .onTableMessage = [this](const Envelope& aMessage) { this->OnTableMessage(aMessage); },
           .onTokenMessage =
             [this](Envelope aMessage) {
               this->OnTraffic([this, message = std::move(aMessage)] {
                 if (message.has_token_ask()) {
                   this->traffic.Tokens().OnBorrowRequest(message);
                 } else {
                   this->traffic.Tokens().OnGrant(message);
                 }
               });
             } };
}

Task<void>
Edge::RunPeriodically()
{
  asio::steady_timer timer(this->controlContext);
  BootTime lastRun = BootClock::Now();
  BootTime runBefore = lastRun;
  while (true) {
    co_await Sleep(timer, kPublishInterval);
    // The context polls the signals between two runs of this loop, and may handle one after the
    // run that follows the poll.
    this->checkedSignalsAt = std::exchange(runBefore, std::exchange(lastRun, BootClock::Now()));
    this->serverRows.PublishChanges();
    this->operatorFollower.RetryCopy();
  }
}

Task<void>
Edge::WatchSettings()
{
  asio::steady_timer timer(this->controlContext);
  while (true) {
    co_await Sleep(timer, kSettingsInterval);
    this->ReloadSettings();
  }
}

void
Edge::ReloadSettings()
{
  const std::optional<ChangedSettings> changed = this->watch.ReadIfChanged();
  if (!changed) {
    return;
  }
  SetLogLevel(changed->logLevel);
  this->regions = changed->regions;
  for (const auto& client : { &this->operatorClient, &this->serverClient, &this->fleetClient }) {
    (*client)->SetAddress(changed->storeAddress);
  }
  this->OnTraffic([this, bounds = changed->bounds] { this->traffic.SetBounds(bounds); });
}

SimpleResponse
Edge::RespondToOperator(const SimpleRequest& aRequest)
{
  if (aRequest.target() == "/quarantine/clear" && aRequest.method() == beast::http::verb::post) {
    this->traffic.ClearQuarantine();
    return { .status = 200, .contentType = "text/plain", .body = "cleared\n" };
  }
  if (aRequest.target() == "/state") {
    return { .status = 200, .contentType = "text/plain", .body = this->traffic.StateText() };
  }
  return { .status = 200,
           .contentType = "text/plain; version=0.0.4",
           .body = this->metrics.Text() };
}

void
Edge::AwaitSignal()
{
  this->signals.async_wait([this](const beast::error_code& aFault, int aSignal) {
    if (!aFault) {
      this->OnSignal(aSignal);
      this->AwaitSignal();
    }
  });
}

void
Edge::OnSignal(int aSignal)
{
  if (aSignal == SIGHUP) {
    Log(LogLevel::kInfo, "reload", { { "file", SettingsFileName() } });
    this->ReloadSettings();
    return;
  }
  const placing::StopSignal signal{ .earliest = this->checkedSignalsAt,
                                    .seenAt = BootClock::Now() };
  this->OnTraffic([this, signal] {
    this->traffic.BeginStop(
      signal,
      [this] { this->OnControl([this] { this->fleet.BeginHandOver(); }); },
      [this](BootTime aExitAt) {
        asio::co_spawn(this->controlContext, this->EndAfterHandOver(aExitAt), asio::detached);
      });
  });
}

Task<void>
Edge::EndAfterHandOver(BootTime aExitAt)
{
  asio::steady_timer timer(this->controlContext);
  while (!this->fleet.IsHandedOver() && BootClock::Now() < aExitAt) {
    co_await Sleep(timer, kHandOverPoll);
  }
  co_await Sleep(
    timer,
    std::min(kFlushTime,
             std::max(ToMilliseconds(aExitAt - BootClock::Now()), std::chrono::milliseconds(0))));
  this->trafficContext.stop();
  this->controlContext.stop();
}

void
Edge::RunContext(asio::io_context& aContext, const char* aThread)
{
  const auto work = asio::make_work_guard(aContext);
  while (!aContext.stopped()) {
    try {
      aContext.run();
    } catch (const std::exception& fault) {
      Log(LogLevel::kError, "unexpected", { { "thread", aThread }, { "error", fault.what() } });
    }
  }
}

void
Edge::Run()
{
  this->AwaitSignal();
  ReleaseSignals();
  this->traffic.Start();
  const auto bound = this->fleet.Start();
  if (!IsOk(bound)) {
    throw std::runtime_error(ErrorOf(bound).message);
  }
  const Tcp::endpoint metricsAt(asio::ip::make_address(this->settings.vm().address()),
                                static_cast<unsigned short>(this->settings.listen().metrics()));
  // Runs on the traffic thread because it reads the state of that thread.
  ServeSimple(this->trafficContext, metricsAt, [this](const SimpleRequest& aRequest) {
    return this->RespondToOperator(aRequest);
  });
  asio::co_spawn(this->controlContext, this->operatorFollower.Run(), asio::detached);
  asio::co_spawn(this->controlContext, this->serverFollower.Run(), asio::detached);
  asio::co_spawn(this->controlContext, this->RunPeriodically(), asio::detached);
  asio::co_spawn(this->controlContext, this->WatchSettings(), asio::detached);
  std::thread trafficThread([this] { this->RunContext(this->trafficContext, "traffic"); });
  this->RunContext(this->controlContext, "control");
  trafficThread.join();
  this->trafficContext.Shutdown();
  this->controlContext.Shutdown();
}

} // namespace
} // namespace edge

void
PrepareEdge()
{
  edge::HoldSignals();
}

int
RunEdge(const EdgedSettings& aSettings)
{
  std::signal(SIGPIPE, SIG_IGN);
  const auto decoded = edge::DecodeSettings(aSettings);
  if (!IsOk(decoded)) {
    const Error& error = ErrorOf(decoded);
    Log(LogLevel::kError, "settings", { { "error", error.message }, { "remedy", error.remedy } });
    return kExitUsage;
  }
  Log(LogLevel::kInfo,
      "start",
      { { "vm", aSettings.vm().name() },
        { "failure_domain", aSettings.vm().failure_domain() },
        { "grace_ms", ValueOf(decoded).bounds.stopGrace.count() } });
  try {
    edge::Edge daemon(aSettings, ValueOf(decoded));
    daemon.Run();
  } catch (const std::exception& fault) {
    Log(LogLevel::kError, "failed", { { "error", fault.what() } });
    return kExitFailure;
  }
  Log(LogLevel::kInfo, "end");
  return kExitOk;
}

} // namespace plantainhaven
