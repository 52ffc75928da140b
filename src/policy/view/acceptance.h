#pragma once

#include "plantainhaven/common/time.h"
#include "plantainhaven/policy/config/configuration.h"

#include <map>
#include <string>
#include <vector>

namespace plantainhaven {

// Determines accepted revisions from acknowledgements. A revision is accepted once it is
// acknowledged by a majority of each voter list that was in force at any revision from
// the last accepted one up to it.
class Acceptance
{
public:
  explicit Acceptance(std::string aSelf);

  // Sets the base revision, which is accepted by definition, and its voters.
  void OnBase(Revision aRevision, const std::vector<std::string>& aVoters, BootTime aNow);
  // Sets the voters in force from `aRevision` on.
  void OnVoters(Revision aRevision, const std::vector<std::string>& aVoters);
  void OnApplied(Revision aRevision);
  // `aVoter`, which isn't recovering, answered the poll sent at `aSentAt` with its known
  // head `aHead`.
  void OnAcknowledged(const std::string& aVoter, BootTime aSentAt, Revision aHead);
  // Sets the acknowledgement of this VM, which doesn't expire: 0 while recovering.
  void OnOwnHead(Revision aHead);
  // A peer reported `aRevision` as accepted.
  void OnPeerAccepted(Revision aRevision, BootTime aNow);
  // Recomputes the accepted revision. Call after each batch of the events above.
  void Update(BootTime aNow);

  Revision Accepted() const;
  BootTime AcceptedAt() const;
  std::vector<std::string> MissingVoters(Revision aRevision, BootTime aNow) const;
  // Voters of all lists that acceptance still depends on, without duplicates.
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
  // Ascending by revision. The first list is in force at the lower of the accepted and the
  // applied revision.
  std::vector<VoterList> voterLists;
  std::map<std::string, Acknowledgement> acknowledgements;
};

} // namespace plantainhaven
