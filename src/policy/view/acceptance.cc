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
  this->voterLists = { { aRevision, aVoters } };
  this->acceptedAt = aNow;
  OnApplied(aRevision);
  RaiseAccepted(aRevision, aNow);
}

void
Acceptance::OnVoters(Revision aRevision, const std::vector<std::string>& aVoters)
{
  if (!this->voterLists.empty() && this->voterLists.back().voters == aVoters) {
    return;
  }
  this->voterLists.push_back({ aRevision, aVoters });
}

void
Acceptance::OnApplied(Revision aRevision)
{
  this->applied = std::max(this->applied, aRevision);
}

void
Acceptance::OnAcknowledged(const std::string& aVoter, BootTime aSentAt, Revision aHead)
{
  Acknowledgement& last = this->acknowledgements[aVoter];
  if (aSentAt >= last.sentAt) {
    last = { aSentAt, aHead };
  }
}

void
Acceptance::OnOwnHead(Revision aHead)
{
  this->ownHead = aHead;
}

void
Acceptance::OnPeerAccepted(Revision aRevision, BootTime aNow)
{
  RaiseAccepted(aRevision, aNow);
}

void
Acceptance::RaiseAccepted(Revision aRevision, BootTime aNow)
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
      aNow - found->second.sentAt > kAcknowledgementWindow) {
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
Acceptance::Update(BootTime aNow)
{
  Revision acknowledged = this->applied;
  Revision newAccepted = 0;
  for (std::size_t i = 0; i < this->voterLists.size() && this->accepted < this->applied; ++i) {
    acknowledged = std::min(acknowledged, MajorityHead(this->voterLists[i], aNow));
    const bool last = i + 1 == this->voterLists.size();
    const Revision end = last ? this->applied : this->voterLists[i + 1].from - 1;
    const Revision reached = std::min(acknowledged, end);
    if (reached >= this->voterLists[i].from) {
      newAccepted = std::max(newAccepted, reached);
    }
  }
  RaiseAccepted(newAccepted, aNow);
  DropOldLists();
}

void
Acceptance::DropOldLists()
{
  const Revision reached = std::min(this->accepted, this->applied);
  while (this->voterLists.size() > 1 && this->voterLists[1].from <= reached) {
    this->voterLists.erase(this->voterLists.begin());
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
Acceptance::MissingVoters(Revision aRevision, BootTime aNow) const
{
  std::set<std::string> missing;
  for (const VoterList& list : this->voterLists) {
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
  for (const VoterList& list : this->voterLists) {
    all.insert(list.voters.begin(), list.voters.end());
  }
  return { all.begin(), all.end() };
}

} // namespace plantainhaven
