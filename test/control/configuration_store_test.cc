#include "plantainhaven/control/configuration_store.h"

#include "control_fixture.h"
#include "plantainhaven/platform/memory_platform.h"

#include <catch2/catch.hpp>

using namespace plantainhaven;

namespace {

// Commits changes in sequence, each adding one region.
void
CommitRegions(ConfigurationStore& aStore, Configuration& aConfiguration, Revision aUpTo)
{
  while (aConfiguration.AppliedRevision() < aUpTo) {
    const Revision next = aConfiguration.AppliedRevision() + 1;
    const ChangeRecord change = RegionChange(next, "r" + std::to_string(next));
    const Result<StoredHead> head = aStore.ReadHead();
    REQUIRE(IsOk(head));
    const Result<CommitOutcome> outcome = aStore.Commit(ValueOf(head), change);
    REQUIRE(IsOk(outcome));
    REQUIRE(ValueOf(outcome) == CommitOutcome::kCommitted);
    REQUIRE(IsOk(aConfiguration.Apply(change)));
  }
}

// Returns the number of stored objects.
class CountingObjects : public ObjectStore
{
public:
  explicit CountingObjects(ObjectStore& aInner)
    : inner(aInner)
  {
  }
  Result<Done> Put(const std::string& aName, const std::string& aBytes) override
  {
    ++this->puts;
    return this->inner.Put(aName, aBytes);
  }
  Result<std::string> Get(const std::string& aName) override { return this->inner.Get(aName); }
  Result<Done> Delete(const std::string& aName) override
  {
    ++this->deletes;
    return this->inner.Delete(aName);
  }
  int puts = 0;
  int deletes = 0;

private:
  ObjectStore& inner;
};

} // namespace

TEST_CASE("an empty store has head 0 and an empty snapshot")
{
  MemoryPlatform platform;
  ConfigurationStore store(platform, platform);
  REQUIRE(ValueOf(store.ReadHead()).revision == 0);
  REQUIRE(ValueOf(store.ReadTail(0, 10)).empty());
  REQUIRE(ValueOf(store.LoadSnapshot()).configuration.AppliedRevision() == 0);
}

TEST_CASE("of two commits on the same head only the first succeeds")
{
  MemoryPlatform platform;
  ConfigurationStore store(platform, platform);
  const StoredHead head = ValueOf(store.ReadHead());
  ChangeRecord first = RegionChange(1, "first");
  ChangeRecord second = RegionChange(1, "second");
  CHECK(ValueOf(store.Commit(head, first)) == CommitOutcome::kCommitted);
  CHECK(ValueOf(store.Commit(head, second)) == CommitOutcome::kHeadMoved);
  CHECK(ValueOf(store.ReadHead()).revision == 1);
  const std::vector<ChangeRecord> tail = ValueOf(store.ReadTail(0, 10));
  REQUIRE(tail.size() == 1);
  CHECK(tail.front().change_id() == first.change_id());
}

TEST_CASE("a change id is committed once even on a newer head")
{
  MemoryPlatform platform;
  ConfigurationStore store(platform, platform);
  ChangeRecord change = RegionChange(1, "once");
  CHECK(ValueOf(store.Commit(ValueOf(store.ReadHead()), change)) == CommitOutcome::kCommitted);
  change.set_revision(2);
  CHECK(ValueOf(store.Commit(ValueOf(store.ReadHead()), change)) == CommitOutcome::kHeadMoved);
  CHECK(ValueOf(store.FindChange(change.change_id())) == 1);
}

TEST_CASE("a commit whose response was lost is found by its change id")
{
  MemoryPlatform platform;
  ConfigurationStore store(platform, platform);
  PlatformFault fault;
  fault.set_lose_commit_answers(1);
  platform.SetFault(fault);
  const ChangeRecord change = RegionChange(1, "lost");
  const Result<CommitOutcome> outcome = store.Commit(ValueOf(store.ReadHead()), change);
  REQUIRE_FALSE(IsOk(outcome));
  CHECK(ErrorOf(outcome).kind == ErrorKind::kUnknown);
  CHECK(ValueOf(store.FindChange(change.change_id())) == 1);
}

