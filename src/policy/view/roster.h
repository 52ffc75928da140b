#pragma once

#include "plantainhaven/policy/view/fleet_view.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace plantainhaven {

// The member list in force and what follows from it: who votes, who tells whom that it
// is alive, and where messages go.
class Roster
{
public:
  explicit Roster(std::string aSelf);

  // Takes a list; false when it equals the one in force. Endpoints of `aKept`, voters of
  // earlier lists that still count, stay known.
  bool SetMembers(const std::vector<FleetMember>& aMembers,
                  const std::vector<std::string>& aRetainedVoters);

  const std::vector<FleetMember>& Members() const;
  const std::vector<std::string>& Voters() const;
  bool IsSelfVoter() const;
  // Empty when it isn't known.
  std::string EndpointOf(const std::string& aName) const;
  // Members whose heartbeats must reach this VM: for a voter every other voter and the
  // members of its failure domain that aren't voters; none for others.
  std::set<std::string> ExpectedHeartbeats() const;
  // The voter that a VM which is no voter asks next: in turns the one of its own failure
  // domain, which watches it, and one of the others. Empty when there is none.
  std::string NextVoterToPoll();

private:
  std::string FindDomainVoter() const;
  std::string DomainOf(const std::string& aName) const;

  std::string self;
  std::vector<FleetMember> members;
  std::vector<std::string> voters;
  std::map<std::string, std::string> endpoints;
  // Voter of the own failure domain; empty when there is none.
  std::string domainVoter;
  // Begins at another place on each VM, so that they don't all ask the same voter at once.
  std::size_t pollCount;
};

} // namespace plantainhaven
