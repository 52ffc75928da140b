#include "control/control_loop.h"
#include "control/members.h"
#include "plantainhaven/common/log.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace plantainhaven {

namespace {

constexpr std::chrono::seconds kMembershipInterval{ 1 };
constexpr std::chrono::milliseconds kPublishInterval{ 10 };
// Time without a request from plantain-entryd after which this VM counts as not serving.
constexpr std::chrono::seconds kEntrySilence{ 1 };

} // namespace

ViewAnswer
ControlLoop::AnswerLocal(const ViewAsk& aAsk)
{
  const BootTime now = BootClock::Now();
  if (aAsk.role() == kEntryRole) {
    this->NoteEntry(aAsk, now);
  }
  return MakeViewAnswer(this->replica, this->MakeLocalState(now), aAsk);
}

void
ControlLoop::NoteEntry(const ViewAsk& aAsk, BootTime aNow)
{
  this->lastEntryAsk = aNow;
  this->entryReady = aAsk.ready();
  this->ownPositions.assign(aAsk.shift_positions().begin(), aAsk.shift_positions().end());
  if (aAsk.leaving() == this->leaving) {
    return;
  }
  this->leaving = aAsk.leaving();
  Log(LogLevel::kInfo, "leaving", { { "leaving", aAsk.leaving() } });
  if (this->view && aAsk.leaving()) {
    this->view->OnLeaving(aNow);
  }
}

LocalState
ControlLoop::MakeLocalState(BootTime aNow) const
{
  LocalState state;
  state.vm = this->settings.vm().name();
  state.incarnation = this->incarnation;
  state.leaving = this->leaving;
  state.serving = this->entryAlive && this->entryReady;
  for (const auto& [service, position] : this->peerPositions) {
    state.shiftPositions.push_back(position);
  }
  if (!this->view) {
    return state;
  }
  state.freshUntil = this->view->FreshUntil();
  state.acceptedRevision = this->view->AcceptedRevision();
  state.acceptedAt = this->view->AcceptedAt();
  for (const MemberHealth& member : this->view->Members(aNow)) {
    VmStatus vm;
    vm.set_name(member.name);
    vm.set_revision(member.appliedRevision);
    vm.set_fresh(member.fresh);
    vm.set_alive(member.alive);
    vm.set_state(member.leaving ? "LEAVING" : "ACTIVE");
    state.vms.push_back(std::move(vm));
  }
  return state;
}

bool
ControlLoop::FirstAliveVoter(BootTime aNow) const
{
  std::vector<std::string> voters = this->view->Voters();
  std::sort(voters.begin(), voters.end());
  const std::vector<MemberHealth> health = this->view->Members(aNow);
  for (const std::string& voter : voters) {
    if (voter == this->settings.vm().name()) {
      return true;
    }
    const bool alive = std::any_of(health.begin(), health.end(), [&](const MemberHealth& aOther) {
      return aOther.name == voter && aOther.alive;
    });
    if (alive) {
      return false;
    }
  }
  return false;
}

void
ControlLoop::PostWrite(ApplyRequest aWrite, const char* aPurpose)
{
  this->writeWorker.TryPost([this, aPurpose, write = std::move(aWrite)] {
    const std::vector<Revision> anyVersion(static_cast<std::size_t>(write.deletes_size()), 0);
    const Result<WriteOutcome> outcome = this->writer->Write(write, anyVersion, "");
    if (IsOk(outcome)) {
      Log(LogLevel::kInfo,
          "membership_written",
          { { "purpose", aPurpose }, { "revision", ValueOf(outcome).revision() } });
      return;
    }
    this->metrics.Count(
      "plantainhaven_membership_write_failures_total", "reason", ToString(ErrorOf(outcome).kind));
    Log(LogLevel::kWarning,
        "membership_write_failed",
        { { "purpose", aPurpose }, { "error", ErrorOf(outcome).message } });
  });
}

bool
ControlLoop::RemoveDeadMember(BootTime aNow)
{
  const std::vector<std::string> dead = this->view->DeadMembers(aNow);
  if (dead.empty() || !this->FirstAliveVoter(aNow)) {
    return false;
  }
  ApplyRequest write;
  ResourceId* id = write.add_deletes();
  id->set_kind("entry_vm");
  id->set_name(dead.front());
  this->PostWrite(std::move(write), "remove_dead");
  return true;
}

void
ControlLoop::MaintainMembership(BootTime aNow)
{
  this->entryAlive = aNow - this->lastEntryAsk < kEntrySilence;
  this->view->SetServing(this->entryAlive && this->entryReady);
  if (aNow < this->nextMembership || this->writer == nullptr || !this->storeReachable) {
    return;
  }
  this->nextMembership = aNow + kMembershipInterval;
  if (this->RemoveDeadMember(aNow) || this->leaving) {
    return;
  }
  const Resource own = MakeOwnResource(this->settings, this->incarnation);
  bool listed = false;
  bool same = false;
  this->replica.Read([&](const Configuration& aConfiguration) {
    const Resource* found = aConfiguration.Find("entry_vm", own.name());
    listed = found != nullptr;
    same = listed && found->entry_vm().incarnation() == own.entry_vm().incarnation();
  });
  if (!listed && !this->entryAlive) {
    return;
  }
  if (!same) {
    ApplyRequest write;
    *write.add_resources() = own;
    this->PostWrite(std::move(write), "join");
  }
}

void
ControlLoop::Publish(BootTime aNow)
{
  if (aNow < this->nextPublish) {
    return;
  }
  this->nextPublish = aNow + kPublishInterval;
  FleetStatus status;
  status.set_vm(this->settings.vm().name());
  status.set_applied_revision(this->replica.Applied());
  status.set_accepted_revision(this->view->AcceptedRevision());
  status.set_fresh(aNow < this->view->FreshUntil());
  status.set_store_reachable(this->storeReachable);
  for (VmStatus& vm : this->MakeLocalState(aNow).vms) {
    *status.add_vms() = std::move(vm);
  }
  for (const std::string& voter : this->view->Voters()) {
    status.add_voters(voter);
  }
  this->published.Publish(std::move(status), this->view->MissingVoters(this->replica.Applied()));
  this->metrics.Set("plantainhaven_accepted_revision",
                    static_cast<double>(this->view->AcceptedRevision()));
  this->metrics.Set("plantainhaven_view_fresh", aNow < this->view->FreshUntil() ? 1 : 0);
  this->metrics.Set("plantainhaven_peer_bytes_sent", static_cast<double>(this->peers.BytesSent()));
  this->metrics.Set("plantainhaven_peer_bytes_received",
                    static_cast<double>(this->peers.BytesReceived()));
}

} // namespace plantainhaven
