#include "plantainhaven/control/controller.h"

#include "control/control_loop.h"
#include "control/published_state.h"
#include "plantainhaven/common/log.h"
#include "plantainhaven/common/settings.h"

#include <future>
#include <thread>
#include <utility>

namespace plantainhaven {

namespace {

// Maximum number of changes in one watch response.
constexpr std::size_t kWatchChanges = 500;
// Time allowed for plantain-entryd to announce that the VM leaves, when all processes of a
// VM are stopped at the same time.
constexpr std::chrono::milliseconds kLeaveNotice{ 300 };
constexpr std::chrono::milliseconds kLeavePoll{ 20 };

} // namespace

struct Controller::Impl
{
  Impl(const ControldSettings& aSettings,
       TableStore& aTable,
       ObjectStore& aObjects,
       VmList& aVmList,
       Metrics& aMetrics)
    : settings(aSettings)
    , store(aTable, aObjects)
    , vmList(aVmList)
    , metrics(aMetrics)
  {
  }

  void RunLoop(std::promise<Result<Done>>& aStarted)
  {
    ControlLoop controlLoop(
      this->settings, this->store, this->vmList, this->replica, this->metrics, this->published);
    const Result<Done> bound = controlLoop.Bind();
    if (!IsOk(bound)) {
      aStarted.set_value(bound);
      return;
    }
    this->loop = &controlLoop;
    this->writer = std::make_unique<Writer>(
      this->store,
      this->replica,
      this->metrics,
      [&controlLoop](const ChangeRecord& aChange) { controlLoop.PostCommitted(aChange); },
      [&controlLoop](Revision aHead) { controlLoop.PostHeadSeen(aHead); });
    controlLoop.SetWriter(this->writer.get());
    aStarted.set_value(Done{});
    controlLoop.Run(this->stop);
  }

  // Waits until plantain-entryd has finished; returns whether the VM leaves.
  bool WaitForLeave() const
  {
    const BootTime start = BootClock::Now();
    while (!this->loop->Leaving() && BootClock::Now() - start < kLeaveNotice) {
      std::this_thread::sleep_for(kLeavePoll);
    }
    if (!this->loop->Leaving()) {
      return false;
    }
    while (this->loop->EntryAlive() && BootClock::Now() - start < kLeaveTimeout) {
      std::this_thread::sleep_for(kLeavePoll);
    }
    return true;
  }

  void RemoveSelf()
  {
    ApplyRequest write;
    ResourceId* id = write.add_deletes();
    id->set_kind("entry_vm");
    id->set_name(this->settings.vm().name());
    Result<WriteOutcome> outcome = this->writer->Write(write, { 0 }, "");
    if (!IsOk(outcome)) {
      Log(LogLevel::kWarning, "leave_failed", { { "error", ErrorOf(outcome).message } });
      return;
    }
    this->published.WaitForAcceptance(ValueOf(outcome),
                                      ToChrono(this->settings.view().accept_wait()));
    Log(LogLevel::kInfo, "left", { { "accepted", ValueOf(outcome).accepted() } });
  }

  const ControldSettings settings;
  ConfigurationStore store;
  VmList& vmList;
  Metrics& metrics;
  Replica replica;
  PublishedState published;
  std::unique_ptr<Writer> writer;
  ControlLoop* loop = nullptr;
  std::atomic<bool> stop{ false };
  std::thread thread;
};

Controller::Controller(const ControldSettings& aSettings,
                       TableStore& aTable,
                       ObjectStore& aObjects,
                       VmList& aVmList,
                       Metrics& aMetrics)
  : impl(std::make_unique<Impl>(aSettings, aTable, aObjects, aVmList, aMetrics))
{
}

Controller::~Controller()
{
  this->impl->stop = true;
  if (this->impl->thread.joinable()) {
    this->impl->thread.join();
  }
}

Result<Done>
Controller::Start()
{
  std::promise<Result<Done>> started;
  std::future<Result<Done>> result = started.get_future();
  this->impl->thread =
    std::thread([this, promise = std::move(started)]() mutable { this->impl->RunLoop(promise); });
  return result.get();
}

void
Controller::Stop()
{
  if (this->impl->WaitForLeave()) {
    this->impl->RemoveSelf();
  }
  this->impl->stop = true;
  this->impl->thread.join();
}

void
Controller::Read(const std::function<void(const Configuration&)>& aRead) const
{
  this->impl->replica.Read(aRead);
}

Result<WriteOutcome>
Controller::Write(const ApplyRequest& aWrite,
                  const std::vector<Revision>& aDeleteVersions,
                  const std::string& aChangeId)
{
  Result<WriteOutcome> outcome = this->impl->writer->Write(aWrite, aDeleteVersions, aChangeId);
  if (IsOk(outcome)) {
    this->impl->published.WaitForAcceptance(ValueOf(outcome),
                                            ToChrono(this->impl->settings.view().accept_wait()));
  }
  return outcome;
}

Result<std::vector<ChangeRecord>>
Controller::ChangesAfter(Revision aRevision, std::chrono::milliseconds aWait)
{
  return this->impl->replica.WaitForChanges(aRevision, kWatchChanges, aWait);
}

FleetStatus
Controller::Status() const
{
  return this->impl->published.Status();
}

} // namespace plantainhaven
