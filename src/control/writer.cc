#include "plantainhaven/control/writer.h"

#include "plantainhaven/common/digest.h"
#include "plantainhaven/common/time.h"
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
TooManyConflicts()
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

// Converts a store error to an error which states that this call had no effect.
Error
StoreUnavailable(const Error& aError)
{
  return Error{ ErrorKind::kUnavailable,
                "the store can't be used (" + aError.message +
                  "); this call did nothing, and can't tell about earlier calls with its change id",
                "repeat the write with the same change id when the store is back" };
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
      resource.set_kind(KindOf(resource));
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
  return this->replica.WaitForRevision(aHead, kCatchUpTimeout);
}

Result<WriteOutcome>
Writer::FinishCommitted(const ApplyRequest& aWrite,
                        const std::string& aChangeId,
                        Revision aRevision)
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
  const std::scoped_lock lock(this->writeMutex);
  Attempt attempt;
  attempt.changeId = aChangeId.empty() ? RandomId() : aChangeId;
  attempt.resolveFirst = !aChangeId.empty();
  Result<WriteOutcome> last = TooManyConflicts();
  const BootTime start = BootClock::Now();
  for (int i = 0; i < kMaxAttempts && BootClock::Now() - start < kMaxRetryDuration; ++i) {
    std::this_thread::sleep_for(i == 0 ? std::chrono::milliseconds(0) : kRetryDelay);
    last = this->TryOnce(aWrite, aDeleteVersions, attempt);
    if (!attempt.retryable) {
      return last;
    }
  }
  return attempt.unresolved ? OutcomeUnknown(attempt.changeId) : last;
}

// Makes one attempt. Sets `retryable` when another attempt may succeed; the returned value is
// then the result to use if no further attempt is made.
Result<WriteOutcome>
Writer::TryOnce(const ApplyRequest& aWrite,
                const std::vector<Revision>& aDeleteVersions,
                Attempt& aAttempt)
{
  aAttempt.retryable = false;
  if (aAttempt.resolveFirst) {
    const Result<Revision> found = this->store.FindChange(aAttempt.changeId);
    if (IsOk(found)) {
      return this->FinishCommitted(aWrite, aAttempt.changeId, ValueOf(found));
    }
    if (ErrorOf(found).kind != ErrorKind::kNotFound) {
      return this->MarkRetryable(aAttempt, "resolve_failed", StoreUnavailable(ErrorOf(found)));
    }
  }
  const Result<StoredHead> head = this->store.ReadHead();
  if (!IsOk(head)) {
    return this->MarkRetryable(aAttempt, "head_unreadable", StoreUnavailable(ErrorOf(head)));
  }
  const Revision revision = ValueOf(head).revision;
  if (!this->CatchUp(revision)) {
    return this->MarkRetryable(aAttempt, "replica_behind", ReplicaBehind(revision));
  }
  const Result<ChangeRecord> change =
    this->Prepare(aWrite, aDeleteVersions, aAttempt.changeId, revision);
  if (!IsOk(change)) {
    return this->RejectOrResolve(aWrite, aAttempt, revision, ErrorOf(change));
  }
  return this->Commit(ValueOf(head), ValueOf(change), aAttempt);
}

// Rejects a write that can't be prepared, unless an earlier attempt has taken effect.
Result<WriteOutcome>
Writer::RejectOrResolve(const ApplyRequest& aWrite,
                        Attempt& aAttempt,
                        Revision aHead,
                        const Error& aRefusal)
{
  if (this->replica.Applied() > aHead) {
    return this->MarkRetryable(aAttempt, "head_moved", TooManyConflicts());
  }
  if (!aAttempt.unresolved) {
    return aRefusal;
  }
  // If the head hadn't moved since the earlier attempt, this attempt would be as valid as
  // that one. So the head has moved, and the earlier attempt is either committed by now or
  // never will be.
  const Result<Revision> found = this->store.FindChange(aAttempt.changeId);
  if (IsOk(found)) {
    return this->FinishCommitted(aWrite, aAttempt.changeId, ValueOf(found));
  }
  if (ErrorOf(found).kind == ErrorKind::kNotFound) {
    return aRefusal;
  }
  return this->MarkRetryable(aAttempt, "resolve_failed", StoreUnavailable(ErrorOf(found)));
}

Result<WriteOutcome>
Writer::Commit(const StoredHead& aHead, const ChangeRecord& aChange, Attempt& aAttempt)
{
  const Result<CommitOutcome> outcome = this->store.Commit(aHead, aChange);
  if (IsOk(outcome) && ValueOf(outcome) == CommitOutcome::kCommitted) {
    this->committed(aChange);
    return OutcomeOf(aChange);
  }
  // An earlier attempt at the same change may have moved the head.
  aAttempt.resolveFirst = true;
  if (IsOk(outcome)) {
    return this->MarkRetryable(aAttempt, "head_moved", TooManyConflicts());
  }
  if (ErrorOf(outcome).kind == ErrorKind::kUnavailable) {
    return this->MarkRetryable(aAttempt, "store_unavailable", StoreUnavailable(ErrorOf(outcome)));
  }
  aAttempt.unresolved = true;
  return this->MarkRetryable(aAttempt, "outcome_unknown", OutcomeUnknown(aAttempt.changeId));
}

Error
Writer::MarkRetryable(Attempt& aAttempt, const char* aReason, Error aOtherwise)
{
  this->metrics.Count(kWriteRetries, "reason", aReason);
  aAttempt.retryable = true;
  return aOtherwise;
}

} // namespace plantainhaven
