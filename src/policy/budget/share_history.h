#pragma once

#include "plantainhaven/common/time.h"
#include "plantainhaven/policy/budget/shares.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>

namespace plantainhaven {

// Decides which share of one budget this VM may use while revisions are applied and
// accepted. A revision is effective once it has been known to be accepted for the growth
// delay. Another VM may use any split from the newest effective revision on, so the share
// in effect is the smallest share of all those revisions: a smaller share applies at once,
// a larger one when its revision is effective.
class ShareHistory
{
public:
  explicit ShareHistory(std::chrono::nanoseconds aGrowthDelay);

  // Records the share of the next revision; no value when it doesn't list the budget. After
  // a gap in revisions all earlier splits are dropped, and the share stays empty until this
  // revision is effective.
  void OnShare(std::uint64_t aRevision, const std::optional<Share>& aShare);
  // Records that no revision from `aFrom` to `aThrough` lists the budget.
  void OnAbsent(std::uint64_t aFrom, std::uint64_t aThrough);
  // Records that revision `aAccepted` was known to be accepted at `aAt`.
  void OnAccepted(std::uint64_t aAccepted, BootTime aAt);
  // Sets a longer growth delay; a shorter one is ignored.
  void ExtendGrowthDelay(std::chrono::nanoseconds aGrowthDelay);

  // The share in effect.
  Share Current(BootTime aNow);
  // True when some split is known to apply on all VMs.
  bool Settled(BootTime aNow);
  // When the share in effect may change by the passage of time; the largest time if never.
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
