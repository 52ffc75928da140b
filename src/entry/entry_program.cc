#include "plantainhaven/entry/entry_program.h"

#include "plantainhaven/common/digest.h"
#include "plantainhaven/common/log.h"
#include "plantainhaven/common/program.h"
#include "plantainhaven/common/settings.h"
#include "plantainhaven/entry/control_thread.h"
#include "plantainhaven/entry/load_poller.h"
#include "plantainhaven/entry/request_handler.h"
#include "plantainhaven/fleet/local_link.h"
#include "plantainhaven/http/server.h"
#include "plantainhaven/platform/http_platform.h"

#include <algorithm>
#include <functional>
#include <mutex>
#include <random>
#include <thread>

namespace plantainhaven {

namespace {

using std::chrono::milliseconds;

// Longest wait for an answer of plantain-controld.
constexpr milliseconds kControlTimeout{ 500 };
// Longest wait for one answer of the table.
constexpr milliseconds kClaimTimeout{ 500 };
// Answers up to this size are passed on even where entry.buffered_answer is smaller.
constexpr std::size_t kLeastLargestAnswer = 8 << 20;

milliseconds
ToMilliseconds(const google::protobuf::Duration& aDuration)
{
  return std::chrono::ceil<milliseconds>(ToChrono(aDuration));
}

SteeringOptions
SteeringOptionsOf(const EntrydSettings& aSettings)
{
  SteeringOptions options;
  options.ownRegion = aSettings.vm().region();
  options.seed = std::random_device{}();
  return options;
}

BackendPoolOptions
PoolOptionsOf(const EntrydSettings& aSettings)
{
  BackendPoolOptions options;
  options.connectTimeout = ToMilliseconds(aSettings.entry().connect_timeout());
  options.maxAnswer =
    std::max<std::size_t>(kLeastLargestAnswer, aSettings.entry().buffered_answer());
  return options;
}

HttpServerOptions
ServerOptionsOf(const EntrydSettings& aSettings)
{
  HttpServerOptions options;
  options.address = aSettings.vm().address();
  options.port = static_cast<std::uint16_t>(aSettings.entry().port());
  options.threads = aSettings.entry().threads();
  options.queue = aSettings.entry().queue();
  options.maxBody = aSettings.entry().max_body();
  options.readTimeout = ToMilliseconds(aSettings.entry().read_timeout());
  options.keepAlive = options.readTimeout;
  options.refusalHeaders = NotRunHeaders(std::string(RuleOf(RefusalReason::kOverload).name));
  return options;
}

HttpPlatformOptions
PlatformOptionsOf(const EntrydSettings& aSettings)
{
  HttpPlatformOptions options;
  options.address = aSettings.platform().address();
  options.port = static_cast<std::uint16_t>(aSettings.platform().port());
  // Callers wait for claims, so that a slow table is given up earlier than elsewhere.
  options.timeout = std::min(ToMilliseconds(aSettings.platform().timeout()), kClaimTimeout);
  return options;
}

LedgerOptions
LedgerOptionsOf(const EntrydSettings& aSettings)
{
  LedgerOptions options;
  options.self = aSettings.vm().name();
  options.endpoint =
    "tcp://" + aSettings.vm().address() + ":" + std::to_string(aSettings.entry().budget_port());
  return options;
}

RequestHandlerOptions
HandlerOptionsOf(const EntrydSettings& aSettings, std::function<void()> aOnMetrics)
{
  RequestHandlerOptions options;
  options.vm = aSettings.vm().name();
  options.ownRegion = aSettings.vm().region();
  options.onMetrics = std::move(aOnMetrics);
  options.silenceWait = ToMilliseconds(aSettings.entry().connect_timeout());
  options.mostWaiting = std::max<std::size_t>(1, aSettings.entry().threads() / 4);
  return options;
}

// All parts of the process, wired; members are in order of dependency.
class EntryProcess
{
public:
  EntryProcess(const EntrydSettings& aSettings, std::unique_ptr<PeerLink> aBudgetLink)
    : settings(aSettings)
    , platform(PlatformOptionsOf(aSettings))
    , budgets(LedgerOptionsOf(aSettings), std::move(aBudgetLink), this->metrics)
    , gate(this->budgets)
    , steering(SteeringOptionsOf(aSettings))
    , pool(PoolOptionsOf(aSettings), this->gate)
    , links(aSettings.vm().region(), this->gate)
    , claims(this->platform, aSettings.vm().name())
    , handler(HandlerOptionsOf(aSettings, [this] { this->CountOverload(); }),
              { this->view,
                this->steering,
                this->pool,
                this->gate,
                this->links,
                this->claims,
                this->metrics })
    , server(ServerOptionsOf(aSettings),
             [this](const HttpRequest& aRequest) { return this->handler.Handle(aRequest); })
    , poller({}, this->view, this->pool, this->steering)
    , local(aSettings.control().address(), static_cast<std::uint16_t>(aSettings.control().port()))
    , control(
        [this](const ViewAsk& aAsk) { return this->local.RequestView(aAsk, kControlTimeout); },
        ToMilliseconds(aSettings.control().interval()),
        { this->view, this->steering, this->pool, this->Updates() })
  {
  }

