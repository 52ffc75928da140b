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
Voter::OnTableRead(BootTime aAskedAt)
{
  if (aAskedAt >= this->start) {
    this->voting = true;
  }
}

void
Voter::OnEvidence(const std::optional<BootTime>& aDate)
{
  if (aDate && *aDate >= this->start + kRecoveryWait) {
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
