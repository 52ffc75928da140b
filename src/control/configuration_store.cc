#include "plantainhaven/control/configuration_store.h"

#include "plantainhaven/common/digest.h"

#include <cstdio>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace plantainhaven {

namespace {

const char* const kHeadKey = "plantainhaven/head";
const char* const kLogPrefix = "plantainhaven/log/";
const char* const kChangePrefix = "plantainhaven/change/";
const char* const kSnapshotKey = "plantainhaven/snapshot";
const char* const kChunkPrefix = "plantainhaven/chunk/";

// Maximum number of rows that one transaction deletes when trimming the log.
constexpr std::size_t kTrimRows = 128;

std::string
LogKey(Revision aRevision)
{
  char digits[32];
  std::snprintf(digits, sizeof(digits), "%020llu", static_cast<unsigned long long>(aRevision));
  return kLogPrefix + std::string(digits);
}

Error
BadRow(const std::string& aKey)
{
  return Error{ ErrorKind::kInternal,
                "the table's row " + aKey + " can't be read as what it should hold",
                "check that no other program writes rows below plantainhaven/" };
}

Revision
ParseRevision(const std::string& aText)
{
  return std::strtoull(aText.c_str(), nullptr, 10);
}

TableRow
MakeRow(const std::string& aKey, std::string aValue)
{
  TableRow row;
  row.set_key(aKey);
  row.set_value(std::move(aValue));
  return row;
}

void
AddCondition(TableTransaction& aTransaction, const std::string& aKey, std::uint64_t aVersion)
{
  TableCondition* condition = aTransaction.add_conditions();
  condition->set_key(aKey);
  condition->set_version(aVersion);
}

// Objects of the previous snapshot, keyed by the digest of their chunk.
std::unordered_map<std::string, std::string>
ObjectsByDigest(const SnapshotManifest& aManifest)
{
  std::unordered_map<std::string, std::string> objects;
  for (int i = 0; i < aManifest.chunk_digests_size(); ++i) {
    objects[aManifest.chunk_digests(i)] = aManifest.chunk_objects(i);
  }
  return objects;
}

void
ListRetired(const SnapshotManifest& aBefore, SnapshotManifest& aNow)
{
  const std::unordered_set<std::string> used(aNow.chunk_objects().begin(),
                                             aNow.chunk_objects().end());
  for (const std::string& object : aBefore.chunk_objects()) {
    if (used.count(object) == 0) {
      aNow.add_retired_objects(object);
    }
  }
}

Result<std::string>
GetChunk(ObjectStore& aObjects, const std::string& aObject, const std::string& aDigest)
{
  Result<std::string> bytes = aObjects.Get(aObject);
  if (!IsOk(bytes)) {
    return bytes;
  }
  if (Sha256Hex(ValueOf(bytes)) != aDigest) {
    return Error{ ErrorKind::kInternal,
                  "the object " + aObject + " doesn't have the digest " + aDigest,
                  "write a new snapshot; the damaged object isn't used" };
  }
  return bytes;
}

} // namespace

ConfigurationStore::ConfigurationStore(TableStore& aTable, ObjectStore& aObjects)
  : table(aTable)
  , objects(aObjects)
{
}

Result<StoredHead>
ConfigurationStore::ReadHead()
{
  const Result<TableRow> row = this->table.Read(kHeadKey);
  if (IsOk(row)) {
    return StoredHead{ ParseRevision(ValueOf(row).value()), ValueOf(row).version() };
  }
  if (ErrorOf(row).kind == ErrorKind::kNotFound) {
    return StoredHead{};
  }
  return ErrorOf(row);
}

Result<std::vector<ChangeRecord>>
ConfigurationStore::ReadTail(Revision aAfter, std::size_t aLimit)
{
  const Result<TableReadAnswer> answer = this->table.ReadPrefix(kLogPrefix, LogKey(aAfter), aLimit);
  if (!IsOk(answer)) {
    return ErrorOf(answer);
  }
  std::vector<ChangeRecord> changes;
  Revision expected = aAfter + 1;
  for (const TableRow& row : ValueOf(answer).rows()) {
    ChangeRecord change;
    if (!change.ParseFromString(row.value())) {
      return BadRow(row.key());
    }
    if (change.revision() != expected) {
      return Error{ ErrorKind::kNotFound,
                    "the change of revision " + std::to_string(expected) + " is no longer kept",
                    "load the newest snapshot" };
    }
    ++expected;
    changes.push_back(std::move(change));
  }
  return changes;
}

Result<CommitOutcome>
ConfigurationStore::Commit(const StoredHead& aHead, const ChangeRecord& aChange)
{
  TableTransaction transaction;
  const std::string changeKey = kChangePrefix + aChange.change_id();
  AddCondition(transaction, kHeadKey, aHead.rowVersion);
  AddCondition(transaction, changeKey, 0);
  const std::string revision = std::to_string(aChange.revision());
  *transaction.add_puts() = MakeRow(kHeadKey, revision);
  *transaction.add_puts() = MakeRow(changeKey, revision);
  *transaction.add_puts() = MakeRow(LogKey(aChange.revision()), aChange.SerializeAsString());
  const Result<TableCommitAnswer> answer = this->table.Commit(transaction);
  if (!IsOk(answer)) {
    return ErrorOf(answer);
  }
  return ValueOf(answer).committed() ? CommitOutcome::kCommitted : CommitOutcome::kHeadMoved;
}

