#pragma once

#include "plantainhaven/common/time.h"
#include "plantainhaven/policy/config/configuration.h"

#include <map>
#include <string>
#include <vector>

namespace plantainhaven {

// Counts acknowledgements. A revision is accepted when a majority of every voter list
// in force from the last accepted revision up to it has acknowledged it.
class Acceptance
{
public:
  explicit Acceptance(std::string aSelf);

  // The base, which is accepted, and its voters.
  void OnBase(Revision aRevision, const std::vector<std::string>& aVoters, BootTime aNow);
  // Voters in force from `aRevision` on.
  void OnVoters(Revision aRevision, const std::vector<std::string>& aVoters);
  void OnApplied(Revision aRevision);
  // A voter that was asked at `aAskedAt` answered, as voting, that it knows `aHead`.
  void OnAcknowledged(const std::string& aVoter, BootTime aSentAt, Revision aHead);
  // The own acknowledgement, which is always present: 0 while recovering.
  void OnOwnHead(Revision aHead);
  // A peer knows that `aRevision` is accepted.
  void OnPeerAccepted(Revision aRevision, BootTime aNow);
  // Counts again. Call after each batch of the events above.
  void Update(BootTime aNow);

  Revision Accepted() const;
  BootTime AcceptedAt() const;
  std::vector<std::string> MissingVoters(Revision aRevision, BootTime aNow) const;
  // Voters of every list that still counts, without duplicates.
  std::vector<std::string> AllVoters() const;

private:
  struct VoterList
  {
    Revision from = 0;
    std::vector<std::string> voters;
  };
  struct Acknowledgement
  {
    BootTime sentAt;
    Revision head = 0;
  };

  Revision AcknowledgedBy(const std::string& aVoter, BootTime aNow) const;
  Revision MajorityHead(const VoterList& aList, BootTime aNow) const;
  void RaiseAccepted(Revision aRevision, BootTime aNow);
  void DropOldLists();

  std::string self;
  Revision applied = 0;
  Revision accepted = 0;
  BootTime acceptedAt{};
  Revision ownHead = 0;
  // Ascending; the first is in force at the last accepted applied revision.
  std::vector<VoterList> voterLists;
  std::map<std::string, Acknowledgement> acknowledgements;
};

} // namespace plantainhaven
