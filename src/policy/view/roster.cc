#include "policy/view/roster.h"

#include <algorithm>
#include <functional>
#include <tuple>
#include <utility>

namespace plantainhaven {

namespace {

bool
IsSame(const FleetMember& aLeft, const FleetMember& aRight)
{
  const auto fields = [](const FleetMember& aMember) {
    return std::tie(
      aMember.name, aMember.endpoint, aMember.failureDomain, aMember.incarnation, aMember.leaving);
  };
  return fields(aLeft) == fields(aRight);
}

} // namespace

Roster::Roster(std::string aSelf)
  : self(std::move(aSelf))
  , pollCount(std::hash<std::string>()(this->self))
{
}

bool
Roster::SetMembers(const std::vector<FleetMember>& aMembers,
                   const std::vector<std::string>& aRetainedVoters)
{
  const bool same = std::equal(
    this->members.begin(), this->members.end(), aMembers.begin(), aMembers.end(), IsSame);
  if (same) {
    return false;
  }
  std::map<std::string, std::string> next;
  for (const std::string& name : aRetainedVoters) {
    next[name] = EndpointOf(name);
  }
  for (const FleetMember& member : aMembers) {
    next[member.name] = member.endpoint;
  }
  this->endpoints = std::move(next);
  this->members = aMembers;
  this->voters = VotersOf(aMembers);
  this->domainVoter = FindDomainVoter();
  return true;
}

const std::vector<FleetMember>&
Roster::Members() const
{
  return this->members;
}

const std::vector<std::string>&
Roster::Voters() const
{
  return this->voters;
}

bool
Roster::IsSelfVoter() const
{
  return std::binary_search(this->voters.begin(), this->voters.end(), this->self);
}

std::string
Roster::EndpointOf(const std::string& aName) const
{
  const auto found = this->endpoints.find(aName);
  return found == this->endpoints.end() ? std::string() : found->second;
}

std::string
Roster::DomainOf(const std::string& aName) const
{
  for (const FleetMember& member : this->members) {
    if (member.name == aName) {
      return member.failureDomain;
    }
  }
  return {};
}

std::set<std::string>
Roster::ExpectedHeartbeats() const
{
  if (!IsSelfVoter()) {
    return {};
  }
  std::set<std::string> expected(this->voters.begin(), this->voters.end());
  const std::string domain = DomainOf(this->self);
  for (const FleetMember& member : this->members) {
    if (member.failureDomain == domain) {
      expected.insert(member.name);
    }
  }
  expected.erase(this->self);
  return expected;
}

std::string
Roster::FindDomainVoter() const
{
  const std::string domain = DomainOf(this->self);
  for (const std::string& voter : this->voters) {
    if (!domain.empty() && DomainOf(voter) == domain) {
      return voter;
    }
  }
  return {};
}

std::string
Roster::NextVoterToPoll()
{
  if (this->voters.empty()) {
    return {};
  }
  this->pollCount += 1;
  const std::string preferred = this->pollCount % 2 == 0 ? this->domainVoter : std::string();
  return preferred.empty() ? this->voters[this->pollCount / 2 % this->voters.size()] : preferred;
}

} // namespace plantainhaven
