#pragma once

#include "plantainhaven/common/time.h"
#include "plantainhaven/policy/config/configuration.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace plantainhaven {

// Statements "the head was `revision`", each dated by the ask that brought it. One whose
// revision isn't applied yet is kept until it is.
class HeadObservations
{
public:
  // Adds a statement; order doesn't matter and duplicates change nothing.
  void Add(BootTime aTime, Revision aRevision, Revision aApplied);
  // Takes in the kept statements that `aApplied` covers.
  void ApplyPending(Revision aApplied);
  // Date of the newest statement with an applied revision; empty when there is none.
  const std::optional<BootTime>& Newest() const;

private:
  struct Observation
  {
    BootTime time;
    Revision revision = 0;
  };

  void AddPending(const Observation& aObservation);

  std::optional<BootTime> newest;
  // Ascending in revision and, as others are of no use, in date.
  std::vector<Observation> pending;
};

// Evidence as one VM collects it. The newest date that it can prove is that of
// the newest fact "every revision accepted before this date is applied here".
class Evidence
{
public:
  // A voter answered an ask of `aAskedAt` with `aHead`, as voting.
  void OnVoterAnswer(const std::string& aVoter,
                     BootTime aSentAt,
                     Revision aHead,
                     Revision aApplied);
  // Every revision accepted before `aDate` is at most `aRevision`: a head read from the
  // table, or what a voter passed on.
  void OnHeadBound(BootTime aTime, Revision aRevision, Revision aApplied);
  // Counts the voters in force at `aApplied` again. `aOwnVote` is the present time
  // when this VM is a voter that votes with an applied head.
  void Update(const std::vector<std::string>& aVoters,
              const std::string& aSelf,
              std::optional<BootTime> aOwnVoteTime,
              Revision aApplied);
  // Date of the newest proven fact; empty when there is none.
  const std::optional<BootTime>& Newest() const;

private:
  std::map<std::string, HeadObservations> answers;
  HeadObservations headBounds;
};

} // namespace plantainhaven