  int Run()
  {
    const Result<Done> started = this->server.Start();
    if (!IsOk(started)) {
      const Error& error = ErrorOf(started);
      Log(LogLevel::kError,
          "listen_failed",
          { { "message", error.message }, { "remedy", error.remedy } });
      return kExitFailure;
    }
    this->budgets.Start();
    this->control.Start();
    this->poller.Start();
    Log(LogLevel::kInfo,
        "started",
        { { "vm", this->settings.vm().name() }, { "port", this->settings.entry().port() } });
    StopSignal::Wait();
    return this->StopGracefully();
  }

private:
  BudgetUpdates Updates()
  {
    return { [this](const BudgetConfiguration& aConfiguration, BootTime aNow) {
              this->budgets.UpdateConfiguration(aConfiguration, aNow);
            },
             [this](const BudgetView& aView, BootTime aNow) {
               this->budgets.UpdateView(aView, aNow);
             },
             [this](BootTime aNow) { return this->budgets.Established(aNow); } };
  }

  // The server refuses by itself what it has no thread for; the metrics count it with
  // the other refusals.
  void CountOverload()
  {
    const std::lock_guard<std::mutex> lock(this->overloadMutex);
    const std::uint64_t refused = this->server.RefusedConnections();
    this->metrics.Count("plantainhaven_refusals_total",
                        "reason",
                        RuleOf(RefusalReason::kOverload).name,
                        refused - this->countedOverload);
    this->countedOverload = refused;
  }

  int StopGracefully()
  {
    Log(LogLevel::kInfo, "leaving", { { "in_flight", this->server.InFlight() } });
    this->control.SetLeaving();
    std::this_thread::sleep_for(ToMilliseconds(this->settings.entry().leave_wait()));
    this->server.BeginDrain();
    const std::size_t cut =
      this->server.Stop(ToMilliseconds(this->settings.entry().drain_timeout()));
    this->poller.Stop();
    this->claims.Flush(ToMilliseconds(this->settings.platform().timeout()));
    this->budgets.Stop();
    this->control.Stop();
    Log(LogLevel::kInfo, "stopped", { { "cut_requests", cut } });
    return cut == 0 ? kExitOk : kExitFailure;
  }

  const EntrydSettings& settings;
  std::mutex overloadMutex;
  std::uint64_t countedOverload = 0;
  Metrics metrics;
  ViewState view;
  HttpPlatform platform;
  BudgetService budgets;
  ServiceBudgetGate gate;
  Steering steering;
  BackendPool pool;
  LinkCharges links;
  ClaimStore claims;
  RequestHandler handler;
  HttpServer server;
  LoadPoller poller;
  LocalClient local;
  ControlThread control;
};

} // namespace

int
RunEntry(const EntrydSettings& aSettings)
{
  auto link = std::make_unique<ZmqPeerLink>();
  const Result<Done> bound = link->Bind(
    aSettings.vm().address(), static_cast<std::uint16_t>(aSettings.entry().budget_port()));
  if (!IsOk(bound)) {
    const Error& error = ErrorOf(bound);
    Log(LogLevel::kError,
        "budget_link_failed",
        { { "message", error.message }, { "remedy", error.remedy } });
    return kExitFailure;
  }
  EntryProcess process(aSettings, std::move(link));
  return process.Run();
}

} // namespace plantainhaven
