#include "policy/view/voter.h"

#include "policy/view/limits.h"

#include <algorithm>

namespace plantainhaven {

Voter::Voter(BootTime aStart)
  : start(aStart)
{
}

void
Voter::OnHead(Revision aHead)
{
  this->head = std::max(this->head, aHead);
}

void
Voter::OnTableRead(BootTime aSentAt)
{
  if (aSentAt >= this->start) {
    this->voting = true;
  }
}

void
Voter::OnEvidence(const std::optional<BootTime>& aTime)
{
  if (aTime && *aTime >= this->start + kRecoveryWait) {
    this->voting = true;
  }
}

bool
Voter::IsVoting() const
{
  return this->voting;
}

Revision
Voter::Head() const
{
  return this->head;
}

} // namespace plantainhaven
