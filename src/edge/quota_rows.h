#pragma once

#include "plantainhaven/common/result.h"
#include "plantainhaven/policy/placing/quota_ownership.h"
#include "platform/store_client.h"

#include <cstdint>
#include <string>

#include "edge.pb.h"
#include "peer.pb.h"

namespace plantainhaven::edge {

// Key of the row that holds the QuotaRecord.
inline constexpr const char* kQuotaKey = "#origin";

// Adds the bounds of each range.
void
AddBounds(const placing::QuotaRanges& aRanges,
          google::protobuf::RepeatedField<std::uint32_t>& aBounds);

// The ranges that a VM tells. Builds without leases tell one only.
placing::QuotaRanges
GrantedBy(const VmReport& aReport);

// Reads the assignment from its row; leaves it unset if an earlier build wrote the row.
void
DecodeQuotaRow(const platform::StoreRow& aRow, placing::QuotaRows& aInto);

// The value of the row for the assignment of a change.
std::string
EncodeQuotaRow(const placing::QuotaChange& aChange, std::uint64_t aEra);

placing::QuotaVmRow
QuotaRowOf(const VmRecord& aRecord, std::uint64_t aVersion);

// How a write ended that was decided in an era of the store.
placing::QuotaWriteResult
ResultOf(const Result<platform::WrittenRows>& aWritten, std::uint64_t aEra);

} // namespace plantainhaven::edge
