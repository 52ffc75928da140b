#include "edge/quota_rows.h"

#include "edge/names.h"

#include <algorithm>
#include <utility>

namespace plantainhaven::edge {
namespace {

// Distinguishes a QuotaRecord from the name that earlier builds keep in its row.
constexpr std::uint32_t kQuotaFormat = 0x51554f54;

placing::QuotaRanges
RangesOf(const google::protobuf::RepeatedField<std::uint32_t>& aBounds)
{
  placing::QuotaRanges ranges;
  for (int i = 0; i + 1 < aBounds.size(); i += 2) {
    ranges.push_back({ aBounds[i], std::min(aBounds[i + 1], kQuotaRingSize) });
  }
  return placing::Merged(std::move(ranges));
}

} // namespace

void
AddBounds(const placing::QuotaRanges& aRanges,
          google::protobuf::RepeatedField<std::uint32_t>& aBounds)
{
  for (const QuotaRange& range : aRanges) {
    aBounds.Add(range.begin);
    aBounds.Add(range.end);
  }
}

placing::QuotaRanges
GrantedBy(const VmReport& aReport)
{
  if (!aReport.tells_quota()) {
    return {};
  }
  return aReport.uses_quota_record()
           ? RangesOf(aReport.quota_bounds())
           : placing::Merged({ { aReport.quota_begin(), aReport.quota_end() } });
}

void
DecodeQuotaRow(const platform::StoreRow& aRow, placing::QuotaRows& aInto)
{
  QuotaRecord record;
  aInto.assignmentVersion = aRow.version;
  if (!record.ParseFromString(aRow.value) || record.format() != kQuotaFormat) {
    return;
  }
  aInto.assignmentEra = record.era();
  aInto.founding = record.founding();
  aInto.assignment.emplace();
  for (const QuotaRecord::Owner& owner : record.owners()) {
    aInto.assignment->Assign(RangesOf(owner.bounds()), owner.vm());
  }
}

std::string
EncodeQuotaRow(const placing::QuotaChange& aChange, std::uint64_t aEra)
{
  QuotaRecord record;
  record.set_format(kQuotaFormat);
  record.set_era(aEra);
  record.set_founding(aChange.founding);
  for (const auto& [vm, ranges] : aChange.assignment->Owners()) {
    QuotaRecord::Owner& owner = *record.add_owners();
    owner.set_vm(vm);
    AddBounds(ranges, *owner.mutable_bounds());
  }
  return record.SerializeAsString();
}

placing::QuotaVmRow
QuotaRowOf(const VmRecord& aRecord, std::uint64_t aVersion)
{
  return { .version = aVersion,
           .era = aRecord.era(),
           .incarnation = aRecord.incarnation(),
           .isSuspected = aRecord.is_suspected(),
           .usesAssignment = aRecord.uses_quota_record(),
           .range = { aRecord.quota_begin(), aRecord.quota_end() } };
}

placing::QuotaWriteResult
ResultOf(const Result<platform::WrittenRows>& aWritten, std::uint64_t aEra)
{
  if (IsOk(aWritten)) {
    // In another era the versions that the write named belong to other rows.
    return ValueOf(aWritten).era == aEra ? placing::QuotaWriteResult::kDone
                                         : placing::QuotaWriteResult::kUnknown;
  }
  switch (ErrorOf(aWritten).kind) {
    case ErrorKind::kConflict:
      return placing::QuotaWriteResult::kConflict;
    case ErrorKind::kUnavailable:
    case ErrorKind::kInvalid:
      return placing::QuotaWriteResult::kNoEffect;
    default:
      return placing::QuotaWriteResult::kUnknown;
  }
}

} // namespace plantainhaven::edge
