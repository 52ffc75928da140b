#pragma once

#include "plantainhaven/policy/placing/quota_ring.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace plantainhaven::placing {

// Which VM owns which ranges of the quota ring. Each position has one owner or none.
class QuotaAssignment
{
public:
  // The whole ring belongs to one VM.
  static QuotaAssignment Whole(const std::string& aOwner);

  bool operator==(const QuotaAssignment&) const = default;

  // The owners with their ranges, none of which is empty.
  const std::map<std::string, QuotaRanges>& Owners() const { return this->owners; }
  // The ranges of a VM; empty if it owns none.
  QuotaRanges RangesOf(const std::string& aVm) const;
  std::uint32_t LengthOf(const std::string& aVm) const;
  // The ranges that belong to no VM.
  QuotaRanges Unowned() const;

  // Makes a VM the owner of the ranges, whoever owned them before.
  void Assign(const QuotaRanges& aRanges, const std::string& aOwner);
  // Leaves the ranges without an owner.
  void Release(const QuotaRanges& aRanges);
  // Divides the ranges among the heirs, those that own least first. A range is kept whole if an
  // heir then owns at most twice an equal part of the ring, so that ranges don't splinter. Does
  // nothing without heirs.
  void Distribute(const QuotaRanges& aRanges, const std::vector<std::string>& aHeirs);
  // Gives the receivers that own less than half of an equal part what `aDonor` owns beyond one,
  // provided that this is at least half of an equal part. `aVmCount` VMs would own equal parts.
  // Returns the ranges that were given.
  QuotaRanges Share(const std::string& aDonor,
                    const std::vector<std::string>& aReceivers,
                    std::size_t aVmCount);

private:
  // Takes ranges of this total length from the end of those of `aVm`.
  QuotaRanges LastRangesOf(const std::string& aVm, std::uint32_t aLength) const;

  std::map<std::string, QuotaRanges> owners;
};

} // namespace plantainhaven::placing
