#include "plantainhaven/standin/store_rows.h"
#include "plantainhaven/standin/store_standin.h"

#include "edge/context.h"
#include "edge/net.h"
#include "platform/store_client.h"
#include "support/await_result.h"

#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace plantainhaven::standin {
namespace {

using platform::ConditionalPut;
using platform::RowWrite;
using platform::StoreClient;
using platform::StoreRow;
using platform::TableChanges;
using platform::TableSnapshot;
using platform::WrittenRows;
using std::chrono::milliseconds;

constexpr const char* kTable = "fleet";
constexpr milliseconds kTimeout{ 200 };

// An implementation of the store's published protocol.
class Subject
{
public:
  virtual ~Subject() = default;
  virtual Result<std::uint64_t> Apply(const RowWrite& aWrite) = 0;
  virtual Result<TableSnapshot> Read() = 0;
  virtual Result<TableChanges> Changes(std::uint64_t aAfter) = 0;
  virtual void Remove(const std::string& aKey) = 0;
  virtual void ForgetHistory() = 0;
  virtual void RewindTo(std::uint64_t aVersion) = 0;

  Result<std::uint64_t> Write(const std::vector<ConditionalPut>& aPuts)
  {
    return this->Apply({ aPuts, {}, {} });
  }
};

StoreRow
ToRow(const StoredRow& aRow)
{
  return { aRow.place.key, aRow.value, aRow.version, aRow.isRemoved };
}

// StoreRows without a connection.
class InProcess : public Subject
{
public:
  Result<std::uint64_t> Apply(const RowWrite& aWrite) override
  {
    RowTransaction transaction;
    for (const auto* const part : { &aWrite.puts, &aWrite.removals, &aWrite.conditions }) {
      for (const ConditionalPut& row : *part) {
        transaction.conditions.push_back({ { kTable, "", row.key }, row.expectedVersion });
      }
    }
    for (const ConditionalPut& put : aWrite.puts) {
      transaction.puts.push_back({ { kTable, "", put.key }, put.value, 0, false });
    }
    for (const ConditionalPut& removal : aWrite.removals) {
      transaction.removals.push_back({ kTable, "", removal.key });
    }
    const CommitAnswer answer = this->rows.Commit(transaction);
    if (std::holds_alternative<Conflicted>(answer)) {
      return Error{ .kind = ErrorKind::kConflict, .message = "conflict", .remedy = "" };
    }
    if (std::holds_alternative<Malformed>(answer)) {
      return Error{ .kind = ErrorKind::kInvalid, .message = "malformed", .remedy = "" };
    }
    return std::get<Committed>(answer).version;
  }
  Result<TableSnapshot> Read() override
  {
    TableSnapshot read;
    read.version = this->rows.Version();
    read.era = this->rows.Era();
    std::string from;
    RowPage page;
    do {
      page = this->rows.Read(kTable, "", from, "", 0);
      for (const StoredRow& row : page.rows) {
        read.rows.push_back(ToRow(row));
        from = row.place.key + '\0';
      }
    } while (page.hasMore);
    return read;
  }
  Result<TableChanges> Changes(std::uint64_t aAfter) override
  {
    TableChanges changes;
    const auto found = this->rows.ChangesAfter(kTable, aAfter);
    changes.isHistoryDiscarded = !found;
    changes.version = found ? this->rows.Version() : 0;
    changes.era = this->rows.Era();
    for (const StoredRow& row : found.value_or(std::vector<StoredRow>())) {
      changes.rows.push_back(ToRow(row));
    }
    return changes;
  }
  void Remove(const std::string& aKey) override
  {
    this->rows.Commit({ {}, {}, { { kTable, "", aKey } } });
  }
  void ForgetHistory() override { this->rows.ForgetHistory(); }
  void RewindTo(std::uint64_t aVersion) override { this->rows.RewindTo(aVersion); }

private:
  StoreRows rows;
};

// The client of plantain-edged, connected to StoreStandin.
class OverHttp : public Subject
{
public:
  OverHttp()
    : store(this->context, "127.0.0.1", 0)
    , client(this->context, this->store.Address(), kTimeout, [this] { ++this->calls; })
  {
  }
  ~OverHttp() override { this->context.Shutdown(); }

