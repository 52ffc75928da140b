#include "control/control_loop.h"
#include "control/members.h"
#include "plantainhaven/common/log.h"
#include "plantainhaven/common/settings.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace plantainhaven {

namespace {

// Maximum number of changes fetched in one read.
constexpr std::size_t kTailRows = 500;
constexpr std::chrono::milliseconds kTailAskInterval{ 50 };
constexpr std::chrono::seconds kVmListInterval{ 1 };
// Number of accepted revisions between two snapshots.
constexpr Revision kSnapshotEvery = 256;

} // namespace

void
ControlLoop::PostCommitted(const ChangeRecord& aChange)
{
  this->events.Post([this, aChange] { this->OnCommitted(aChange); });
}

void
ControlLoop::PostHeadSeen(Revision aHead)
{
  this->events.Post([this, aHead] {
    if (this->view) {
      this->view->OnCommitted(aHead, BootClock::Now());
    }
  });
}

void
ControlLoop::OnCommitted(const ChangeRecord& aChange)
{
  if (!this->view) {
    return;
  }
  const BootTime now = BootClock::Now();
  this->view->OnLocalWriteCommitted(aChange.revision(), now);
  this->ApplyOne(aChange, now);
  Envelope push;
  *push.mutable_push()->mutable_change() = aChange;
  for (const FleetMember& member : this->members) {
    if (member.name != this->settings.vm().name()) {
      this->SendTo(member.endpoint, push);
    }
  }
}

bool
ControlLoop::ApplyOne(const ChangeRecord& aChange, BootTime aNow)
{
  if (aChange.revision() <= this->replica.Applied()) {
    return true;
  }
  if (!IsOk(this->replica.Apply(aChange))) {
    return false;
  }
  if (ChangesMembers(aChange)) {
    this->replica.Read(
      [this](const Configuration& aConfiguration) { this->members = MembersOf(aConfiguration); });
  }
  this->view->OnApplied(aChange.revision(), this->members, aNow);
  this->metrics.Set("plantainhaven_applied_revision", static_cast<double>(aChange.revision()));
  Log(LogLevel::kDebug, "applied", { { "revision", aChange.revision() } });
  return true;
}

void
ControlLoop::ApplyAll(const std::vector<ChangeRecord>& aChanges)
{
  if (!this->view) {
    return;
  }
  const BootTime now = BootClock::Now();
  for (const ChangeRecord& change : aChanges) {
    this->view->OnCommitted(change.revision(), now);
    if (!this->ApplyOne(change, now)) {
      return;
    }
  }
}

void
ControlLoop::FetchWhenBehind(BootTime aNow)
{
  if (this->view->KnownHead() <= this->replica.Applied()) {
    return;
  }
  this->tailWorker.TryPost([this] { this->FetchFromTable(); });
  if (aNow >= this->nextTailAsk) {
    this->nextTailAsk = aNow + kTailAskInterval;
    this->AskPeerForTail(aNow);
  }
}

void
ControlLoop::FetchFromTable()
{
  Result<std::vector<ChangeRecord>> tail = this->store.ReadTail(this->replica.Applied(), kTailRows);
  if (IsOk(tail)) {
    this->events.Post([this, changes = std::move(ValueOf(tail))] { this->ApplyAll(changes); });
    return;
  }
  if (ErrorOf(tail).kind != ErrorKind::kNotFound) {
    return;
  }
  // The missing changes have been trimmed from the log; reload the snapshot.
  Result<LoadedSnapshot> loaded = this->store.LoadSnapshot();
  if (!IsOk(loaded)) {
    return;
  }
  this->events.Post([this, configuration = std::move(ValueOf(loaded).configuration)]() mutable {
    if (configuration.AppliedRevision() > this->replica.Applied()) {
      this->metrics.Count("plantainhaven_view_restarts_total", "reason", "tail_trimmed");
      this->StartView(std::move(configuration), BootClock::Now());
    }
  });
}

void
ControlLoop::AskPeerForTail(BootTime aNow)
{
  std::vector<MemberHealth> ahead = this->view->Members(aNow);
  std::erase_if(ahead, [this](const MemberHealth& aMember) {
    return !aMember.alive || aMember.appliedRevision <= this->replica.Applied();
  });
  if (ahead.empty()) {
    return;
  }
  const MemberHealth& chosen = ahead[this->lastAskId % ahead.size()];
  for (const FleetMember& member : this->members) {
    if (member.name == chosen.name) {
      Envelope ask;
      ask.mutable_tail_ask()->set_after_revision(this->replica.Applied());
      this->SendTo(member.endpoint, ask);
    }
  }
}

bool
ControlLoop::IsVoter() const
{
  const std::vector<std::string> voters = this->view->Voters();
  return std::find(voters.begin(), voters.end(), this->settings.vm().name()) != voters.end();
}

void
ControlLoop::PollTable(BootTime aNow)
{
  if (aNow < this->nextTableRead) {
    return;
  }
  this->nextTableRead = aNow + ToChrono(this->settings.view().table_interval());
  // While voters provide evidence, other VMs don't read the table, which limits its load.
  if (!this->IsVoter() && aNow < this->view->FreshUntil()) {
    return;
  }
  this->headWorker.TryPost([this] {
    const BootTime askedAt = BootClock::Now();
    const Result<StoredHead> head = this->store.ReadHead();
    this->events.Post([this, askedAt, head] {
      this->storeReachable = IsOk(head);
      if (!IsOk(head)) {
        this->metrics.Count(
          "plantainhaven_head_read_failures_total", "reason", ToString(ErrorOf(head).kind));
        return;
      }
      if (this->view) {
        this->view->OnTableHead(ValueOf(head).revision, askedAt, BootClock::Now());
      }
    });
  });
}

void
ControlLoop::PollVmList(BootTime aNow)
{
  // Only voters decide that a member is dead.
  if (aNow < this->nextVmList || !this->IsVoter()) {
    return;
  }
  this->nextVmList = aNow + kVmListInterval;
  this->listWorker.TryPost([this] {
    const Result<VmListAnswer> list = this->vmList.List();
    if (!IsOk(list)) {
      return;
    }
    this->events.Post([this, list] {
      if (this->view) {
        this->view->OnVmList(ValueOf(list), BootClock::Now());
      }
    });
  });
}

void
ControlLoop::WriteSnapshotWhenDue(BootTime aNow)
{
  const Revision applied = this->replica.Applied();
  if (applied != this->view->AcceptedRevision() ||
      applied < this->snapshotRevision + kSnapshotEvery || !this->FirstAliveVoter(aNow)) {
    return;
  }
  Configuration copy;
  this->replica.Read([&copy](const Configuration& aConfiguration) { copy = aConfiguration; });
  this->snapshotWorker.TryPost([this, configuration = std::move(copy)] {
    const Result<Done> written = this->store.WriteSnapshot(configuration);
    const bool kept = IsOk(written) || ErrorOf(written).kind == ErrorKind::kConflict;
    this->metrics.Count(
      "plantainhaven_snapshots_total", "outcome", IsOk(written) ? "written" : "failed");
    const Revision revision = configuration.AppliedRevision();
    this->events.Post([this, kept, revision] {
      if (kept) {
        this->snapshotRevision = revision;
      }
    });
  });
}

} // namespace plantainhaven
