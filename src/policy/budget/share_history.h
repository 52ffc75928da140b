#pragma once

#include "plantainhaven/common/time.h"
#include "plantainhaven/policy/budget/shares.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>

namespace plantainhaven {

// Decides which share of one budget this VM may use while revisions are applied and
// accepted. Another VM may be using any split from the newest ripe revision on, where
// ripe means that it has been known accepted for the growth wait; so the share in force
// is the smallest of all those revisions. Shrinking counts at once, growing when ripe.
class ShareHistory
{
public:
  explicit ShareHistory(std::chrono::nanoseconds aGrowthDelay);

  // The share of the next revision, or nothing when it doesn't list the budget. After a
  // gap all earlier knowledge is dropped and nothing counts until this one is ripe.
  void OnShare(std::uint64_t aRevision, const std::optional<Share>& aShare);
  // No revision from `aFrom` to `aThrough` lists the budget.
  void OnAbsent(std::uint64_t aFrom, std::uint64_t aThrough);
  // Revision `aAccepted` was known to be accepted at `aAt`.
  void OnAccepted(std::uint64_t aAccepted, BootTime aAt);
  // A longer wait counts from now on; a shorter one is ignored.
  void ExtendGrowthDelay(std::chrono::nanoseconds aGrowthDelay);

  // The share in force.
  Share Current(BootTime aNow);
  // True when some split is known to hold everywhere.
  bool Settled(BootTime aNow);
  // When the share in force may change by itself; the largest time when never.
  BootTime NextChange(BootTime aNow) const;
  // True when the budget is absent and no VM can still be using any split of it.
  bool IsAbsentEverywhere(BootTime aNow);

private:
  struct Split
  {
    std::uint64_t revision = 0;
    std::optional<Share> share;
    std::optional<BootTime> acceptedAt;
  };

  void RecordAcceptance();
  void DropSuperseded(BootTime aNow);
  bool IsEffective(const Split& aSplit, BootTime aNow) const;

  std::chrono::nanoseconds growthDelay;
  std::deque<Split> splits;
  std::uint64_t lastRevision = 0;
  std::uint64_t acceptedRevision = 0;
  BootTime acceptedAt{};
};

} // namespace plantainhaven