  Result<std::uint64_t> Apply(const RowWrite& aWrite) override
  {
    const auto written =
      AwaitResult<WrittenRows>(this->context, this->client.Write(kTable, aWrite));
    if (!IsOk(written)) {
      return ErrorOf(written);
    }
    CHECK(ValueOf(written).era == this->store.Rows().Era());
    return ValueOf(written).version;
  }
  Result<TableSnapshot> Read() override
  {
    return AwaitResult<TableSnapshot>(this->context, this->client.ReadTable(kTable));
  }
  Result<TableChanges> Changes(std::uint64_t aAfter) override
  {
    return AwaitResult<TableChanges>(this->context,
                                     this->client.ReadChanges(kTable, aAfter, milliseconds(20)));
  }
  void Remove(const std::string& aKey) override { this->store.Remove(kTable, aKey); }
  void ForgetHistory() override { this->store.ForgetHistory(); }
  void RewindTo(std::uint64_t aVersion) override { this->store.RewindTo(aVersion); }

  StoreStandin& Store() { return this->store; }
  int Calls() const { return this->calls; }
  // Runs the store without a call.
  void RunFor(milliseconds aTime)
  {
    this->context.restart();
    this->context.run_for(aTime);
  }

private:
  edge::Context context;
  int calls = 0;
  StoreStandin store;
  StoreClient client;
};

std::vector<std::unique_ptr<Subject>>
Subjects()
{
  std::vector<std::unique_ptr<Subject>> subjects;
  subjects.push_back(std::make_unique<InProcess>());
  subjects.push_back(std::make_unique<OverHttp>());
  return subjects;
}

TEST_CASE("A write is applied only if all its conditions hold")
{
  for (const auto& subject : Subjects()) {
    const auto first = subject->Write({ { "a", "1", 0 }, { "b", "2", 0 } });
    REQUIRE(IsOk(first));
    const std::uint64_t version = ValueOf(first);
    struct Case
    {
      std::string name;
      std::vector<ConditionalPut> puts;
      bool isDone;
    };
    const Case cases[] = {
      { "row exists already", { { "a", "x", 0 } }, false },
      { "another version", { { "a", "x", version + 7 } }, false },
      { "one of two conditions fails", { { "a", "x", version }, { "b", "x", 0 } }, false },
      { "all conditions hold", { { "a", "x", version }, { "b", "y", version } }, true },
      { "the version of before", { { "a", "z", version } }, false },
    };
    for (const Case& entry : cases) {
      CAPTURE(entry.name);
      const auto written = subject->Write(entry.puts);
      CHECK(IsOk(written) == entry.isDone);
      if (!IsOk(written)) {
        CHECK(ErrorOf(written).kind == ErrorKind::kConflict);
      }
    }
    const auto read = subject->Read();
    REQUIRE(IsOk(read));
    REQUIRE(ValueOf(read).rows.size() == 2);
    CHECK(ValueOf(read).rows[0].value == "x");
    CHECK(ValueOf(read).rows[1].value == "y");
  }
}

TEST_CASE("A write removes rows and depends on rows that it leaves as they are")
{
  for (const auto& subject : Subjects()) {
    const std::uint64_t version =
      ValueOf(subject->Write({ { "a", "1", 0 }, { "b", "2", 0 }, { "c", "3", 0 } }));
    struct Case
    {
      std::string name;
      RowWrite write;
      bool isDone;
    };
    const Case cases[] = {
      { "condition fails",
        { { { "a", "x", version } }, { { "b", "", version } }, { { "c", "", 1000 } } },
        false },
      { "removal fails", { { { "a", "x", version } }, { { "b", "", 1000 } }, {} }, false },
      { "row that must not exist does",
        { { { "a", "x", version } }, {}, { { "c", "", 0 } } },
        false },
      { "all hold",
        { { { "a", "x", version } }, { { "b", "", version } }, { { "c", "", version } } },
        true },
    };
    for (const Case& entry : cases) {
      CAPTURE(entry.name);
      CHECK(IsOk(subject->Apply(entry.write)) == entry.isDone);
      const auto read = subject->Read();
      REQUIRE(ValueOf(read).rows.size() == (entry.isDone ? 2U : 3U));
      CHECK(ValueOf(read).rows.front().value == (entry.isDone ? "x" : "1"));
      CHECK(ValueOf(read).rows.back().value == "3");
      CHECK(ValueOf(read).rows.back().version == version);
    }
  }
}

TEST_CASE("A store restored from an older backup reuses versions in a new era")
{
  for (const auto& subject : Subjects()) {
    const std::uint64_t first = ValueOf(subject->Write({ { "a", "1", 0 } }));
    const std::uint64_t era = ValueOf(subject->Read()).era;
    const std::uint64_t lost = ValueOf(subject->Write({ { "a", "2", first }, { "b", "2", 0 } }));
    subject->RewindTo(first);
    const auto ahead = subject->Changes(lost);
    CHECK(ValueOf(ahead).isHistoryDiscarded);
    CHECK(ValueOf(ahead).era == era + 1);
    const auto read = subject->Read();
    CHECK(ValueOf(read).era == era + 1);
    REQUIRE(ValueOf(read).rows.size() == 1);
    CHECK(ValueOf(read).rows.front().value == "1");
    CHECK(ValueOf(subject->Write({ { "a", "3", first } })) == lost);
    // Only the era shows that the rows up to this version were written again.
    const auto changes = subject->Changes(lost);
    CHECK_FALSE(ValueOf(changes).isHistoryDiscarded);
    CHECK(ValueOf(changes).rows.empty());
    CHECK(ValueOf(changes).era == era + 1);
  }
}

TEST_CASE("Values keep every byte")
{
  std::string bytes;
  for (int i = 0; i < 256; ++i) {
    bytes += static_cast<char>(i);
  }
  for (const auto& subject : Subjects()) {
    for (const std::string& value : { std::string(), std::string("a"), bytes, bytes + "x" }) {
      const auto before = subject->Read();
      const std::uint64_t version =
        ValueOf(before).rows.empty() ? 0 : ValueOf(before).rows.front().version;
      REQUIRE(IsOk(subject->Write({ { "key %/+ ", value, version } })));
      const auto read = subject->Read();
      REQUIRE(ValueOf(read).rows.size() == 1);
      CHECK(ValueOf(read).rows.front().value == value);
      CHECK(ValueOf(read).rows.front().key == "key %/+ ");
    }
  }
}

TEST_CASE("A table of many pages is read whole and in order")
{
  for (const auto& subject : Subjects()) {
    for (int write = 0; write < 24; ++write) {
      std::vector<ConditionalPut> puts;
      for (int i = 0; i < 50; ++i) {
        puts.push_back({ "row-" + std::to_string(100000 + write * 50 + i), "v", 0 });
      }
      REQUIRE(IsOk(subject->Write(puts)));
    }
    const auto read = subject->Read();
    REQUIRE(IsOk(read));
    const auto& rows = ValueOf(read).rows;
    REQUIRE(rows.size() == 1200);
    CHECK(std::is_sorted(rows.begin(), rows.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.key < aRight.key;
    }));
  }
}

