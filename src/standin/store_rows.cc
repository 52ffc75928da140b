#include "plantainhaven/standin/store_rows.h"

#include <algorithm>

namespace plantainhaven::standin {
namespace {

bool
IsNameSized(const RowPlace& aPlace)
{
  return std::max({ aPlace.table.size(), aPlace.part.size(), aPlace.key.size() }) <=
         StoreRows::kMostNameBytes;
}

std::vector<RowPlace>
PlacesOf(const RowTransaction& aTransaction)
{
  std::vector<RowPlace> places = aTransaction.removals;
  for (const RowCondition& condition : aTransaction.conditions) {
    places.push_back(condition.place);
  }
  for (const StoredRow& put : aTransaction.puts) {
    places.push_back(put.place);
  }
  return places;
}

} // namespace

std::optional<std::string>
StoreRows::Fault(const RowTransaction& aTransaction) const
{
  const std::vector<RowPlace> places = PlacesOf(aTransaction);
  std::size_t bytes = 0;
  for (const StoredRow& put : aTransaction.puts) {
    bytes += put.value.size();
  }
  if (places.size() > kMostEntries) {
    return "expected at most 100 entries, found " + std::to_string(places.size());
  }
  if (bytes > kMostBytes) {
    return "expected at most 1 MB, found " + std::to_string(bytes) + " bytes";
  }
  const bool isOnePart = std::all_of(places.begin(), places.end(), [&](const RowPlace& aPlace) {
    return aPlace.part == places.front().part;
  });
  if (!isOnePart) {
    return "expected entries of one part";
  }
  if (!std::all_of(places.begin(), places.end(), IsNameSized)) {
    return "expected names of at most 200 bytes";
  }
  return std::nullopt;
}

StoredRow
StoreRows::Current(const RowPlace& aPlace) const
{
  const auto found = this->rows.find(aPlace);
  return found == this->rows.end() ? StoredRow{ aPlace, {}, 0, false } : found->second;
}

void
StoreRows::Store(const RowPlace& aPlace, const std::string& aValue, bool aIsRemoved)
{
  StoredRow row{ aPlace, aValue, this->version, aIsRemoved };
  if (aIsRemoved) {
    this->rows.erase(aPlace);
  } else {
    this->rows[aPlace] = row;
  }
  this->history.push_back(std::move(row));
}

CommitAnswer
StoreRows::Commit(const RowTransaction& aTransaction)
{
  if (const auto fault = this->Fault(aTransaction)) {
    return Malformed{ *fault };
  }
  Conflicted conflicted;
  bool holds = true;
  for (const RowCondition& condition : aTransaction.conditions) {
    conflicted.rows.push_back(this->Current(condition.place));
    holds = holds && conflicted.rows.back().version == condition.version;
  }
  if (!holds) {
    return conflicted;
  }
  ++this->version;
  for (const StoredRow& put : aTransaction.puts) {
    this->Store(put.place, put.value, false);
  }
  for (const RowPlace& place : aTransaction.removals) {
    if (this->rows.contains(place)) {
      this->Store(place, {}, true);
    }
  }
  return Committed{ this->version };
}

RowPage
StoreRows::Read(const std::string& aTable,
                const std::string& aPart,
                const std::string& aFrom,
                const std::string& aUntil,
                std::size_t aLimit) const
{
  RowPage page;
  std::size_t bytes = 0;
  const std::size_t limit = std::min(aLimit == 0 ? kMostPageRows : aLimit, kMostPageRows);
  for (auto row = this->rows.lower_bound({ aTable, aPart, aFrom }); row != this->rows.end();
       ++row) {
    const RowPlace& place = row->first;
    const bool isIn =
      place.table == aTable && place.part == aPart && (aUntil.empty() || place.key < aUntil);
    if (!isIn) {
      break;
    }
    bytes += row->second.value.size();
    const bool isFull = page.rows.size() >= limit || (bytes > kMostBytes && !page.rows.empty());
    if (isFull) {
      page.hasMore = true;
      break;
    }
    page.rows.push_back(row->second);
  }
  return page;
}

std::optional<std::vector<StoredRow>>
StoreRows::ChangesAfter(const std::string& aTable, std::uint64_t aVersion) const
{
  if (aVersion < this->forgottenUpTo || aVersion > this->version) {
    return std::nullopt;
  }
  std::map<RowPlace, StoredRow> newest;
  for (const StoredRow& change : this->history) {
    if (change.version > aVersion && change.place.table == aTable) {
      newest[change.place] = change;
    }
  }
  std::vector<StoredRow> changes;
  changes.reserve(newest.size());
  for (auto& [place, row] : newest) {
    changes.push_back(std::move(row));
  }
  std::stable_sort(changes.begin(), changes.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.version < aRight.version;
  });
  return changes;
}

void
StoreRows::RewindTo(std::uint64_t aVersion)
{
  ++this->era;
  this->version = aVersion;
  std::erase_if(this->history,
                [aVersion](const StoredRow& aRow) { return aRow.version > aVersion; });
  this->rows.clear();
  for (const StoredRow& change : this->history) {
    if (change.isRemoved) {
      this->rows.erase(change.place);
    } else {
      this->rows[change.place] = change;
    }
  }
}

void
StoreRows::ForgetHistory()
{
  this->history.clear();
  this->forgottenUpTo = this->version;
}

} // namespace plantainhaven::standin
