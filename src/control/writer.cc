#include "plantainhaven/control/writer.h"

#include "plantainhaven/common/digest.h"
#include "plantainhaven/policy/config/validation.h"

#include <thread>
#include <utility>

namespace plantainhaven {

namespace {

const char* const kWriteRetries = "plantainhaven_write_retries_total";

Error
OutcomeUnknown(const std::string& aChangeId)
{
  return Error{ ErrorKind::kUnknown,
                "the store didn't tell whether the change with id " + aChangeId + " was committed",
                "repeat the same write with the header Plantainhaven-Change-Id: " + aChangeId };
}

Error
TooManyRaces()
{
  return Error{ ErrorKind::kUnavailable,
                "other writers kept changing the configuration first; nothing was done",
                "repeat the write" };
}

Error
ReplicaBehind(Revision aHead)
{
  return Error{ ErrorKind::kUnavailable,
                "this VM hasn't reached the head revision " + std::to_string(aHead) +
                  "; nothing was done",
                "repeat the write, here or through another VM" };
}

WriteOutcome
OutcomeOf(const ChangeRecord& aChange)
{
  WriteOutcome outcome;
  outcome.set_revision(aChange.revision());
  outcome.set_change_id(aChange.change_id());
  for (const Resource& resource : aChange.puts()) {
    *outcome.add_resources() = resource;
  }
  return outcome;
}

} // namespace

Writer::Writer(ConfigurationStore& aStore,
               Replica& aReplica,
               Metrics& aMetrics,
               std::function<void(const ChangeRecord&)> aCommitted,
               std::function<void(Revision)> aHeadSeen)
  : store(aStore)
  , replica(aReplica)
  , metrics(aMetrics)
  , committed(std::move(aCommitted))
  , headSeen(std::move(aHeadSeen))
{
}

Result<ChangeRecord>
Writer::Prepare(const ApplyRequest& aWrite,
                const std::vector<Revision>& aDeleteVersions,
                const std::string& aChangeId,
                Revision aHead) const
{
  Result<ChangeRecord> prepared = ReplicaBehind(aHead);
  this->replica.Read([&](const Configuration& aConfiguration) {
    if (aConfiguration.AppliedRevision() != aHead) {
      return;
    }
    const Result<Done> versions = CheckVersions(aConfiguration, aWrite, aDeleteVersions);
    if (!IsOk(versions)) {
      prepared = ErrorOf(versions);
      return;
    }
    const Result<Done> valid = ValidateWrite(aConfiguration, aWrite);
    if (!IsOk(valid)) {
      prepared = ErrorOf(valid);
      return;
    }
    ChangeRecord change;
    change.set_revision(aHead + 1);
    change.set_change_id(aChangeId);
    *change.mutable_puts() = aWrite.resources();
    *change.mutable_deletes() = aWrite.deletes();
    for (Resource& resource : *change.mutable_puts()) {
      resource.set_version(aHead + 1);
    }
    prepared = std::move(change);
  });
  return prepared;
}

bool
Writer::CatchUp(Revision aHead)
{
  if (this->replica.Applied() >= aHead) {
    return true;
  }
  this->headSeen(aHead);
  return this->replica.WaitForRevision(aHead, kCatchUpWait);
}

Result<WriteOutcome>
Writer::FinishKnown(const ApplyRequest& aWrite, const std::string& aChangeId, Revision aRevision)
{
  this->headSeen(aRevision);
  WriteOutcome outcome;
  outcome.set_revision(aRevision);
  outcome.set_change_id(aChangeId);
  for (const Resource& resource : aWrite.resources()) {
    Resource* written = outcome.add_resources();
    *written = resource;
    written->set_version(aRevision);
  }
  return outcome;
}

Result<WriteOutcome>
Writer::Write(const ApplyRequest& aWrite,
              const std::vector<Revision>& aDeleteVersions,
              const std::string& aChangeId)
{
  const std::scoped_lock lock(this->oneAtATime);
  const std::string changeId = aChangeId.empty() ? RandomId() : aChangeId;
  // A repeated change id may already be committed; so may an attempt of this call
  // whose answer was lost.
  bool mayBeCommitted = !aChangeId.empty();
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    std::this_thread::sleep_for(attempt == 0 ? std::chrono::milliseconds(0) : kRetryPause);
    if (mayBeCommitted) {
      const Result<Revision> found = this->store.FindChange(changeId);
      if (IsOk(found)) {
        return this->FinishKnown(aWrite, changeId, ValueOf(found));
      }
      if (ErrorOf(found).kind != ErrorKind::kNotFound) {
        this->metrics.Count(kWriteRetries, "reason", "resolve_failed");
        continue;
      }
    }
    const Result<StoredHead> head = this->store.ReadHead();
    if (!IsOk(head)) {
      if (mayBeCommitted) {
        this->metrics.Count(kWriteRetries, "reason", "head_unreadable");
        continue;
      }
      Error error = ErrorOf(head);
      error.kind = ErrorKind::kUnavailable;
      return error;
    }
    if (!this->CatchUp(ValueOf(head).revision)) {
      return mayBeCommitted && aChangeId.empty() ? OutcomeUnknown(changeId)
                                                 : ReplicaBehind(ValueOf(head).revision);
    }
    const Result<ChangeRecord> change =
      this->Prepare(aWrite, aDeleteVersions, changeId, ValueOf(head).revision);
    if (!IsOk(change)) {
      if (this->replica.Applied() > ValueOf(head).revision) {
        this->metrics.Count(kWriteRetries, "reason", "head_moved");
        continue;
      }
      // The head has moved since an earlier attempt, or this one would be as valid as
      // that was. So that attempt is either committed by now or never will be.
      const Result<Revision> found = this->store.FindChange(changeId);
      if (IsOk(found)) {
        return this->FinishKnown(aWrite, changeId, ValueOf(found));
      }
      if (!mayBeCommitted || ErrorOf(found).kind == ErrorKind::kNotFound) {
        return ErrorOf(change);
      }
      this->metrics.Count(kWriteRetries, "reason", "resolve_failed");
      continue;
    }
    const Result<CommitOutcome> outcome = this->store.Commit(ValueOf(head), ValueOf(change));
    if (IsOk(outcome) && ValueOf(outcome) == CommitOutcome::kCommitted) {
      this->committed(ValueOf(change));
      return OutcomeOf(ValueOf(change));
    }
    if (IsOk(outcome)) {
      // The head moved, perhaps through an earlier attempt of this very change.
      mayBeCommitted = true;
      this->metrics.Count(kWriteRetries, "reason", "head_moved");
      continue;
    }
    if (ErrorOf(outcome).kind == ErrorKind::kUnavailable && !mayBeCommitted) {
      return ErrorOf(outcome);
    }
    mayBeCommitted = true;
    this->metrics.Count(kWriteRetries, "reason", "outcome_unknown");
  }
  return mayBeCommitted ? OutcomeUnknown(changeId) : TooManyRaces();
}

} // namespace plantainhaven