TEST_CASE("Changes follow a version, each row as it is now")
{
  for (const auto& subject : Subjects()) {
    const std::uint64_t start = ValueOf(subject->Write({ { "a", "1", 0 }, { "b", "1", 0 } }));
    const std::uint64_t next = ValueOf(subject->Write({ { "a", "2", start } }));
    subject->Write({ { "a", "3", next } });
    subject->Remove("b");
    const auto changes = subject->Changes(start);
    REQUIRE(IsOk(changes));
    CHECK_FALSE(ValueOf(changes).isHistoryDiscarded);
    REQUIRE(ValueOf(changes).rows.size() == 2);
    CHECK(ValueOf(changes).rows[0].key == "a");
    CHECK(ValueOf(changes).rows[0].value == "3");
    CHECK(ValueOf(changes).rows[1].key == "b");
    CHECK(ValueOf(changes).rows[1].isRemoved);
    const auto none = subject->Changes(ValueOf(changes).version);
    CHECK(ValueOf(none).rows.empty());
    CHECK(ValueOf(none).version == ValueOf(changes).version);
  }
}

TEST_CASE("Changes of a discarded history are reported as discarded")
{
  for (const auto& subject : Subjects()) {
    const std::uint64_t start = ValueOf(subject->Write({ { "a", "1", 0 } }));
    const std::uint64_t newest = ValueOf(subject->Write({ { "a", "2", start } }));
    subject->ForgetHistory();
    CHECK(ValueOf(subject->Changes(start)).isHistoryDiscarded);
    CHECK_FALSE(ValueOf(subject->Changes(newest)).isHistoryDiscarded);
  }
}

TEST_CASE("A write that is too large does nothing")
{
  for (const auto& subject : Subjects()) {
    std::vector<ConditionalPut> puts;
    for (int i = 0; i < 51; ++i) {
      puts.push_back({ "row-" + std::to_string(i), "v", 0 });
    }
    const auto written = subject->Write(puts);
    REQUIRE_FALSE(IsOk(written));
    CHECK(ErrorOf(written).kind == ErrorKind::kInvalid);
    CHECK(ValueOf(subject->Read()).rows.empty());
  }
}