Result<Revision>
ConfigurationStore::FindChange(const std::string& aChangeId)
{
  const Result<TableRow> row = this->table.Read(kChangePrefix + aChangeId);
  if (!IsOk(row)) {
    return ErrorOf(row);
  }
  return ParseRevision(ValueOf(row).value());
}

Result<LoadedSnapshot>
ConfigurationStore::LoadSnapshot()
{
  const Result<TableRow> row = this->table.Read(kSnapshotKey);
  if (!IsOk(row)) {
    if (ErrorOf(row).kind == ErrorKind::kNotFound) {
      return LoadedSnapshot{};
    }
    return ErrorOf(row);
  }
  LoadedSnapshot snapshot;
  snapshot.rowVersion = ValueOf(row).version();
  if (!snapshot.manifest.ParseFromString(ValueOf(row).value())) {
    return BadRow(kSnapshotKey);
  }
  std::vector<std::string> chunks;
  for (int i = 0; i < snapshot.manifest.chunk_digests_size(); ++i) {
    Result<std::string> chunk = GetChunk(
      this->objects, snapshot.manifest.chunk_objects(i), snapshot.manifest.chunk_digests(i));
    if (!IsOk(chunk)) {
      return ErrorOf(chunk);
    }
    chunks.push_back(std::move(ValueOf(chunk)));
  }
  Result<Configuration> built = Configuration::FromChunks(snapshot.manifest.revision(), chunks);
  if (!IsOk(built)) {
    return ErrorOf(built);
  }
  snapshot.configuration = std::move(ValueOf(built));
  return snapshot;
}

Result<Done>
ConfigurationStore::WriteSnapshot(const Configuration& aConfiguration)
{
  SnapshotManifest before;
  std::uint64_t rowVersion = 0;
  const Result<TableRow> row = this->table.Read(kSnapshotKey);
  if (IsOk(row)) {
    rowVersion = ValueOf(row).version();
    if (!before.ParseFromString(ValueOf(row).value())) {
      return BadRow(kSnapshotKey);
    }
  } else if (ErrorOf(row).kind != ErrorKind::kNotFound) {
    return ErrorOf(row);
  }
  if (rowVersion != 0 && before.revision() >= aConfiguration.AppliedRevision()) {
    return Error{ ErrorKind::kConflict,
                  "a snapshot of revision " + std::to_string(before.revision()) + " exists",
                  "nothing needs to be done" };
  }

  SnapshotManifest now;
  now.set_revision(aConfiguration.AppliedRevision());
  const std::unordered_map<std::string, std::string> known = ObjectsByDigest(before);
  for (const std::string& chunk : aConfiguration.ToChunks()) {
    const std::string digest = Sha256Hex(chunk);
    const auto found = known.find(digest);
    std::string object = found != known.end() ? found->second : kChunkPrefix + RandomId();
    if (found == known.end()) {
      Result<Done> stored = this->objects.Put(object, chunk);
      if (!IsOk(stored)) {
        return stored;
      }
    }
    now.add_chunk_digests(digest);
    now.add_chunk_objects(std::move(object));
  }
  ListRetired(before, now);

  TableTransaction transaction;
  AddCondition(transaction, kSnapshotKey, rowVersion);
  *transaction.add_puts() = MakeRow(kSnapshotKey, now.SerializeAsString());
  const Result<TableCommitAnswer> answer = this->table.Commit(transaction);
  if (!IsOk(answer)) {
    return ErrorOf(answer);
  }
  if (!ValueOf(answer).committed()) {
    return Error{ ErrorKind::kConflict,
                  "another VM wrote a snapshot meanwhile",
                  "nothing needs to be done" };
  }
  for (const std::string& object : before.retired_objects()) {
    this->objects.Delete(object);
  }
  if (now.revision() <= kKeptRevisions) {
    return Done{};
  }
  return this->TrimLog(now.revision() - kKeptRevisions);
}

Result<Done>
ConfigurationStore::TrimLog(Revision aUpTo)
{
  while (true) {
    const Result<TableReadAnswer> answer = this->table.ReadPrefix(kLogPrefix, "", kTrimRows);
    if (!IsOk(answer)) {
      return ErrorOf(answer);
    }
    TableTransaction transaction;
    for (const TableRow& row : ValueOf(answer).rows()) {
      ChangeRecord change;
      if (row.key() > LogKey(aUpTo) || !change.ParseFromString(row.value())) {
        break;
      }
      transaction.add_deletes(row.key());
      transaction.add_deletes(kChangePrefix + change.change_id());
    }
    if (transaction.deletes_size() == 0) {
      return Done{};
    }
    const Result<TableCommitAnswer> committed = this->table.Commit(transaction);
    if (!IsOk(committed)) {
      return ErrorOf(committed);
    }
  }
}

} // namespace plantainhaven
