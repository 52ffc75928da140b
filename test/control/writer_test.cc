#include "plantainhaven/control/writer.h"

#include "control_fixture.h"
#include "plantainhaven/platform/memory_platform.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>
#include <vector>

using namespace plantainhaven;

namespace {

// The write path of one VM on a shared platform. When the head is ahead of the replica,
// fetches the missing changes immediately, as the control thread does.
struct WritePath
{
  explicit WritePath(MemoryPlatform& aPlatform)
    : store(aPlatform, aPlatform)
    , writer(
        this->store,
        this->replica,
        this->metrics,
        [this](const ChangeRecord& aChange) { this->replica.Apply(aChange); },
        [this](Revision) { this->Follow(); })
  {
  }

  void Follow()
  {
    const Result<std::vector<ChangeRecord>> tail =
      this->store.ReadTail(this->replica.Applied(), 1000);
    if (!IsOk(tail)) {
      return;
    }
    for (const ChangeRecord& change : ValueOf(tail)) {
      this->replica.Apply(change);
    }
  }

  ConfigurationStore store;
  Replica replica;
  Metrics metrics;
  Writer writer;
};

// Loses the response to the first commit and delays its effect until the table is read for
// the `effectAtRead`th time afterwards.
class LateCommit : public TableStore
{
public:
  LateCommit(TableStore& aInner, int aEffectAtRead)
    : inner(aInner)
    , effectAtRead(aEffectAtRead)
  {
  }
  Result<TableCommitAnswer> Commit(const TableTransaction& aTransaction) override
  {
    if (this->held.puts_size() == 0 && !this->done) {
      this->held = aTransaction;
      return Error{ ErrorKind::kUnknown, "the answer was lost", "resolve it" };
    }
    return this->inner.Commit(aTransaction);
  }
  Result<TableRow> Read(const std::string& aKey) override
  {
    if (this->held.puts_size() > 0 && !this->done && ++this->reads == this->effectAtRead) {
      this->done = true;
      this->inner.Commit(this->held);
    }
    return this->inner.Read(aKey);
  }
  Result<TableReadAnswer> ReadPrefix(const std::string& aPrefix,
                                     const std::string& aAfter,
                                     std::size_t aLimit) override
  {
    return this->inner.ReadPrefix(aPrefix, aAfter, aLimit);
  }

private:
  TableStore& inner;
  const int effectAtRead;
  int reads = 0;
  bool done = false;
  TableTransaction held;
};

// Forwards the first commit and fails every later call as unavailable.
class DownAfterCommit : public TableStore
{
public:
  explicit DownAfterCommit(TableStore& aInner)
    : inner(aInner)
  {
  }
  Result<TableCommitAnswer> Commit(const TableTransaction& aTransaction) override
  {
    if (this->down) {
      return Unavailable();
    }
    this->down = true;
    return this->inner.Commit(aTransaction);
  }
  Result<TableRow> Read(const std::string& aKey) override
  {
    return this->down ? Result<TableRow>(Unavailable()) : this->inner.Read(aKey);
  }
  Result<TableReadAnswer> ReadPrefix(const std::string&, const std::string&, std::size_t) override
  {
    return Unavailable();
  }

private:
  static Error Unavailable() { return Error{ ErrorKind::kUnavailable, "down", "wait" }; }

  TableStore& inner;
  bool down = false;
};

} // namespace

TEST_CASE("a write creates one revision and returns its change id")
{
  MemoryPlatform platform;
  WritePath vm(platform);
  const Result<WriteOutcome> outcome = vm.writer.Write(RegionWrite("kochi"), {}, "");
  REQUIRE(IsOk(outcome));
  CHECK(ValueOf(outcome).revision() == 1);
  CHECK_FALSE(ValueOf(outcome).change_id().empty());
  CHECK(ValueOf(outcome).resources(0).version() == 1);
}

TEST_CASE("a write with an invalid reference changes nothing")
{
  MemoryPlatform platform;
  WritePath vm(platform);
  ApplyRequest write = RegionWrite("kochi");
  Resource* link = write.add_resources();
  link->set_name("l");
  link->mutable_link()->set_from_region("kochi");
  link->mutable_link()->set_to_region("nowhere");
  link->mutable_link()->set_megabits_per_second(1);
  const Result<WriteOutcome> outcome = vm.writer.Write(write, {}, "");
  REQUIRE_FALSE(IsOk(outcome));
  CHECK(ErrorOf(outcome).kind == ErrorKind::kInvalid);
  CHECK(ValueOf(vm.store.ReadHead()).revision == 0);
}

TEST_CASE("of two concurrent writes with the same version exactly one succeeds")
{
  MemoryPlatform platform;
  WritePath first(platform);
  WritePath second(platform);
  REQUIRE(IsOk(first.writer.Write(RegionWrite("kochi"), {}, "")));
  ApplyRequest write = RegionWrite("kochi");
  write.mutable_resources(0)->set_version(1);
  std::atomic<int> won{ 0 };
  std::atomic<int> conflicts{ 0 };
  auto race = [&](WritePath& aPath) {
    const Result<WriteOutcome> outcome = aPath.writer.Write(write, {}, "");
    won += IsOk(outcome) ? 1 : 0;
    conflicts += !IsOk(outcome) && ErrorOf(outcome).kind == ErrorKind::kConflict ? 1 : 0;
  };
  std::thread one([&] { race(first); });
  std::thread two([&] { race(second); });
  one.join();
  two.join();
  CHECK(won == 1);
  CHECK(conflicts == 1);
  CHECK(ValueOf(first.store.ReadHead()).revision == 2);
}

