#include "control/control_loop.h"
#include "control/members.h"
#include "plantainhaven/common/log.h"
#include "plantainhaven/common/settings.h"

#include <chrono>
#include <utility>

namespace plantainhaven {

namespace {

constexpr std::chrono::milliseconds kReceiveWait{ 5 };
// Maximum number of messages processed before the loop runs its other tasks.
constexpr int kMessagesPerTurn = 256;
// Maximum number of changes read from the table at once.
constexpr std::size_t kTailRows = 500;

std::uint64_t
WallClockMicroseconds()
{
  const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count());
}

} // namespace

ControlLoop::ControlLoop(const ControldSettings& aSettings,
                         ConfigurationStore& aStore,
                         VmList& aVmList,
                         Replica& aReplica,
                         Metrics& aMetrics,
                         PublishedState& aPublished)
  : settings(aSettings)
  , store(aStore)
  , vmList(aVmList)
  , replica(aReplica)
  , metrics(aMetrics)
  , published(aPublished)
  , endpoint(TcpEndpoint(aSettings.vm().address(), aSettings.ports().peer()))
{
  std::vector<std::string> seeds;
  for (const std::string& seed : aSettings.view().seed_peers()) {
    if (seed != this->endpoint) {
      seeds.push_back(seed);
    }
  }
  this->bootstrap =
    std::make_unique<PeerBootstrap>(aSettings.vm().name(), this->endpoint, std::move(seeds));
}

Result<Done>
ControlLoop::Bind()
{
  const std::string& address = this->settings.vm().address();
  Result<Done> peer =
    this->peers.Bind(address, static_cast<std::uint16_t>(this->settings.ports().peer()));
  if (!IsOk(peer)) {
    return peer;
  }
  return this->local.Bind(address, static_cast<std::uint16_t>(this->settings.ports().local()));
}

void
ControlLoop::Run(const std::atomic<bool>& aStop)
{
  while (!aStop) {
    std::optional<Envelope> message = this->peers.Receive(kReceiveWait);
    for (int i = 0; message && i < kMessagesPerTurn; ++i) {
      this->OnEnvelope(*message, BootClock::Now());
      message = this->peers.Receive(std::chrono::milliseconds(0));
    }
    this->events.RunAll();
    this->Tick(BootClock::Now());
    this->local.ProcessRequests([this](const ViewAsk& aAsk) { return this->AnswerLocal(aAsk); });
  }
}

void
ControlLoop::Tick(BootTime aNow)
{
  if (!this->view) {
    this->TickBootstrap(aNow);
    return;
  }
  this->SendAll(this->view->OnTick(aNow));
  for (const std::string& silent : this->view->EndpointsToReconnect(aNow)) {
    this->metrics.Count("plantainhaven_links_replaced_total", "reason", "silent");
    this->peers.Reset(silent);
  }
  this->PollTable(aNow);
  this->PollVmList(aNow);
  this->FetchWhenBehind(aNow);
  this->MaintainMembership(aNow);
  this->WriteSnapshotWhenDue(aNow);
  this->ReportShift(aNow);
  this->Publish(aNow);
}

void
ControlLoop::TickBootstrap(BootTime aNow)
{
  if (aNow >= this->nextTableRead) {
    this->nextTableRead = aNow + ToChrono(this->settings.view().table_interval());
    this->headWorker.TryPost([this] { this->LoadFromStore(); });
  }
  if (aNow >= this->nextTailAsk) {
    this->nextTailAsk = aNow + std::chrono::milliseconds(20);
    this->SendAll(this->bootstrap->OnTick(aNow));
  }
  std::optional<Configuration> copy = this->bootstrap->Take();
  if (copy) {
    Log(LogLevel::kInfo, "bootstrap", { { "from", "peer" } });
    this->StartView(std::move(*copy), aNow);
  }
}

void
ControlLoop::LoadFromStore()
{
  Result<LoadedSnapshot> loaded = this->store.LoadSnapshot();
  if (!IsOk(loaded)) {
    this->metrics.Count(
      "plantainhaven_bootstrap_retries_total", "reason", ToString(ErrorOf(loaded).kind));
    return;
  }
  const Revision base = ValueOf(loaded).configuration.AppliedRevision();
  Result<std::vector<ChangeRecord>> tail = this->store.ReadTail(base, kTailRows);
  if (!IsOk(tail)) {
    this->metrics.Count(
      "plantainhaven_bootstrap_retries_total", "reason", ToString(ErrorOf(tail).kind));
    return;
  }
  this->events.Post([this,
                     configuration = std::move(ValueOf(loaded).configuration),
                     changes = std::move(ValueOf(tail))]() mutable {
    if (this->view) {
      return;
    }
    Log(LogLevel::kInfo, "bootstrap", { { "from", "store" } });
    this->snapshotRevision = configuration.AppliedRevision();
    this->StartView(std::move(configuration), BootClock::Now());
    this->ApplyAll(changes);
  });
}

void
ControlLoop::StartView(Configuration aBase, BootTime aNow)
{
  const Revision revision = aBase.AppliedRevision();
  if (!this->replica.Reset(std::move(aBase))) {
    return;
  }
  this->replica.Read([this](const Configuration& aConfiguration) {
    this->members = MembersOf(aConfiguration);
    this->incarnation =
      NextIncarnation(aConfiguration, this->settings.vm().name(), WallClockMicroseconds());
  });
  FleetViewOptions options;
  options.self = this->settings.vm().name();
  options.incarnation = this->incarnation;
  options.endpoint = this->endpoint;
  options.freshness = ToChrono(this->settings.view().freshness());
  options.pollInterval = ToChrono(this->settings.view().ask_interval());
  options.deadAfter = ToChrono(this->settings.view().dead_after());
  this->view = std::make_unique<FleetView>(options, aNow);
  this->view->OnBase(revision, this->members, aNow);
  Log(LogLevel::kInfo,
      "view_started",
      { { "revision", revision }, { "incarnation", this->incarnation } });
}

} // namespace plantainhaven
