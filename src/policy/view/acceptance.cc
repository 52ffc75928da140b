#include "policy/view/acceptance.h"

#include "policy/view/limits.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <limits>
#include <set>
#include <utility>

namespace plantainhaven {

Acceptance::Acceptance(std::string aSelf)
  : self(std::move(aSelf))
{
}

void
Acceptance::OnBase(Revision aRevision, const std::vector<std::string>& aVoters, BootTime aNow)
{
  this->lists = { { aRevision, aVoters } };
  this->acceptedAt = aNow;
  OnApplied(aRevision);
  Raise(aRevision, aNow);
}

void
Acceptance::OnVoters(Revision aRevision, const std::vector<std::string>& aVoters)
{
  if (!this->lists.empty() && this->lists.back().voters == aVoters) {
    return;
  }
  this->lists.push_back({ aRevision, aVoters });
}

void
Acceptance::OnApplied(Revision aRevision)
{
  this->applied = std::max(this->applied, aRevision);
}

void
Acceptance::OnAcknowledged(const std::string& aVoter, BootTime aAskedAt, Revision aHead)
{
  Acknowledgement& last = this->acknowledgements[aVoter];
  if (aAskedAt >= last.askedAt) {
    last = { aAskedAt, aHead };
  }
}

void
Acceptance::OnOwnHead(Revision aHead)
{
  this->ownHead = aHead;
}

void
Acceptance::OnLearned(Revision aRevision, BootTime aNow)
{
  Raise(aRevision, aNow);
}

void
Acceptance::Raise(Revision aRevision, BootTime aNow)
{
  if (aRevision > this->accepted) {
    this->accepted = aRevision;
    this->acceptedAt = aNow;
  }
}

Revision
Acceptance::AcknowledgedBy(const std::string& aVoter, BootTime aNow) const
{
  if (aVoter == this->self) {
    return this->ownHead;
  }
  const auto found = this->acknowledgements.find(aVoter);
  if (found == this->acknowledgements.end() ||
      aNow - found->second.askedAt > kAcknowledgementWindow) {
    return 0;
  }
  return found->second.head;
}

Revision
Acceptance::MajorityHead(const VoterList& aList, BootTime aNow) const
{
  if (aList.voters.empty()) {
    return std::numeric_limits<Revision>::max();
  }
  std::vector<Revision> heads;
  heads.reserve(aList.voters.size());
  for (const std::string& voter : aList.voters) {
    heads.push_back(AcknowledgedBy(voter, aNow));
  }
  std::sort(heads.begin(), heads.end(), std::greater<>());
  return heads[heads.size() / 2];
}

void
Acceptance::Count(BootTime aNow)
{
  Revision acknowledged = this->applied;
  Revision best = 0;
  for (std::size_t i = 0; i < this->lists.size() && this->accepted < this->applied; ++i) {
    acknowledged = std::min(acknowledged, MajorityHead(this->lists[i], aNow));
    const bool last = i + 1 == this->lists.size();
    const Revision end = last ? this->applied : this->lists[i + 1].from - 1;
    const Revision reached = std::min(acknowledged, end);
    if (reached >= this->lists[i].from) {
      best = std::max(best, reached);
    }
  }
  Raise(best, aNow);
  DropOldLists();
}

void
Acceptance::DropOldLists()
{
  const Revision reached = std::min(this->accepted, this->applied);
  while (this->lists.size() > 1 && this->lists[1].from <= reached) {
    this->lists.erase(this->lists.begin());
  }
}

Revision
Acceptance::Accepted() const
{
  return this->accepted;
}

BootTime
Acceptance::AcceptedAt() const
{
  return this->acceptedAt;
}

std::vector<std::string>
Acceptance::Missing(Revision aRevision, BootTime aNow) const
{
  std::set<std::string> missing;
  for (const VoterList& list : this->lists) {
    if (aRevision <= this->accepted || list.from > aRevision) {
      break;
    }
    const auto lacks = [&](const std::string& aVoter) {
      return AcknowledgedBy(aVoter, aNow) < aRevision;
    };
    std::copy_if(
      list.voters.begin(), list.voters.end(), std::inserter(missing, missing.end()), lacks);
  }
  return { missing.begin(), missing.end() };
}

std::vector<std::string>
Acceptance::AllVoters() const
{
  std::set<std::string> all;
  for (const VoterList& list : this->lists) {
    all.insert(list.voters.begin(), list.voters.end());
  }
  return { all.begin(), all.end() };
}

} // namespace plantainhaven
