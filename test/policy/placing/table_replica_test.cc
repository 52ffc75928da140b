#include "plantainhaven/policy/placing/table_replica.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace plantainhaven::placing {
namespace {

constexpr std::size_t kMaxUpdateBytes = 64;
constexpr std::size_t kVms = 5;

using Table = std::map<std::string, std::string>;

// A store that keeps every version that it ever had.
class StoreModel
{
public:
  StoreModel() { this->tables[{ 1, 0 }] = {}; }

  void Put(const std::string& aKey, const std::string& aValue)
  {
    Table table = this->Newest();
    table[aKey] = aValue;
    this->Commit(aKey, std::move(table));
  }
  void Remove(const std::string& aKey)
  {
    Table table = this->Newest();
    if (table.erase(aKey) > 0) {
      this->Commit(aKey, std::move(table));
    }
  }
  // Loses up to `aCount` of the newest versions of this era, and begins a new one.
  void Rewind(std::uint64_t aCount)
  {
    while (aCount > 0 && this->tables.contains({ this->era, this->version - 1 })) {
      --this->version;
      --aCount;
    }
    const Table table = this->Newest();
    ++this->era;
    this->tables[{ this->era, this->version }] = table;
    this->changedAt.clear();
    for (const auto& [key, value] : table) {
      this->changedAt[key] = this->version;
    }
  }
  TableUpdate ReadWhole() const
  {
    TableUpdate read{ .era = this->era, .version = this->version, .isWhole = true };
    for (const auto& [key, value] : this->Newest()) {
      read.rows.push_back({ key, value, this->changedAt.at(key), false });
    }
    return read;
  }
  TableUpdate ReadChanges(std::uint64_t aAfter) const
  {
    TableUpdate read{ .era = this->era, .after = aAfter, .version = this->version };
    for (const auto& [key, changed] : this->changedAt) {
      if (changed > aAfter) {
        const auto found = this->Newest().find(key);
        const bool isRemoved = found == this->Newest().end();
        read.rows.push_back({ key, isRemoved ? "" : found->second, changed, isRemoved });
      }
    }
    return read;
  }
  const Table& Newest() const { return this->tables.at({ this->era, this->version }); }
  const Table& At(std::uint64_t aEra, std::uint64_t aVersion) const
  {
    return this->tables.at({ aEra, aVersion });
  }
  std::uint64_t Version() const { return this->version; }
  std::uint64_t Era() const { return this->era; }

private:
  void Commit(const std::string& aKey, Table aTable)
  {
    this->changedAt[aKey] = ++this->version;
    this->tables[{ this->era, this->version }] = std::move(aTable);
  }

  std::uint64_t era = 1;
  std::uint64_t version = 0;
  std::map<std::pair<std::uint64_t, std::uint64_t>, Table> tables;
  std::map<std::string, std::uint64_t> changedAt;
};

struct Follower
{
  TableReplica replica;
  // An answer of the store that hasn't arrived yet.
  std::vector<TableUpdate> answers;
  // Messages of other VMs that haven't arrived yet.
  std::vector<TableUpdate> inbox;
  // Era and version after the last step.
  std::pair<std::uint64_t, std::uint64_t> reached{};
};

// Followers that read the store for one another, with messages that arrive in any order, more than
// once or never.
class Schedule
{
public:
  explicit Schedule(std::uint64_t aSeed)
    : random(aSeed)
    , followers(kVms)
  {
  }

  void Step()
  {
    switch (this->Draw(12)) {
      case 0:
      case 1:
        this->store.Put("key-" + std::to_string(this->Draw(4)), this->Value());
        break;
      case 2:
        this->store.Remove("key-" + std::to_string(this->Draw(4)));
        break;
      case 3:
        this->Restart();
        break;
      case 4:
      case 5:
      case 6:
        this->BeginRead(this->Any());
        break;
      case 7:
      case 8:
        this->TakeAnswer(this->Any());
        break;
      default:
        this->TakeMessage(this->Any());
        break;
    }
    this->Check();
  }

