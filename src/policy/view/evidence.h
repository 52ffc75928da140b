#pragma once

#include "plantainhaven/common/time.h"
#include "plantainhaven/policy/config/configuration.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace plantainhaven {

// Observations "the head was `revision` at `time`", where the time is that of sending the
// poll. An observation of a revision that isn't applied yet is stored until it is applied.
class HeadObservations
{
public:
  // Adds an observation. The order doesn't matter, and duplicates have no effect.
  void Add(BootTime aTime, Revision aRevision, Revision aApplied);
  // Processes the stored observations of revisions up to `aApplied`.
  void ApplyPending(Revision aApplied);
  // Time of the newest observation of an applied revision; empty if there is none.
  const std::optional<BootTime>& Newest() const;

private:
  struct Observation
  {
    BootTime time;
    Revision revision = 0;
  };

  void AddPending(const Observation& aObservation);

  std::optional<BootTime> newest;
  // Ascending by revision and by time: observations that break this order add no
  // information and are removed.
  std::vector<Observation> pending;
};

// Collects one VM's evidence that its configuration is up to date: the latest time for
// which it is proven that every revision accepted before that time is applied here.
class Evidence
{
public:
  // A voter that isn't recovering answered a poll sent at `aSentAt` with `aHead`.
  void OnVoterAnswer(const std::string& aVoter,
                     BootTime aSentAt,
                     Revision aHead,
                     Revision aApplied);
  // Every revision accepted before `aTime` is at most `aRevision`. This is known from a
  // head read from the table or from the evidence of a voter.
  void OnHeadBound(BootTime aTime, Revision aRevision, Revision aApplied);
  // Recomputes the evidence from the voters in force at `aApplied`. `aOwnVoteTime` is the
  // current time if this VM isn't recovering and has applied its known head, else empty.
  void Update(const std::vector<std::string>& aVoters,
              const std::string& aSelf,
              std::optional<BootTime> aOwnVoteTime,
              Revision aApplied);
  // Time of the newest evidence; empty if there is none.
  const std::optional<BootTime>& Newest() const;

private:
  std::map<std::string, HeadObservations> answers;
  HeadObservations headBounds;
};

} // namespace plantainhaven
