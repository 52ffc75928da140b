#include "policy/view/evidence.h"

#include <algorithm>
#include <functional>

namespace plantainhaven {

namespace {

// Upper bound on the observations stored for revisions that aren't applied yet.
constexpr std::size_t kMaxPendingObservations = 256;

} // namespace

void
HeadObservations::Add(BootTime aTime, Revision aRevision, Revision aApplied)
{
  if (this->newest && aTime <= *this->newest) {
    return;
  }
  if (aRevision <= aApplied) {
    this->newest = aTime;
    return;
  }
  AddPending({ aTime, aRevision });
}

void
HeadObservations::AddPending(const Observation& aObservation)
{
  const auto next = std::find_if(
    this->pending.begin(), this->pending.end(), [&aObservation](const Observation& aOther) {
      return aOther.revision > aObservation.revision;
    });
  if (next != this->pending.begin() && std::prev(next)->time >= aObservation.time) {
    return;
  }
  this->pending.insert(next, aObservation);
  // An observation of the same or a higher revision that isn't newer adds no information.
  const auto superseded = [&aObservation](const Observation& aOther) {
    const bool same = aOther.revision == aObservation.revision && aOther.time == aObservation.time;
    return !same && aOther.revision >= aObservation.revision && aOther.time <= aObservation.time;
  };
  std::erase_if(this->pending, superseded);
  if (this->pending.size() > kMaxPendingObservations) {
    this->pending.erase(this->pending.begin());
  }
}

void
HeadObservations::ApplyPending(Revision aApplied)
{
  auto observation = this->pending.begin();
  while (observation != this->pending.end() && observation->revision <= aApplied) {
    this->newest = std::max(this->newest.value_or(observation->time), observation->time);
    ++observation;
  }
  this->pending.erase(this->pending.begin(), observation);
}

const std::optional<BootTime>&
HeadObservations::Newest() const
{
  return this->newest;
}

void
Evidence::OnVoterAnswer(const std::string& aVoter,
                        BootTime aSentAt,
                        Revision aHead,
                        Revision aApplied)
{
  this->answers[aVoter].Add(aSentAt, aHead, aApplied);
}

void
Evidence::OnHeadBound(BootTime aTime, Revision aRevision, Revision aApplied)
{
  this->headBounds.Add(aTime, aRevision, aApplied);
}

void
Evidence::Update(const std::vector<std::string>& aVoters,
                 const std::string& aSelf,
                 std::optional<BootTime> aOwnVoteTime,
                 Revision aApplied)
{
  this->headBounds.ApplyPending(aApplied);
  std::vector<BootTime> times;
  for (const std::string& voter : aVoters) {
    if (voter == aSelf) {
      if (aOwnVoteTime) {
        times.push_back(*aOwnVoteTime);
      }
      continue;
    }
    const auto found = this->answers.find(voter);
    if (found == this->answers.end()) {
      continue;
    }
    found->second.ApplyPending(aApplied);
    if (found->second.Newest()) {
      times.push_back(*found->second.Newest());
    }
  }
  const std::size_t majority = aVoters.size() / 2 + 1;
  if (times.size() < majority) {
    return;
  }
  // Of the majority with the newest polls, the earliest poll determines the evidence's age.
  std::sort(times.begin(), times.end(), std::greater<>());
  OnHeadBound(times[majority - 1], aApplied, aApplied);
}

const std::optional<BootTime>&
Evidence::Newest() const
{
  return this->headBounds.Newest();
}

} // namespace plantainhaven
