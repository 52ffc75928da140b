#pragma once

#include "plantainhaven/common/result.h"
#include "plantainhaven/platform/platform.h"
#include "plantainhaven/policy/config/configuration.h"

#include <cstdint>
#include <string>
#include <vector>

#include "resources.pb.h"

namespace plantainhaven {

// The head of the configuration as the table holds it.
struct StoredHead
{
  Revision revision = 0;
  // Version of the head's row, the condition of the next commit.
  std::uint64_t rowVersion = 0;
};

// What became of an attempt to commit a change.
enum class CommitOutcome
{
  kCommitted,
  kHeadMoved, // Another change took the revision; read the tail and try again.
};

// A snapshot as it was loaded: the configuration and the manifest's row version.
struct LoadedSnapshot
{
  Configuration configuration;
  SnapshotManifest manifest;
  std::uint64_t rowVersion = 0;
};

// The layout of the configuration on the platform: a head row, one log row for each
// revision, one row for each change id, the manifest of the newest snapshot, and the
// snapshot's chunks as objects. Holds no state of its own and may be used from several
// threads. Errors of the platform are passed on unchanged.
class ConfigurationStore
{
public:
  ConfigurationStore(TableStore& aTable, ObjectStore& aObjects);

  // The head; revision 0 when nothing was ever written.
  Result<StoredHead> ReadHead();
  // Changes after a revision, at most `aLimit`, in order and without gaps. kNotFound
  // when the first of them is no longer kept.
  Result<std::vector<ChangeRecord>> ReadTail(Revision aAfter, std::size_t aLimit);
  // Commits a change as revision aHead.revision + 1. A repeated call with the same
  // change id never commits twice. kUnknown: resolve with FindChange().
  Result<CommitOutcome> Commit(const StoredHead& aHead, const ChangeRecord& aChange);
  // Revision that a change id was committed as; kNotFound when it wasn't (yet).
  Result<Revision> FindChange(const std::string& aChangeId);

  // Loads the newest snapshot; an empty configuration when there is none.
  Result<LoadedSnapshot> LoadSnapshot();
  // Writes a snapshot, uploading only the chunks that the one before doesn't have,
  // deletes what that one had retired, and trims log rows older than kKeptRevisions.
  // kConflict when another VM wrote one meanwhile. The revision must be accepted.
  Result<Done> WriteSnapshot(const Configuration& aConfiguration);

  // Log rows kept behind the newest snapshot.
  static constexpr Revision kKeptRevisions = 512;

private:
  Result<Done> TrimLog(Revision aUpTo);

  TableStore& table;
  ObjectStore& objects;
};

} // namespace plantainhaven