TEST_CASE("snapshot and tail restore the whole configuration")
{
  const Revision snapshotAt = GENERATE(0, 1, 7, 40);
  const Revision head = GENERATE(40, 41, 60);
  CAPTURE(snapshotAt, head);
  MemoryPlatform platform;
  ConfigurationStore store(platform, platform);
  Configuration configuration;
  CommitRegions(store, configuration, snapshotAt);
  if (snapshotAt > 0) {
    REQUIRE(IsOk(store.WriteSnapshot(configuration)));
  }
  CommitRegions(store, configuration, head);
  Configuration loaded = ValueOf(store.LoadSnapshot()).configuration;
  REQUIRE(loaded.AppliedRevision() == snapshotAt);
  const std::vector<ChangeRecord> tail = ValueOf(store.ReadTail(snapshotAt, 1000));
  for (const ChangeRecord& change : tail) {
    REQUIRE(IsOk(loaded.Apply(change)));
  }
  CHECK(loaded.ToChunks() == configuration.ToChunks());
}

TEST_CASE("a snapshot after one change uploads one chunk, and its revision never decreases")
{
  MemoryPlatform platform;
  CountingObjects objects(platform);
  ConfigurationStore store(platform, objects);
  Configuration configuration;
  CommitRegions(store, configuration, 50);
  const Configuration older = configuration;
  REQUIRE(IsOk(store.WriteSnapshot(configuration)));
  objects.puts = 0;
  CommitRegions(store, configuration, 51);
  REQUIRE(IsOk(store.WriteSnapshot(configuration)));
  CHECK(objects.puts == 1);

  const Result<Done> back = store.WriteSnapshot(older);
  REQUIRE_FALSE(IsOk(back));
  CHECK(ErrorOf(back).kind == ErrorKind::kConflict);
  CHECK(ValueOf(store.LoadSnapshot()).configuration.AppliedRevision() == 51);
}

TEST_CASE("retired objects are deleted one snapshot later, and objects in use are kept")
{
  MemoryPlatform platform;
  CountingObjects objects(platform);
  ConfigurationStore store(platform, objects);
  Configuration configuration;
  for (Revision revision = 10; revision <= 100; revision += 10) {
    CommitRegions(store, configuration, revision);
    REQUIRE(IsOk(store.WriteSnapshot(configuration)));
    const Result<LoadedSnapshot> loaded = store.LoadSnapshot();
    REQUIRE(IsOk(loaded));
    CHECK(ValueOf(loaded).configuration.ToChunks() == configuration.ToChunks());
  }
  CHECK(objects.deletes > 0);
}

TEST_CASE("the log is trimmed behind the snapshot, and reading trimmed changes fails")
{
  MemoryPlatform platform;
  ConfigurationStore store(platform, platform);
  Configuration configuration;
  const Revision head = ConfigurationStore::kKeptRevisions + 300;
  CommitRegions(store, configuration, head);
  REQUIRE(IsOk(store.WriteSnapshot(configuration)));
  const Result<std::vector<ChangeRecord>> old = store.ReadTail(0, 10);
  REQUIRE_FALSE(IsOk(old));
  CHECK(ErrorOf(old).kind == ErrorKind::kNotFound);
  const Result<std::vector<ChangeRecord>> kept =
    store.ReadTail(head - ConfigurationStore::kKeptRevisions, 1000);
  REQUIRE(IsOk(kept));
  CHECK(ValueOf(kept).size() == ConfigurationStore::kKeptRevisions);
}

TEST_CASE("a corrupt chunk is rejected")
{
  MemoryPlatform platform;
  ConfigurationStore store(platform, platform);
  Configuration configuration;
  CommitRegions(store, configuration, 5);
  REQUIRE(IsOk(store.WriteSnapshot(configuration)));
  const SnapshotManifest manifest = ValueOf(store.LoadSnapshot()).manifest;
  REQUIRE(IsOk(platform.Put(manifest.chunk_objects(0), "damaged")));
  const Result<LoadedSnapshot> loaded = store.LoadSnapshot();
  REQUIRE_FALSE(IsOk(loaded));
  CHECK(ErrorOf(loaded).kind == ErrorKind::kInternal);
}