TEST_CASE("a lost response is resolved, and a repeated change id has no further effect")
{
  MemoryPlatform platform;
  WritePath vm(platform);
  PlatformFault fault;
  fault.set_lose_commit_answers(1);
  platform.SetFault(fault);
  const Result<WriteOutcome> outcome = vm.writer.Write(RegionWrite("kochi"), {}, "change-1");
  REQUIRE(IsOk(outcome));
  CHECK(ValueOf(outcome).revision() == 1);
  WritePath other(platform);
  const Result<WriteOutcome> again = other.writer.Write(RegionWrite("kochi"), {}, "change-1");
  REQUIRE(IsOk(again));
  CHECK(ValueOf(again).revision() == 1);
  CHECK(ValueOf(vm.store.ReadHead()).revision == 1);
}

TEST_CASE("a delayed commit takes effect once and is never reported as not done")
{
  const int effectAtRead = GENERATE(1, 2, 3, 4, 5);
  CAPTURE(effectAtRead);
  MemoryPlatform platform;
  WritePath other(platform);
  REQUIRE(IsOk(other.writer.Write(RegionWrite("kochi"), {}, "")));
  LateCommit late(platform, effectAtRead);
  ConfigurationStore store(late, platform);
  Replica replica;
  REQUIRE(IsOk(replica.Apply(RegionChange(1, "kochi"))));
  Metrics metrics;
  auto follow = [&] {
    const std::vector<ChangeRecord> tail = ValueOf(store.ReadTail(replica.Applied(), 100));
    for (const ChangeRecord& change : tail) {
      replica.Apply(change);
    }
  };
  Writer writer(
    store,
    replica,
    metrics,
    [&](const ChangeRecord& aChange) { replica.Apply(aChange); },
    [&](Revision) { follow(); });
  // With an explicit version, a second commit of the same write is a conflict.
  ApplyRequest write = RegionWrite("kochi");
  write.mutable_resources(0)->set_version(1);
  const Result<WriteOutcome> outcome = writer.Write(write, {}, "");
  REQUIRE(IsOk(outcome));
  CHECK(ValueOf(outcome).revision() == 2);
  CHECK(ValueOf(store.ReadHead()).revision == 2);
}

TEST_CASE("a write fails as unavailable and has no effect while the store is down")
{
  MemoryPlatform platform;
  WritePath vm(platform);
  PlatformFault fault;
  fault.set_down(true);
  platform.SetFault(fault);
  const Result<WriteOutcome> outcome = vm.writer.Write(RegionWrite("kochi"), {}, "");
  REQUIRE_FALSE(IsOk(outcome));
  CHECK(ErrorOf(outcome).kind == ErrorKind::kUnavailable);
  platform.SetFault(PlatformFault());
  CHECK(ValueOf(vm.store.ReadHead()).revision == 0);
}

TEST_CASE("a commit whose response is lost just before an outage is reported as unknown")
{
  MemoryPlatform platform;
  LateCommit late(platform, 1000);
  DownAfterCommit table(late);
  ConfigurationStore store(table, platform);
  Replica replica;
  Metrics metrics;
  Writer writer(
    store, replica, metrics, [](const ChangeRecord&) {}, [](Revision) {});
  const Result<WriteOutcome> outcome = writer.Write(RegionWrite("kochi"), {}, "mine");
  REQUIRE_FALSE(IsOk(outcome));
  CHECK(ErrorOf(outcome).kind == ErrorKind::kUnknown);
  CHECK(ErrorOf(outcome).remedy.find("mine") != std::string::npos);
}

TEST_CASE("a write whose response was lost isn't reported as not done when the replica lags")
{
  MemoryPlatform platform;
  LateCommit late(platform, 2);
  ConfigurationStore store(late, platform);
  Replica replica;
  Metrics metrics;
  // The replica never catches up, so the second attempt can't validate the write.
  Writer writer(
    store, replica, metrics, [](const ChangeRecord&) {}, [](Revision) {});
  const Result<WriteOutcome> outcome = writer.Write(RegionWrite("kochi"), {}, "");
  REQUIRE(ValueOf(store.ReadHead()).revision == 1);
  const bool toldDone = IsOk(outcome);
  const bool toldUnknown = !toldDone && ErrorOf(outcome).kind == ErrorKind::kUnknown;
  CHECK((toldDone || toldUnknown));
}

TEST_CASE("a repeated change id fails as unavailable while the store is down")
{
  MemoryPlatform platform;
  WritePath vm(platform);
  PlatformFault fault;
  fault.set_down(true);
  platform.SetFault(fault);
  const Result<WriteOutcome> outcome = vm.writer.Write(RegionWrite("kochi"), {}, "earlier");
  REQUIRE_FALSE(IsOk(outcome));
  CHECK(ErrorOf(outcome).kind == ErrorKind::kUnavailable);
  CHECK(ErrorOf(outcome).message.find("earlier calls") != std::string::npos);
}