// Checks the error that each store fault causes, and whether the write is applied in the end.
TEST_CASE("The error of a failed write states whether the write may have been applied")
{
  struct Case
  {
    std::string name;
    StoreFaults faults;
    ErrorKind expected;
    bool isDoneInTheEnd;
  };
  const auto away = [](StoreOutage aAway) {
    StoreFaults faults;
    faults.outage = aAway;
    return faults;
  };
  StoreFaults lost;
  lost.loseEvery = 1;
  StoreFaults late;
  late.lateEvery = 1;
  late.lateBy = milliseconds(100);
  StoreFaults slow;
  slow.delay = kTimeout + milliseconds(100);
  StoreFaults others = away(StoreOutage::kUnavailable);
  others.callers = { "127.0.0.1" };
  const Case cases[] = {
    { "503", away(StoreOutage::kUnavailable), ErrorKind::kUnavailable, false },
    { "429", away(StoreOutage::kTooMany), ErrorKind::kUnavailable, false },
    { "this machine is turned away", others, ErrorKind::kUnavailable, false },
    { "reset", away(StoreOutage::kReset), ErrorKind::kUnknown, false },
    { "silent", away(StoreOutage::kSilent), ErrorKind::kUnknown, false },
    { "answer lost", lost, ErrorKind::kUnknown, true },
    { "done later", late, ErrorKind::kUnknown, true },
    { "slower than the time-out", slow, ErrorKind::kUnknown, true },
  };
  for (const Case& entry : cases) {
    CAPTURE(entry.name);
    OverHttp subject;
    subject.Store().SetFaults(entry.faults);
    const auto written = subject.Write({ { "a", "1", 0 } });
    REQUIRE_FALSE(IsOk(written));
    CHECK(ErrorOf(written).kind == entry.expected);
    CHECK_FALSE(ErrorOf(written).remedy.empty());
    subject.RunFor(milliseconds(250));
    subject.Store().SetFaults({});
    const auto read = subject.Read();
    REQUIRE(IsOk(read));
    CHECK(ValueOf(read).rows.size() == (entry.isDoneInTheEnd ? 1 : 0));
    CHECK(subject.Calls() == 2);
  }
}

TEST_CASE("Reads succeed again once the store has recovered")
{
  for (const StoreOutage away : { StoreOutage::kUnavailable,
                                  StoreOutage::kTooMany,
                                  StoreOutage::kReset,
                                  StoreOutage::kSilent }) {
    CAPTURE(static_cast<int>(away));
    OverHttp subject;
    subject.Write({ { "a", "1", 0 } });
    StoreFaults faults;
    faults.outage = away;
    subject.Store().SetFaults(faults);
    CHECK_FALSE(IsOk(subject.Read()));
    CHECK_FALSE(IsOk(subject.Changes(0)));
    subject.Store().SetFaults({});
    CHECK(ValueOf(subject.Read()).rows.size() == 1);
    CHECK(ValueOf(subject.Changes(0)).rows.size() == 1);
  }
}

// Five times the timeout of a call, at the rate of the link.
TEST_CASE("A read of a large row isn't given up while its answer arrives")
{
  OverHttp subject;
  StoreFaults narrow;
  narrow.bytesPerSecond = 1 << 20;
  const std::string value(3 * narrow.bytesPerSecond / 4, 'r');
  subject.Store().Put(kTable, "large", value);
  subject.Store().SetFaults(narrow);
  const auto read = subject.Read();
  REQUIRE(IsOk(read));
  CHECK(ValueOf(read).rows.front().value == value);
  const auto changes = subject.Changes(0);
  REQUIRE(IsOk(changes));
  CHECK(ValueOf(changes).rows.front().value == value);
  CHECK(subject.Calls() == 2);
}

TEST_CASE("A read whose answer stops midway ends after the timeout")
{
  OverHttp subject;
  subject.Store().Put(kTable, "large", std::string(100000, 'r'));
  StoreFaults stuck;
  stuck.stopsAfterBytes = 50000;
  subject.Store().SetFaults(stuck);
  const auto read = subject.Read();
  REQUIRE_FALSE(IsOk(read));
  CHECK(ErrorOf(read).kind == ErrorKind::kUnknown);
  subject.Store().SetFaults({});
  CHECK(IsOk(subject.Read()));
}

} // namespace
} // namespace plantainhaven::standin
