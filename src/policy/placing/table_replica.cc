#include "plantainhaven/policy/placing/table_replica.h"

namespace plantainhaven::placing {
namespace {

std::size_t
TotalBytes(const std::vector<StoreRow>& aRows)
{
  std::size_t bytes = 0;
  for (const StoreRow& row : aRows) {
    bytes += row.key.size() + row.value.size();
  }
  return bytes;
}

} // namespace

UpdateEffect
TableReplica::Apply(const TableUpdate& aUpdate)
{
  if (aUpdate.era > this->era) {
    return UpdateEffect::kNewEra;
  }
  const bool isUsable = this->isWhole || aUpdate.isWhole;
  if (aUpdate.era < this->era || !isUsable || aUpdate.version < this->version) {
    return UpdateEffect::kOlder;
  }
  if (this->isWhole && aUpdate.version == this->version) {
    return UpdateEffect::kCurrent;
  }
  if (aUpdate.areRowsOmitted || (!aUpdate.isWhole && aUpdate.after > this->version)) {
    return UpdateEffect::kMissed;
  }
  if (aUpdate.isWhole) {
    this->rows.clear();
  }
  for (const StoreRow& row : aUpdate.rows) {
    if (row.isRemoved) {
      this->rows.erase(row.key);
    } else {
      this->rows.insert_or_assign(row.key, row);
    }
  }
  this->isWhole = true;
  this->version = aUpdate.version;
  return UpdateEffect::kApplied;
}

void
TableReplica::EnterEra(std::uint64_t aEra)
{
  this->era = aEra;
  this->version = 0;
  this->isWhole = false;
}

TableUpdate
TableReplica::MakeUpdate(const TableUpdate& aAnswer, std::size_t aMaxBytes) const
{
  TableUpdate update{ .era = this->era, .after = this->version, .version = this->version };
  if (aAnswer.era != this->era || aAnswer.version < this->version) {
    return update;
  }
  update.version = aAnswer.version;
  if (!aAnswer.isWhole) {
    update.after = aAnswer.after;
    update.areRowsOmitted = TotalBytes(aAnswer.rows) > aMaxBytes;
    if (!update.areRowsOmitted) {
      update.rows = aAnswer.rows;
    }
  }
  return update;
}

TableUpdate
TableReplica::MakeWhole() const
{
  TableUpdate update{ .era = this->era, .version = this->version, .isWhole = true };
  for (const auto& [key, row] : this->rows) {
    update.rows.push_back(row);
  }
  return update;
}

} // namespace plantainhaven::placing