  // All followers read the store once more, with nothing lost.
  void Settle()
  {
    for (Follower& follower : this->followers) {
      follower.inbox.clear();
      follower.answers.clear();
      // A new era takes two answers: one that shows it, and a whole read.
      for (int read = 0; read < 3; ++read) {
        this->BeginRead(follower);
        this->TakeAnswer(follower);
      }
      REQUIRE(follower.replica.IsWhole());
      REQUIRE(follower.replica.Version() == this->store.Version());
      REQUIRE(follower.replica.Era() == this->store.Era());
    }
    this->Check();
  }

private:
  std::size_t Draw(std::size_t aCount)
  {
    return std::uniform_int_distribution<std::size_t>(0, aCount - 1)(this->random);
  }
  Follower& Any() { return this->followers[this->Draw(kVms)]; }
  // One value in three is too large to be passed on.
  std::string Value()
  {
    const std::string text = std::to_string(++this->values);
    return this->Draw(3) == 0 ? text + std::string(kMaxUpdateBytes, 'x') : text;
  }
  void Restart()
  {
    if (this->Draw(4) == 0) {
      this->Any() = Follower();
    } else if (this->Draw(4) == 0) {
      this->store.Rewind(this->Draw(3));
    } else if (this->Draw(2) == 0) {
      this->Any().replica.Discard();
    }
  }
  void BeginRead(Follower& aFollower)
  {
    aFollower.answers.push_back(aFollower.replica.IsWhole()
                                  ? this->store.ReadChanges(aFollower.replica.Version())
                                  : this->store.ReadWhole());
  }
  template<typename T>
  T TakeAny(std::vector<T>& aFrom)
  {
    const std::size_t at = this->Draw(aFrom.size());
    T taken = aFrom[at];
    aFrom.erase(aFrom.begin() + static_cast<std::ptrdiff_t>(at));
    return taken;
  }
  void TakeAnswer(Follower& aFollower)
  {
    if (aFollower.answers.empty()) {
      return;
    }
    const TableUpdate answer = this->TakeAny(aFollower.answers);
    if (aFollower.replica.Apply(answer) == UpdateEffect::kNewEra) {
      aFollower.replica.EnterEra(answer.era);
      if (!answer.isWhole) {
        return;
      }
      REQUIRE(aFollower.replica.Apply(answer) == UpdateEffect::kApplied);
    }
    if (!aFollower.replica.IsWhole()) {
      return;
    }
    const TableUpdate update = this->Draw(3) == 0
                                 ? aFollower.replica.MakeWhole()
                                 : aFollower.replica.MakeUpdate(answer, kMaxUpdateBytes);
    for (Follower& other : this->followers) {
      for (std::size_t copies = this->Draw(3); &other != &aFollower && copies > 0; --copies) {
        other.inbox.push_back(update);
      }
    }
  }
  void TakeMessage(Follower& aFollower)
  {
    if (aFollower.inbox.empty()) {
      return;
    }
    const TableUpdate update = this->TakeAny(aFollower.inbox);
    if (aFollower.replica.Apply(update) == UpdateEffect::kNewEra) {
      aFollower.replica.EnterEra(update.era);
    }
  }
  void Check()
  {
    for (Follower& follower : this->followers) {
      const TableReplica& replica = follower.replica;
      if (!replica.IsWhole()) {
        continue;
      }
      const std::pair now(replica.Era(), replica.Version());
      REQUIRE(now >= follower.reached);
      follower.reached = now;
      Table held;
      for (const auto& [key, row] : replica.Rows()) {
        held[key] = row.value;
      }
      REQUIRE(held == this->store.At(replica.Era(), replica.Version()));
    }
  }

  std::mt19937_64 random;
  StoreModel store;
  std::vector<Follower> followers;
  int values = 0;
};

TEST_CASE("A replica equals the table at its version for any order of answers and messages")
{
  for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
    CAPTURE(seed);
    Schedule schedule(seed);
    for (int step = 0; step < 120; ++step) {
      schedule.Step();
    }
    schedule.Settle();
  }
}

TEST_CASE("The rows of a late answer aren't passed on under a newer version")
{
  TableReplica reader;
  TableReplica other;
  for (TableReplica* const replica : { &reader, &other }) {
    replica->EnterEra(1);
    REQUIRE(replica->Apply({ .era = 1, .version = 76, .isWhole = true }) == UpdateEffect::kApplied);
  }
  const TableUpdate newer{ .era = 1, .after = 76, .version = 77, .rows = { { "a", "1", 77 } } };
  REQUIRE(reader.Apply(newer) == UpdateEffect::kApplied);
  const TableUpdate late{ .era = 1, .after = 76, .version = 76 };
  CHECK(reader.Apply(late) == UpdateEffect::kOlder);
  CHECK(other.Apply(reader.MakeUpdate(late, kMaxUpdateBytes)) == UpdateEffect::kMissed);
  CHECK(other.Apply(newer) == UpdateEffect::kApplied);
  CHECK(other.Rows().size() == 1);
}

// The store's history is gone, and another VM's copy of an older version arrives.
TEST_CASE("A replica doesn't go back to an older copy after the store's history is gone")
{
  TableReplica replica;
  replica.EnterEra(1);
  REQUIRE(replica.Apply({ .era = 1, .version = 9, .isWhole = true }) == UpdateEffect::kApplied);
  replica.Discard();
  CHECK(replica.Apply({ .era = 1, .version = 8, .isWhole = true }) == UpdateEffect::kOlder);
  CHECK_FALSE(replica.IsWhole());
  CHECK(replica.Apply({ .era = 1, .version = 9, .isWhole = true }) == UpdateEffect::kApplied);
}

TEST_CASE("Effects of updates on a replica")
{
  struct Case
  {
    const char* name;
    TableUpdate update;
    UpdateEffect effect;
  };
  const Case cases[] = {
    { "follows", { .era = 2, .after = 10, .version = 12 }, UpdateEffect::kApplied },
    { "overlaps", { .era = 2, .after = 7, .version = 12 }, UpdateEffect::kApplied },
    { "same version", { .era = 2, .after = 10, .version = 10 }, UpdateEffect::kCurrent },
    { "older", { .era = 2, .after = 5, .version = 9 }, UpdateEffect::kOlder },
    { "gap", { .era = 2, .after = 11, .version = 12 }, UpdateEffect::kMissed },
    { "rows omitted",
      { .era = 2, .after = 10, .version = 12, .areRowsOmitted = true },
      UpdateEffect::kMissed },
    { "newer whole", { .era = 2, .version = 12, .isWhole = true }, UpdateEffect::kApplied },
    { "older whole", { .era = 2, .version = 9, .isWhole = true }, UpdateEffect::kOlder },
    { "later era", { .era = 3, .after = 1, .version = 2 }, UpdateEffect::kNewEra },
    { "earlier era", { .era = 1, .after = 10, .version = 99 }, UpdateEffect::kOlder },
  };
  for (const Case& entry : cases) {
    CAPTURE(entry.name);
    TableReplica replica;
    replica.EnterEra(2);
    REQUIRE(replica.Apply({ .era = 2, .version = 10, .isWhole = true }) == UpdateEffect::kApplied);
    CHECK(replica.Apply(entry.update) == entry.effect);
  }
}

} // namespace
} // namespace plantainhaven::placing
