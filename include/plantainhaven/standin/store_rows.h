#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace plantainhaven::standin {

// Where a row of the store stands.
struct RowPlace
{
  std::string table;
  std::string part;
  std::string key;

  bool operator<(const RowPlace& aOther) const
  {
    return std::tie(this->table, this->part, this->key) <
           std::tie(aOther.table, aOther.part, aOther.key);
  }
};

struct StoredRow
{
  RowPlace place;
  std::string value;
  // Version of the transaction that wrote or removed it; 0 when it never existed.
  std::uint64_t version = 0;
  bool isRemoved = false;
};

struct RowCondition
{
  RowPlace place;
  // Version that the row must have; 0 when it must not exist.
  std::uint64_t version = 0;
};

struct RowTransaction
{
  std::vector<RowCondition> conditions;
  std::vector<StoredRow> puts;
  std::vector<RowPlace> removals;
};

struct Committed
{
  std::uint64_t version = 0;
};
// Nothing was done; the rows of the conditions as they are.
struct Conflicted
{
  std::vector<StoredRow> rows;
};
// Nothing was done: the transaction isn't one that the store takes.
struct Malformed
{
  std::string reason;
};
using CommitAnswer = std::variant<Committed, Conflicted, Malformed>;

struct RowPage
{
  std::vector<StoredRow> rows;
  bool hasMore = false;
};

// The rows of the platform's store with their history, as the published protocol tells them.
// Stands in for the store in tests, the soak and the demo. Not thread-safe; reads no clock.
class StoreRows
{
public:
  static constexpr std::size_t kMostEntries = 100;
  static constexpr std::size_t kMostBytes = 1'000'000;
  static constexpr std::size_t kMostPageRows = 500;
  static constexpr std::size_t kMostNameBytes = 200;

  CommitAnswer Commit(const RowTransaction& aTransaction);
  // Rows of a part in order of key, from `aFrom` up to but without `aUntil` unless empty.
  RowPage Read(const std::string& aTable,
               const std::string& aPart,
               const std::string& aFrom,
               const std::string& aUntil,
               std::size_t aLimit) const;
  // What has changed in a table after a version, each row once; nothing when that history
  // is gone.
  std::optional<std::vector<StoredRow>> ChangesAfter(const std::string& aTable,
                                                     std::uint64_t aVersion) const;
  // Discards the history up to now.
  void ForgetHistory();
  // Comes back from the copy at a version: what was written since is gone, and versions are
  // given out again. The history up to there must not be forgotten.
  void RewindTo(std::uint64_t aVersion);
  std::uint64_t Version() const { return this->version; }
  // Rises by one with each rewind.
  std::uint64_t Era() const { return this->era; }

private:
  std::optional<std::string> Fault(const RowTransaction& aTransaction) const;
  StoredRow Current(const RowPlace& aPlace) const;
  void Store(const RowPlace& aPlace, const std::string& aValue, bool aIsRemoved);

  std::uint64_t version = 0;
  std::uint64_t forgottenUpTo = 0;
  std::uint64_t era = 1;
  std::map<RowPlace, StoredRow> rows;
  // Changes in order of version.
  std::vector<StoredRow> history;
};

} // namespace plantainhaven::standin
