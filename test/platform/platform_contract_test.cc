#include "platform/platform_subject.h"

#include <algorithm>
#include <atomic>
#include <thread>

namespace plantainhaven {

namespace {

constexpr std::uint64_t kMissing = 0;
constexpr std::size_t kLargeObject = 5'000'000;

SubjectKind
AnySubject()
{
  return GENERATE(SubjectKind::kMemory, SubjectKind::kHttp);
}

std::vector<std::string>
KeysOf(const Result<TableReadAnswer>& aAnswer)
{
  REQUIRE(IsOk(aAnswer));
  std::vector<std::string> keys;
  for (const TableRow& row : ValueOf(aAnswer).rows()) {
    keys.push_back(row.key());
  }
  return keys;
}

std::string
BinaryBytes(std::size_t aSize)
{
  std::string bytes(aSize, '\0');
  for (std::size_t i = 0; i < aSize; ++i) {
    bytes[i] = static_cast<char>(i * 131 + i / 251);
  }
  return bytes;
}

// The keys that a newcomer forgets to encode.
const std::string kOddKeys[] = {
  "plain",
  "with space",
  "a/b//c",
  "../up",
  "50%25",
  "plus+and&equals=?#;",
  "quote\"and\\back",
  "new\nline\tand\x01",
  std::string("nul\0inside", 10),
  "r\xC3\xA9gion/\xE0\xB4\x95\xE0\xB5\x8A",
  "\xF0\x9F\x8D\x9C",
  std::string(1024, 'k'),
};

const std::string kBadKeys[] = {
  "",
  std::string(1025, 'k'),
  "\xFF",
  "overlong \xC0\xAF",
  "surrogate \xED\xA0\x80",
  "cut short \xE0\xB4",
};

} // namespace

TEST_CASE("A transaction commits when all its conditions hold", "[platform]")
{
  PlatformSubject subject(AnySubject());
  TableStore& table = subject.Table();
  const std::uint64_t version = MustPut(table, "a", "old a");
  MustPut(table, "b", "old b");

  // Each case writes c, and changes a and b too.
  struct Case
  {
    const char* name;
    TransactionBuilder conditions;
    bool committed;
    std::vector<std::string> conflicts;
  };
  const Case cases[] = {
    { "none", TransactionBuilder(), true, {} },
    { "version", TransactionBuilder().If("a", version), true, {} },
    { "missing", TransactionBuilder().If("x", kMissing), true, {} },
    { "both", TransactionBuilder().If("a", version).If("x", kMissing), true, {} },
    { "old version", TransactionBuilder().If("a", version - 1), false, { "a" } },
    { "later version", TransactionBuilder().If("a", version + 9), false, { "a" } },
    { "exists", TransactionBuilder().If("a", kMissing), false, { "a" } },
    { "gone", TransactionBuilder().If("x", 1), false, { "x" } },
    { "one of two", TransactionBuilder().If("a", version).If("x", 7), false, { "x" } },
    { "two", TransactionBuilder().If("a", kMissing).If("x", 7), false, { "a", "x" } },
  };
  const auto& item = cases[GENERATE(range(0, 10))];
  CAPTURE(item.name);
  TransactionBuilder transaction = item.conditions;
  transaction.Put("a", "new a").Delete("b").Put("c", "new c");

  const auto result = table.Commit(transaction);

  REQUIRE(IsOk(result));
  CHECK(ValueOf(result).committed() == item.committed);
  std::vector<std::string> conflicts;
  for (const TableRow& row : ValueOf(result).conflicts()) {
    conflicts.push_back(row.key());
    CHECK(row.value() == (row.key() == "a" ? "old a" : ""));
    CHECK(row.version() == (row.key() == "a" ? version : kMissing));
  }
  CHECK(conflicts == item.conflicts);
  CHECK(ValueAt(table, "a") == (item.committed ? "new a" : "old a"));
  CHECK(ValueAt(table, "b") == (item.committed ? "<not_found>" : "old b"));
  CHECK(ValueAt(table, "c") == (item.committed ? "new c" : "<not_found>"));
}

TEST_CASE("A row never shows a version again", "[platform]")
{
  PlatformSubject subject(AnySubject());
  TableStore& table = subject.Table();

  const std::uint64_t first = MustPut(table, "row", "1");
  const std::uint64_t second = MustPut(table, "row", "1");
  REQUIRE(OutcomeOf(table.Commit(TransactionBuilder().Delete("row"))) == "ok");
  const std::uint64_t third = MustPut(table, "row", "1");

  CHECK(first > kMissing);
  CHECK(second > first);
  CHECK(third > second);
}

TEST_CASE("Of racing compare-and-sets exactly one wins each version", "[platform]")
{
  PlatformSubject subject(AnySubject());
  TableStore& table = subject.Table();
  MustPut(table, "counter", "0");
  constexpr int threads = 6;
  constexpr int increments = 20;
  std::atomic<int> errors = 0;

  auto increment = [&table] {
    const auto row = table.Read("counter");
    if (!IsOk(row)) {
      return false;
    }
    const std::string next = std::to_string(std::stoi(ValueOf(row).value()) + 1);
    const auto result =
      table.Commit(TransactionBuilder().If("counter", ValueOf(row).version()).Put("counter", next));
    return IsOk(result) && ValueOf(result).committed();
  };
  std::vector<std::thread> workers;
  for (int i = 0; i < threads; ++i) {
    workers.emplace_back([&increment, &errors] {
      int done = 0;
      for (int tries = 0; done < increments && tries < 10000; ++tries) {
        done += increment() ? 1 : 0;
      }
      errors += increments - done;
    });
  }
  for (std::thread& worker : workers) {
    worker.join();
  }

  CHECK(errors == 0);
  CHECK(ValueAt(table, "counter") == std::to_string(threads * increments));
}

TEST_CASE("Rows are read by prefix in pages", "[platform]")
{
  PlatformSubject subject(AnySubject());
  TableStore& table = subject.Table();
  for (const char* key : { "b/3", "a", "b/1", "b", "b/2", "c", "b0", "b/10" }) {
    MustPut(table, key, "");
  }
  using Keys = std::vector<std::string>;

  struct Case
  {
    std::string prefix;
    std::string after;
    std::size_t limit;
    Keys keys;
  };
  const Case cases[] = {
    { "b/", "", 100, { "b/1", "b/10", "b/2", "b/3" } },
    { "b/", "", 2, { "b/1", "b/10" } },
    { "b/", "b/10", 2, { "b/2", "b/3" } },
    { "b/", "b/3", 2, {} },
    { "b/", "b/15", 1, { "b/2" } },
    { "b/", "a", 1, { "b/1" } },
    { "b/", "zzz", 9, {} },
    { "b/", "", 0, {} },
    { "none", "", 9, {} },
    { "", "", 3, { "a", "b", "b/1" } },
    { "", "b/3", 9, { "b0", "c" } },
    { "b", "b", 9, { "b/1", "b/10", "b/2", "b/3", "b0" } },
  };
  for (const Case& item : cases) {
    CAPTURE(item.prefix, item.after, item.limit);
    CHECK(KeysOf(table.ReadPrefix(item.prefix, item.after, item.limit)) == item.keys);
  }
}

TEST_CASE("Odd characters in keys and names come back as they went", "[platform]")
{
  PlatformSubject subject(AnySubject());
  for (const std::string& key : kOddKeys) {
    CAPTURE(key);
    const std::string value = "value\0of " + key;
    MustPut(subject.Table(), key, value);
    CHECK(ValueAt(subject.Table(), key) == value);
    CHECK(KeysOf(subject.Table().ReadPrefix(key, "", 1)) == std::vector<std::string>{ key });

    REQUIRE(OutcomeOf(subject.Objects().Put(key, value)) == "ok");
    const auto object = subject.Objects().Get(key);
    REQUIRE(IsOk(object));
    CHECK(ValueOf(object) == value);
  }
}

TEST_CASE("Malformed calls are invalid and change nothing", "[platform]")
{
  PlatformSubject subject(AnySubject());
  TableStore& table = subject.Table();
  for (const std::string& key : kBadKeys) {
    CAPTURE(key);
    const TransactionBuilder transactions[] = {
      TransactionBuilder().Put("good", "").Put(key, ""),
      TransactionBuilder().Put("good", "").Delete(key),
      TransactionBuilder().Put("good", "").If(key, kMissing),
    };
    for (const TableTransaction& transaction : transactions) {
      CHECK(OutcomeOf(table.Commit(transaction)) == "invalid");
    }
    CHECK(OutcomeOf(table.Read(key)) == "invalid");
    CHECK(OutcomeOf(subject.Objects().Put(key, "")) == "invalid");
    CHECK(OutcomeOf(subject.Objects().Get(key)) == "invalid");
    CHECK(OutcomeOf(subject.Objects().Delete(key)) == "invalid");
  }
  const TransactionBuilder twice[] = {
    TransactionBuilder().Put("good", "1").Put("good", "2"),
    TransactionBuilder().Put("good", "1").Delete("good"),
    TransactionBuilder().Delete("good").Delete("good"),
  };
  for (const TableTransaction& transaction : twice) {
    CHECK(OutcomeOf(table.Commit(transaction)) == "invalid");
  }
  CHECK(ValueAt(table, "good") == "<not_found>");
}

TEST_CASE("Objects are stored, replaced and deleted whole", "[platform]")
{
  PlatformSubject subject(AnySubject());
  ObjectStore& objects = subject.Objects();
  CHECK(OutcomeOf(objects.Get("o")) == "not_found");
  CHECK(OutcomeOf(objects.Delete("o")) == "ok");

  for (const std::size_t size : { kLargeObject, std::size_t{ 0 }, std::size_t{ 1 } }) {
    CAPTURE(size);
    const std::string bytes = BinaryBytes(size);
    REQUIRE(OutcomeOf(objects.Put("o", bytes)) == "ok");
    const auto read = objects.Get("o");
    REQUIRE(IsOk(read));
    CHECK((ValueOf(read) == bytes));
  }

  CHECK(OutcomeOf(objects.Delete("o")) == "ok");
  CHECK(OutcomeOf(objects.Get("o")) == "not_found");
}

TEST_CASE("The VM list shows live and leaving VMs", "[platform]")
{
  PlatformSubject subject(AnySubject());
  VmListEntry live;
  live.set_name("vm-1");
  live.set_address("127.0.0.1");
  VmListEntry leaving = live;
  leaving.set_name("vm-2");
  leaving.set_leaving(true);
  subject.memory.SetVm(leaving);
  subject.memory.SetVm(live);

  const auto both = subject.Vms().List();
  subject.memory.RemoveVm("vm-1");
  const auto one = subject.Vms().List();

  REQUIRE(IsOk(both));
  REQUIRE(ValueOf(both).vms_size() == 2);
  CHECK(ValueOf(both).vms(0).SerializeAsString() == live.SerializeAsString());
  CHECK(ValueOf(both).vms(1).SerializeAsString() == leaving.SerializeAsString());
  REQUIRE(IsOk(one));
  REQUIRE(ValueOf(one).vms_size() == 1);
  CHECK(ValueOf(one).vms(0).name() == "vm-2");
}

} // namespace plantainhaven
