#pragma once

#include "plantainhaven/common/metrics.h"
#include "plantainhaven/common/result.h"
#include "plantainhaven/control/configuration_store.h"
#include "plantainhaven/control/replica.h"

#include <chrono>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

#include "resources.pb.h"

namespace plantainhaven {

// Commits operators' writes as changes. A write is validated against the replica at the head
// revision and committed only if the head is unchanged (optimistic concurrency control), so
// of two concurrent writers only one succeeds. Thread-safe; each call blocks during its
// platform calls.
class Writer
{
public:
  // Calls `aCommitted` for each change that this writer committed or found to be committed,
  // and `aHeadSeen` when the replica is behind the head read from the store.
  Writer(ConfigurationStore& aStore,
         Replica& aReplica,
         Metrics& aMetrics,
         std::function<void(const ChangeRecord&)> aCommitted,
         std::function<void(Revision)> aHeadSeen);

  // Commits a write. Sets `revision` and `resources` of the outcome, but not `accepted`.
  // Returns the same errors as ResourceService::Write.
  Result<WriteOutcome> Write(const ApplyRequest& aWrite,
                             const std::vector<Revision>& aDeleteVersions,
                             const std::string& aChangeId);

  // Maximum number of attempts when concurrent writes keep committing first or the store
  // doesn't report the outcome of a commit.
  static constexpr int kMaxAttempts = 8;
  // Time after the first attempt beyond which no further attempt starts.
  static constexpr std::chrono::seconds kMaxRetryDuration{ 5 };
  // Delay between two attempts.
  static constexpr std::chrono::milliseconds kRetryDelay{ 20 };
  // Maximum time to wait for the replica to reach the head read from the store.
  static constexpr std::chrono::milliseconds kCatchUpTimeout{ 2000 };

private:
  // State of one write across its attempts.
  struct Attempt
  {
    std::string changeId;
    // The change id may already be committed: look it up before committing.
    bool resolveFirst = false;
    // The outcome of a commit in this call is unknown: it may have taken effect or may still
    // do so.
    bool unresolved = false;
    // The write may succeed on another attempt.
    bool retryable = false;
  };

  Result<ChangeRecord> Prepare(const ApplyRequest& aWrite,
                               const std::vector<Revision>& aDeleteVersions,
                               const std::string& aChangeId,
                               Revision aHead) const;
  Result<WriteOutcome> FinishCommitted(const ApplyRequest& aWrite,
                                       const std::string& aChangeId,
                                       Revision aRevision);
  bool CatchUp(Revision aHead);
  Result<WriteOutcome> TryOnce(const ApplyRequest& aWrite,
                               const std::vector<Revision>& aDeleteVersions,
                               Attempt& aAttempt);
  Result<WriteOutcome> RejectOrResolve(const ApplyRequest& aWrite,
                                       Attempt& aAttempt,
                                       Revision aHead,
                                       const Error& aRefusal);
  Result<WriteOutcome> Commit(const StoredHead& aHead,
                              const ChangeRecord& aChange,
                              Attempt& aAttempt);
  Error MarkRetryable(Attempt& aAttempt, const char* aReason, Error aOtherwise);

  ConfigurationStore& store;
  Replica& replica;
  Metrics& metrics;
  std::function<void(const ChangeRecord&)> committed;
  std::function<void(Revision)> headSeen;
  std::mutex writeMutex;
};

} // namespace plantainhaven
