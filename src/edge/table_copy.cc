#include "edge/table_copy.h"

#include <utility>
#include <zlib.h>

namespace plantainhaven::edge {
namespace {

// Largest size of a table that is unpacked.
constexpr std::uint64_t kMaxRowsBytes = 64ULL << 20;

placing::StoreRow
ToRow(const NewsRow& aRow)
{
  return { aRow.key(), aRow.value(), aRow.version(), aRow.removed() };
}

} // namespace

void
FillRow(const placing::StoreRow& aRow, NewsRow& aInto)
{
  aInto.set_key(aRow.key);
  aInto.set_value(aRow.value);
  aInto.set_version(aRow.version);
  aInto.set_removed(aRow.isRemoved);
}

placing::TableUpdate
ToUpdate(const TableNews& aNews)
{
  placing::TableUpdate update{ .era = aNews.era(),
                               .after = aNews.after(),
                               .version = aNews.version(),
                               .areRowsOmitted = aNews.rows_omitted() };
  for (const NewsRow& row : aNews.rows()) {
    update.rows.push_back(ToRow(row));
  }
  return update;
}

TableCopy
PackTable(const std::string& aTable, const placing::TableUpdate& aWhole)
{
  TableRows rows;
  for (const placing::StoreRow& row : aWhole.rows) {
    FillRow(row, *rows.add_rows());
  }
  const std::string plain = rows.SerializeAsString();
  std::string packed(::compressBound(plain.size()), '\0');
  uLongf size = packed.size();
  ::compress2(reinterpret_cast<Bytef*>(packed.data()),
              &size,
              reinterpret_cast<const Bytef*>(plain.data()),
              plain.size(),
              Z_BEST_SPEED);
  packed.resize(size);
  TableCopy copy;
  copy.set_table(aTable);
  copy.set_era(aWhole.era);
  copy.set_version(aWhole.version);
  copy.set_packed_rows(std::move(packed));
  copy.set_rows_bytes(plain.size());
  return copy;
}

std::optional<placing::TableUpdate>
UnpackTable(const TableCopy& aCopy)
{
  if (aCopy.rows_bytes() > kMaxRowsBytes) {
    return std::nullopt;
  }
  std::string plain(aCopy.rows_bytes(), '\0');
  uLongf size = plain.size();
  const int result = ::uncompress(reinterpret_cast<Bytef*>(plain.data()),
                                  &size,
                                  reinterpret_cast<const Bytef*>(aCopy.packed_rows().data()),
                                  aCopy.packed_rows().size());
  TableRows rows;
  if (result != Z_OK || size != plain.size() || !rows.ParseFromString(plain)) {
    return std::nullopt;
  }
  placing::TableUpdate update{ .era = aCopy.era(), .version = aCopy.version(), .isWhole = true };
  for (const NewsRow& row : rows.rows()) {
    update.rows.push_back(ToRow(row));
  }
  return update;
}

} // namespace plantainhaven::edge
