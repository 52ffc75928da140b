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

// Turns operators' writes into committed changes. A write is validated against the
// replica at the head revision and committed only if the head is still there, so two
// writers that race can't both win. Safe for several threads; each call blocks while it
// talks to the platform.
class Writer
{
public:
  // `aCommitted` is called with each change that this writer committed or found
  // committed, and `aHeadSeen` when the replica is behind a head that was read.
  Writer(ConfigurationStore& aStore,
         Replica& aReplica,
         Metrics& aMetrics,
         std::function<void(const ChangeRecord&)> aCommitted,
         std::function<void(Revision)> aHeadSeen);

  // Commits a write; the answer's `revision` and `resources` are set, `accepted` isn't.
  // Errors as for ResourceService::Write.
  Result<WriteOutcome> Write(const ApplyRequest& aWrite,
                             const std::vector<Revision>& aDeleteVersions,
                             const std::string& aChangeId);

  // Attempts before a write gives up because others keep winning, or because the store
  // doesn't tell what became of it.
  static constexpr int kMaxAttempts = 8;
  // No attempt begins later than this after the first.
  static constexpr std::chrono::seconds kLongestWrite{ 5 };
  // Pause between two attempts.
  static constexpr std::chrono::milliseconds kRetryPause{ 20 };
  // Longest wait for the replica to reach a head that was read.
  static constexpr std::chrono::milliseconds kCatchUpWait{ 2000 };

private:
  // Where one write stands.
  struct Attempt
  {
    std::string changeId;
    // The change id may be in use: look before committing.
    bool resolveFirst = false;
    // A commit of this call may have taken effect or may still do so.
    bool unresolved = false;
    // Another attempt may succeed.
    bool again = false;
  };

  Result<ChangeRecord> Prepare(const ApplyRequest& aWrite,
                               const std::vector<Revision>& aDeleteVersions,
                               const std::string& aChangeId,
                               Revision aHead) const;
  Result<WriteOutcome> FinishKnown(const ApplyRequest& aWrite,
                                   const std::string& aChangeId,
                                   Revision aRevision);
  bool CatchUp(Revision aHead);
  Result<WriteOutcome> TryOnce(const ApplyRequest& aWrite,
                               const std::vector<Revision>& aDeleteVersions,
                               Attempt& aAttempt);
  Result<WriteOutcome> RefuseOrResolve(const ApplyRequest& aWrite,
                                       Attempt& aAttempt,
                                       Revision aHead,
                                       const Error& aRefusal);
  Result<WriteOutcome> Commit(const StoredHead& aHead,
                              const ChangeRecord& aChange,
                              Attempt& aAttempt);
  Error Again(Attempt& aAttempt, const char* aReason, Error aOtherwise);

  ConfigurationStore& store;
  Replica& replica;
  Metrics& metrics;
  std::function<void(const ChangeRecord&)> committed;
  std::function<void(Revision)> headSeen;
  std::mutex oneAtATime;
};

} // namespace plantainhaven
