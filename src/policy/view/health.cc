#include "policy/view/health.h"

#include "policy/view/limits.h"

#include <algorithm>
#include <utility>

namespace plantainhaven {

Health::Health(const FleetViewOptions& aOptions)
  : self(aOptions.self)
  , deadAfter(aOptions.deadAfter)
  , reconnectAfter(aOptions.reconnectAfter)
{
}

void
Health::OnMembers(const std::vector<FleetMember>& aMembers,
                  const std::set<std::string>& aExpectedHeartbeats,
                  BootTime aNow)
{
  std::map<std::string, Member> next;
  for (const FleetMember& listed : aMembers) {
    if (listed.name == this->self) {
      continue;
    }
    const auto known = this->members.find(listed.name);
    Member member = known == this->members.end() ? Member{} : std::move(known->second);
    member.name = listed.name;
    member.configuredLeaving = listed.leaving;
    member.incarnation = std::max(member.incarnation, listed.incarnation);
    if (!aExpectedHeartbeats.contains(listed.name)) {
      member.heartbeatExpectedSince.reset();
    } else if (!member.heartbeatExpectedSince) {
      member.heartbeatExpectedSince = aNow;
    }
    next[listed.name] = std::move(member);
  }
  this->members = std::move(next);
}

bool
Health::OnIncarnation(const std::string& aFrom, std::uint64_t aIncarnation)
{
  const auto found = this->members.find(aFrom);
  if (found == this->members.end()) {
    return true;
  }
  Member& member = found->second;
  if (aIncarnation < member.incarnation) {
    return false;
  }
  if (aIncarnation > member.incarnation) {
    member.incarnation = aIncarnation;
    member.report = {};
  }
  return true;
}

void
Health::OnReport(const std::string& aFrom, const MemberReport& aReport, BootTime aNow)
{
  const auto found = this->members.find(aFrom);
  if (found == this->members.end()) {
    return;
  }
  Member& member = found->second;
  member.report.applied = std::max(member.report.applied, aReport.applied);
  member.report.fresh = aReport.fresh;
  member.report.leaving = member.report.leaving || aReport.leaving;
  member.lastReportAt = aNow;
}

void
Health::OnPollSent(const std::string& aTo, const std::string& aEndpoint, BootTime aNow)
{
  const auto found = this->members.find(aTo);
  if (found == this->members.end()) {
    return;
  }
  Member& member = found->second;
  if (!member.unansweredSince || member.polledEndpoint != aEndpoint) {
    member.unansweredSince = aNow;
    member.polledEndpoint = aEndpoint;
  }
}

void
Health::OnPollAnswered(const std::string& aFrom)
{
  const auto found = this->members.find(aFrom);
  if (found != this->members.end()) {
    found->second.unansweredSince.reset();
  }
}

void
Health::OnVmList(const VmListAnswer& aList)
{
  this->vmListReceived = true;
  for (auto& [name, listing] : this->listings) {
    listing = Listing::kDelisted;
  }
  for (const VmListEntry& entry : aList.vms()) {
    this->listings[entry.name()] = entry.leaving() ? Listing::kLeaving : Listing::kListed;
  }
}

void
Health::OnPaused(BootTime aNow)
{
  for (auto& [name, member] : this->members) {
    if (member.heartbeatExpectedSince) {
      member.heartbeatExpectedSince = aNow;
    }
    member.unansweredSince.reset();
  }
}

Health::Listing
Health::ListingOf(const std::string& aName) const
{
  const auto found = this->listings.find(aName);
  return found == this->listings.end() ? Listing::kNeverListed : found->second;
}

bool
Health::IsLeaving(const Member& aMember) const
{
  return aMember.configuredLeaving || aMember.report.leaving ||
         ListingOf(aMember.name) == Listing::kLeaving;
}

bool
Health::IsSilent(const Member& aMember, Nanoseconds aFor, BootTime aNow) const
{
  if (!aMember.heartbeatExpectedSince) {
    return false;
  }
  const BootTime since = std::max(*aMember.heartbeatExpectedSince,
                                  aMember.lastReportAt.value_or(*aMember.heartbeatExpectedSince));
  return aNow - since >= aFor;
}

bool
Health::IsDead(const Member& aMember, BootTime aNow) const
{
  const Listing listing = ListingOf(aMember.name);
  if (listing == Listing::kDelisted || IsLeaving(aMember)) {
    return IsSilent(aMember, this->deadAfter, aNow);
  }
  const bool unlisted = this->vmListReceived && listing == Listing::kNeverListed;
  return unlisted && IsSilent(aMember, kNeverListedDeadAfter, aNow);
}

std::vector<MemberHealth>
Health::Members(BootTime aNow) const
{
  std::vector<MemberHealth> all;
  for (const auto& [name, member] : this->members) {
    MemberHealth health;
    health.name = name;
    health.appliedRevision = member.report.applied;
    health.alive = member.lastReportAt && aNow - *member.lastReportAt < this->deadAfter;
    health.fresh = health.alive && member.report.fresh;
    health.leaving = IsLeaving(member);
    all.push_back(std::move(health));
  }
  return all;
}

std::vector<std::string>
Health::DeadMembers(BootTime aNow) const
{
  std::vector<std::string> dead;
  for (const auto& [name, member] : this->members) {
    if (IsDead(member, aNow)) {
      dead.push_back(name);
    }
  }
  return dead;
}

std::vector<std::string>
Health::TakeEndpointsToReconnect(BootTime aNow)
{
  std::vector<std::string> endpoints;
  for (auto& [name, member] : this->members) {
    if (member.unansweredSince && aNow - *member.unansweredSince >= this->reconnectAfter) {
      endpoints.push_back(member.polledEndpoint);
      member.unansweredSince.reset();
    }
  }
  return endpoints;
}

} // namespace plantainhaven
