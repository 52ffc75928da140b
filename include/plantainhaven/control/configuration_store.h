#pragma once

#include "plantainhaven/common/result.h"
#include "plantainhaven/platform/platform.h"
#include "plantainhaven/policy/config/configuration.h"

#include <cstdint>
#include <string>
#include <vector>

#include "resources.pb.h"

namespace plantainhaven {

// The head row of the configuration in the table.
struct StoredHead
{
  Revision revision = 0;
  // Version of the head row; the next commit is conditional on it.
  std::uint64_t rowVersion = 0;
};

// Result of an attempt to commit a change.
enum class CommitOutcome
{
  kCommitted,
  kHeadMoved, // Another change was committed at this revision; read the tail and retry.
};

// A loaded snapshot with its manifest and the version of the manifest row.
struct LoadedSnapshot
{
  Configuration configuration;
  SnapshotManifest manifest;
  std::uint64_t rowVersion = 0;
};

// Stores the configuration on the platform: a head row, one log row for each
// revision, one row for each change id, the manifest of the newest snapshot, and the
// snapshot's chunks as objects. Stateless and thread-safe. Platform errors are returned
// unchanged.
class ConfigurationStore
{
public:
  ConfigurationStore(TableStore& aTable, ObjectStore& aObjects);

  // Returns the head; its revision is 0 when nothing has been written yet.
  Result<StoredHead> ReadHead();
  // Returns at most `aLimit` changes after a revision, in order and without gaps. Returns
  // kNotFound when the first of them has been trimmed from the log.
  Result<std::vector<ChangeRecord>> ReadTail(Revision aAfter, std::size_t aLimit);
  // Commits a change as revision aHead.revision + 1. Idempotent: a change id is never
  // committed twice. On kUnknown, call FindChange() to learn the outcome.
  Result<CommitOutcome> Commit(const StoredHead& aHead, const ChangeRecord& aChange);
  // Returns the revision at which a change id was committed; kNotFound when it isn't
  // committed (yet).
  Result<Revision> FindChange(const std::string& aChangeId);

  // Loads the newest snapshot; the configuration is empty when there is none.
  Result<LoadedSnapshot> LoadSnapshot();
  // Writes a snapshot. Uploads only the chunks that the previous snapshot doesn't contain,
  // deletes the objects that the previous snapshot had retired, and trims log rows older
  // than kKeptRevisions. Returns kConflict when another VM wrote a snapshot concurrently.
  // The revision of the configuration must be accepted.
  Result<Done> WriteSnapshot(const Configuration& aConfiguration);

  // Number of log rows retained before the newest snapshot.
  static constexpr Revision kKeptRevisions = 512;

private:
  Result<Done> TrimLog(Revision aUpTo);

  TableStore& table;
  ObjectStore& objects;
};

} // namespace plantainhaven
