#pragma once

#include "plantainhaven/policy/view/fleet_view.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace plantainhaven {

// The member list in force and what is derived from it: the voters, the expected
// heartbeats and the endpoints of members.
class Roster
{
public:
  explicit Roster(std::string aSelf);

  // Sets the member list. Returns false if it equals the one in force. The endpoints of
  // `aRetainedVoters`, voters of earlier lists that acceptance still depends on, are kept.
  bool SetMembers(const std::vector<FleetMember>& aMembers,
                  const std::vector<std::string>& aRetainedVoters);

  const std::vector<FleetMember>& Members() const;
  const std::vector<std::string>& Voters() const;
  bool IsSelfVoter() const;
  // Empty if the endpoint isn't known.
  std::string EndpointOf(const std::string& aName) const;
  // Members that must send heartbeats to this VM. For a voter these are all other voters
  // and the members of its failure domain. For a VM that is no voter there are none.
  std::set<std::string> ExpectedHeartbeats() const;
  // The next voter to poll for a VM that is no voter. Alternates between the voter of its own
  // failure domain, which monitors this VM, and a rotation over all voters. Empty if there
  // are no voters.
  std::string NextVoterToPoll();

private:
  std::string FindDomainVoter() const;
  std::string DomainOf(const std::string& aName) const;

  std::string self;
  std::vector<FleetMember> members;
  std::vector<std::string> voters;
  std::map<std::string, std::string> endpoints;
  // Voter in this VM's failure domain; empty if there is none.
  std::string domainVoter;
  // Starts from a hash of this VM's name, so that VMs don't all poll the same voter at once.
  std::size_t pollCount;
};

} // namespace plantainhaven
