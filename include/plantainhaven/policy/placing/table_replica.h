#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace plantainhaven::placing {

// A row of the store, with its value decoded.
struct StoreRow
{
  std::string key;
  std::string value{};
  // Version of the transaction that last wrote it.
  std::uint64_t version = 0;
  // The row was removed. Only set in changes of a table.
  bool isRemoved = false;
};

// What is known of a table: the rows that changed after one version of it, up to another one. It
// comes from the store, or from another VM that has read it there.
struct TableUpdate
{
  // Versions of different eras can't be compared.
  std::uint64_t era = 0;
  std::uint64_t after = 0;
  std::uint64_t version = 0;
  std::vector<StoreRow> rows{};
  // The rows changed but aren't included, because they are too large to pass on.
  bool areRowsOmitted = false;
  // `rows` are all rows of the table as of `version`; `after` has no meaning.
  bool isWhole = false;
};

// Result of applying an update.
enum class UpdateEffect
{
  kApplied, // The replica is at the update's version now, and `rows` are what is new.
  kCurrent, // The replica is at this version already.
  kOlder,   // The update is older than the replica, or of an earlier era.
  kMissed,  // The table has a newer version that this update can't bring the replica to.
  kNewEra,  // The update is of a later era: EnterEra() comes first.
};

// A copy of one table. At any time it equals the table at one version of one era, whatever the
// order in which updates arrive and whichever are lost. Not thread-safe.
class TableReplica
{
public:
  UpdateEffect Apply(const TableUpdate& aUpdate);
  // Starts anew in a later era. The rows are kept until a whole table replaces them.
  void EnterEra(std::uint64_t aEra);
  // The history after this version is gone from the store: only a whole table can follow, which
  // must not be older.
  void Discard() { this->isWhole = false; }

  // What to pass on to other VMs after an answer of the store. The message never claims a later
  // version than its rows lead to. Rows of more than `aMaxBytes` are omitted.
  TableUpdate MakeUpdate(const TableUpdate& aAnswer, std::size_t aMaxBytes) const;
  // The whole table.
  TableUpdate MakeWhole() const;

  // Whether the replica holds a table of the current era.
  bool IsWhole() const { return this->isWhole; }
  std::uint64_t Version() const { return this->version; }
  std::uint64_t Era() const { return this->era; }
  const std::map<std::string, StoreRow>& Rows() const { return this->rows; }

private:
  std::map<std::string, StoreRow> rows;
  bool isWhole = false;
  std::uint64_t version = 0;
  std::uint64_t era = 0;
};

} // namespace plantainhaven::placing
