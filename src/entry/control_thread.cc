#include "plantainhaven/entry/control_thread.h"

#include "plantainhaven/fleet/view_follower.h"

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>

namespace plantainhaven {

namespace {

constexpr char kRole[] = "entry";

ShiftPosition
ToMessage(const ServiceSplit& aSplit)
{
  ShiftPosition message;
  message.set_service(aSplit.service);
  for (const RegionWeight& weight : aSplit.weights) {
    TrafficPolicy::Weight* added = message.add_weights();
    added->set_region(weight.region);
    added->set_percent(weight.percent);
  }
  return message;
}

ServiceSplit
FromMessage(const ShiftPosition& aMessage)
{
  ServiceSplit split;
  split.service = aMessage.service();
  for (const TrafficPolicy::Weight& weight : aMessage.weights()) {
    split.weights.push_back({ weight.region(), weight.percent() });
  }
  return split;
}

bool
HasPeers(const ViewFollower& aFollower)
{
  const auto& vms = aFollower.Vms();
  return std::any_of(vms.begin(), vms.end(), [&](const VmStatus& aVm) {
    return aVm.alive() && aVm.name() != aFollower.Vm();
  });
}

// The answer cut into parts with one change each, so that no revision is skipped.
std::vector<ViewAnswer>
OneChangeEach(ViewAnswer aAnswer)
{
  if (aAnswer.changes_size() < 2) {
    return { std::move(aAnswer) };
  }
  std::vector<ViewAnswer> parts;
  ViewAnswer bare = aAnswer;
  bare.clear_changes();
  for (const ChangeRecord& change : aAnswer.changes()) {
    parts.push_back(bare);
    *parts.back().add_changes() = change;
    bare.set_whole(false);
    bare.clear_chunks();
  }
  return parts;
}

} // namespace

struct ControlThread::Impl
{
  void Run();
  void RunOnce(BootTime aNow);
  void Take(const ViewAnswer& aAnswer, BootTime aNow);
  void PublishConfiguration(const ViewChange& aChange, BootTime aNow);

  ControlAsk ask;
  std::chrono::milliseconds interval;
  ControlTargets targets;
  ViewFollower follower{ kRole };
  std::shared_ptr<const RequestTables> tables = {};
  bool ready = false;
  std::atomic<bool> leaving{ false };
  std::mutex mutex = {};
  std::condition_variable changed = {};
  bool stopping = false;
  std::thread thread = {};
};

void
ControlThread::Impl::PublishConfiguration(const ViewChange& aChange, BootTime aNow)
{
  const Configuration& current = this->follower.Current();
  this->targets.budgets.configuration(BudgetsOf(current), aNow);
  const bool touched =
    aChange.configurationReplaced || !aChange.changedKinds.empty() || this->tables == nullptr;
  if (touched) {
    this->tables = RequestTables::Build(current);
    this->targets.steering.Update(*this->tables, aNow);
  }
}

void
ControlThread::Impl::Take(const ViewAnswer& aAnswer, BootTime aNow)
{
  const ViewChange change = this->follower.OnAnswer(aAnswer);
  if (change.configurationChanged) {
    this->PublishConfiguration(change, aNow);
  }
  this->targets.budgets.view(
    { this->follower.AcceptedRevision(), this->follower.AcceptedAt(), this->follower.FreshUntil() },
    aNow);
  if (this->tables != nullptr) {
    this->targets.view.Publish(this->tables, this->follower.FreshUntil());
  }
}

void
ControlThread::Impl::RunOnce(BootTime aNow)
{
  ViewAsk request = this->follower.BuildRequest();
  request.set_leaving(this->leaving);
  // Once ready, a VM stays so: a budget that is added later starts empty on every VM.
  this->ready = this->ready || (this->tables != nullptr && this->targets.budgets.established(aNow));
  request.set_ready(this->ready);
  for (const ServiceSplit& split : this->targets.steering.Positions()) {
    *request.add_shift_positions() = ToMessage(split);
  }
  std::optional<ViewAnswer> answer = this->ask(request);
  if (answer) {
    for (const ViewAnswer& part : OneChangeEach(std::move(*answer))) {
      this->Take(part, aNow);
    }
    std::vector<ServiceSplit> positions;
    for (const ShiftPosition& position : this->follower.ShiftPositions()) {
      positions.push_back(FromMessage(position));
    }
    this->targets.steering.OnPeerPositions(positions, HasPeers(this->follower), aNow);
  }
  this->targets.steering.Advance(aNow);
  if (this->tables != nullptr) {
    this->targets.pool.Trim(*this->tables, aNow);
  }
}

void
ControlThread::Impl::Run()
{
  std::unique_lock<std::mutex> lock(this->mutex);
  while (!this->stopping) {
    lock.unlock();
    this->RunOnce(BootClock::Now());
    lock.lock();
    this->changed.wait_for(lock, this->interval, [this] { return this->stopping; });
  }
}

ControlThread::ControlThread(ControlAsk aAsk,
                             std::chrono::milliseconds aInterval,
                             ControlTargets aTargets)
  : impl(new Impl{ std::move(aAsk), aInterval, std::move(aTargets) })
{
}

ControlThread::~ControlThread()
{
  this->Stop();
}

void
ControlThread::Start()
{
  this->impl->thread = std::thread([this] { this->impl->Run(); });
}

void
ControlThread::Stop()
{
  {
    const std::lock_guard<std::mutex> lock(this->impl->mutex);
    this->impl->stopping = true;
  }
  this->impl->changed.notify_all();
  if (this->impl->thread.joinable()) {
    this->impl->thread.join();
  }
}

void
ControlThread::SetLeaving()
{
  this->impl->leaving = true;
}

void
ControlThread::RunOnce(BootTime aNow)
{
  this->impl->RunOnce(aNow);
}

} // namespace plantainhaven
