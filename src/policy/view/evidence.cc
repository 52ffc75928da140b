#include "policy/view/evidence.h"

#include <algorithm>
#include <functional>

namespace plantainhaven {

namespace {

// Statements kept for revisions that aren't applied yet.
constexpr std::size_t kMaxPending = 256;

} // namespace

void
DatedHeads::Add(BootTime aDate, Revision aRevision, Revision aApplied)
{
  if (this->newest && aDate <= *this->newest) {
    return;
  }
  if (aRevision <= aApplied) {
    this->newest = aDate;
    return;
  }
  Keep({ aDate, aRevision });
}

void
DatedHeads::Keep(const Statement& aStatement)
{
  const auto next = std::find_if(
    this->pending.begin(), this->pending.end(), [&aStatement](const Statement& aOther) {
      return aOther.revision > aStatement.revision;
    });
  if (next != this->pending.begin() && std::prev(next)->date >= aStatement.date) {
    return;
  }
  this->pending.insert(next, aStatement);
  // A statement of the same or a higher revision with no newer date adds nothing.
  const auto covered = [&aStatement](const Statement& aOther) {
    const bool same = aOther.revision == aStatement.revision && aOther.date == aStatement.date;
    return !same && aOther.revision >= aStatement.revision && aOther.date <= aStatement.date;
  };
  std::erase_if(this->pending, covered);
  if (this->pending.size() > kMaxPending) {
    this->pending.erase(this->pending.begin());
  }
}

void
DatedHeads::Settle(Revision aApplied)
{
  auto statement = this->pending.begin();
  while (statement != this->pending.end() && statement->revision <= aApplied) {
    this->newest = std::max(this->newest.value_or(statement->date), statement->date);
    ++statement;
  }
  this->pending.erase(this->pending.begin(), statement);
}

const std::optional<BootTime>&
DatedHeads::Newest() const
{
  return this->newest;
}

void
Evidence::OnVoterAnswer(const std::string& aVoter,
                        BootTime aAskedAt,
                        Revision aHead,
                        Revision aApplied)
{
  this->answers[aVoter].Add(aAskedAt, aHead, aApplied);
}

void
Evidence::OnFact(BootTime aDate, Revision aRevision, Revision aApplied)
{
  this->facts.Add(aDate, aRevision, aApplied);
}

void
Evidence::Count(const std::vector<std::string>& aVoters,
                const std::string& aSelf,
                std::optional<BootTime> aOwnVote,
                Revision aApplied)
{
  this->facts.Settle(aApplied);
  std::vector<BootTime> dates;
  for (const std::string& voter : aVoters) {
    if (voter == aSelf) {
      if (aOwnVote) {
        dates.push_back(*aOwnVote);
      }
      continue;
    }
    const auto found = this->answers.find(voter);
    if (found == this->answers.end()) {
      continue;
    }
    found->second.Settle(aApplied);
    if (found->second.Newest()) {
      dates.push_back(*found->second.Newest());
    }
  }
  const std::size_t majority = aVoters.size() / 2 + 1;
  if (dates.size() < majority) {
    return;
  }
  // The majority with the newest asks; its earliest ask dates the evidence.
  std::sort(dates.begin(), dates.end(), std::greater<>());
  OnFact(dates[majority - 1], aApplied, aApplied);
}

const std::optional<BootTime>&
Evidence::Newest() const
{
  return this->facts.Newest();
}

} // namespace plantainhaven
