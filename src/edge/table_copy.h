#pragma once

#include "plantainhaven/policy/placing/table_replica.h"

#include <optional>
#include <string>

#include "peer.pb.h"

namespace plantainhaven::edge {

// Returns the whole table as a compressed message.
TableCopy
PackTable(const std::string& aTable, const placing::TableUpdate& aWhole);

// Returns the table in a message of another VM; nothing if it can't be read.
std::optional<placing::TableUpdate>
UnpackTable(const TableCopy& aCopy);

// Converts the rows that another VM sends on.
placing::TableUpdate
ToUpdate(const TableNews& aNews);

void
FillRow(const placing::StoreRow& aRow, NewsRow& aInto);

} // namespace plantainhaven::edge
