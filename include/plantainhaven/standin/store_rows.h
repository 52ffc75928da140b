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

// Identifies a row of the store.
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
  // Version of the transaction that wrote or removed the row; 0 when it never existed.
  std::uint64_t version = 0;
  bool isRemoved = false;
};

struct RowCondition
{
  RowPlace place;
  // Version that the row must have; 0 requires that the row doesn't exist.
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
// The transaction was not applied. Holds the current rows of its conditions.
struct Conflicted
{
  std::vector<StoredRow> rows;
};
// The transaction was not applied because it exceeds a limit or spans several parts.
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

// In-memory rows and change history with the semantics of the platform's store. Test double
// for tests, plantain-soak and the demo. Not thread-safe; reads no clock.
class StoreRows
{
public:
  static constexpr std::size_t kMostEntries = 100;
  static constexpr std::size_t kMostBytes = 1'000'000;
  static constexpr std::size_t kMostPageRows = 500;
  static constexpr std::size_t kMostNameBytes = 200;

  CommitAnswer Commit(const RowTransaction& aTransaction);
  // Returns the rows of a part in key order, from `aFrom` to `aUntil` exclusive; an empty
  // `aUntil` means no upper limit.
  RowPage Read(const std::string& aTable,
               const std::string& aPart,
               const std::string& aFrom,
               const std::string& aUntil,
               std::size_t aLimit) const;
  // Returns the rows of a table that changed after a version, each once, or nothing when that
  // history was discarded.
  std::optional<std::vector<StoredRow>> ChangesAfter(const std::string& aTable,
                                                     std::uint64_t aVersion) const;
  // Discards the history up to the current version.
  void ForgetHistory();
  // Restores the rows as of a version, as from a backup: later writes are lost, and their
  // versions are assigned again. The history up to that version must not have been discarded.
  void RewindTo(std::uint64_t aVersion);
  std::uint64_t Version() const { return this->version; }
  // Increases by one with each RewindTo().
  std::uint64_t Era() const { return this->era; }

private:
  std::optional<std::string> Fault(const RowTransaction& aTransaction) const;
  StoredRow Current(const RowPlace& aPlace) const;
  void Store(const RowPlace& aPlace, const std::string& aValue, bool aIsRemoved);

  std::uint64_t version = 0;
  std::uint64_t forgottenUpTo = 0;
  std::uint64_t era = 1;
  std::map<RowPlace, StoredRow> rows;
  // Changes in version order.
  std::vector<StoredRow> history;
};

} // namespace plantainhaven::standin
