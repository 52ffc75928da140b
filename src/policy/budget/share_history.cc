#include "policy/budget/share_history.h"

#include <algorithm>

namespace plantainhaven {

ShareHistory::ShareHistory(std::chrono::nanoseconds aGrowthDelay)
  : growthDelay(aGrowthDelay)
{
}

void
ShareHistory::OnShare(std::uint64_t aRevision, const std::optional<Share>& aShare)
{
  if (aRevision <= this->lastRevision) {
    return;
  }
  if (aRevision != this->lastRevision + 1) {
    this->splits.clear();
  }
  this->lastRevision = aRevision;
  if (!this->splits.empty() && this->splits.back().share == aShare) {
    return;
  }
  this->splits.push_back(Split{ aRevision, aShare, std::nullopt });
  this->RecordAcceptance();
}

void
ShareHistory::OnAbsent(std::uint64_t aFrom, std::uint64_t aThrough)
{
  if (aThrough <= this->lastRevision) {
    return;
  }
  this->OnShare(aFrom, std::nullopt);
  this->lastRevision = aThrough;
}

void
ShareHistory::OnAccepted(std::uint64_t aAccepted, BootTime aAt)
{
  if (aAccepted <= this->acceptedRevision) {
    return;
  }
  this->acceptedRevision = aAccepted;
  this->acceptedAt = aAt;
  this->RecordAcceptance();
}

void
ShareHistory::ExtendGrowthDelay(std::chrono::nanoseconds aGrowthDelay)
{
  this->growthDelay = std::max(this->growthDelay, aGrowthDelay);
}

void
ShareHistory::RecordAcceptance()
{
  for (Split& split : this->splits) {
    if (!split.acceptedAt && split.revision <= this->acceptedRevision) {
      split.acceptedAt = this->acceptedAt;
    }
  }
}

bool
ShareHistory::IsEffective(const Split& aSplit, BootTime aNow) const
{
  return aSplit.acceptedAt && *aSplit.acceptedAt + this->growthDelay <= aNow;
}

void
ShareHistory::DropSuperseded(BootTime aNow)
{
  while (this->splits.size() > 1 && this->IsEffective(this->splits[1], aNow)) {
    this->splits.pop_front();
  }
}

bool
ShareHistory::Settled(BootTime aNow)
{
  this->DropSuperseded(aNow);
  return !this->splits.empty() && this->IsEffective(this->splits.front(), aNow);
}

Share
ShareHistory::Current(BootTime aNow)
{
  this->DropSuperseded(aNow);
  if (this->splits.empty() || !this->IsEffective(this->splits.front(), aNow)) {
    return Share{};
  }
  // No VM can hold a share of a new budget from before the first revision that lists it.
  const bool isNew = !this->splits.front().share && this->splits.size() > 1;
  const std::size_t first = isNew ? 1 : 0;
  Share current = this->splits[first].share.value_or(Share{});
  for (std::size_t i = first; i < this->splits.size(); ++i) {
    const Share share = this->splits[i].share.value_or(Share{});
    current.ratePerSecond = std::min(current.ratePerSecond, share.ratePerSecond);
    current.capacity = std::min(current.capacity, share.capacity);
  }
  return current;
}

BootTime
ShareHistory::NextChange(BootTime aNow) const
{
  BootTime next = BootTime::max();
  for (const Split& split : this->splits) {
    if (split.acceptedAt && !this->IsEffective(split, aNow)) {
      next = std::min(next, *split.acceptedAt + this->growthDelay);
    }
  }
  return next;
}

bool
ShareHistory::IsAbsentEverywhere(BootTime aNow)
{
  this->DropSuperseded(aNow);
  return this->splits.size() == 1 && !this->splits.front().share &&
         this->IsEffective(this->splits.front(), aNow);
}

} // namespace plantainhaven
