#pragma once

#include "plantainhaven/policy/view/fleet_view.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace plantainhaven {

// What a message tells of its sender.
struct MemberReport
{
  Revision applied = 0;
  bool fresh = false;
  bool leaving = false;
};

// How the other members do, from their messages and from the platform's list.
class Health
{
public:
  explicit Health(const FleetViewOptions& aOptions);

  // The member list in force and those members whose heartbeats must reach this VM.
  void OnMembers(const std::vector<FleetMember>& aMembers,
                 const std::set<std::string>& aExpectedHeartbeats,
                 BootTime aNow);
  // Notes the incarnation of a message's sender; false when it is outdated.
  bool OnIncarnation(const std::string& aFrom, std::uint64_t aIncarnation);
  void OnReport(const std::string& aFrom, const MemberReport& aReport, BootTime aNow);
  void OnPollSent(const std::string& aTo, const std::string& aEndpoint, BootTime aNow);
  void OnPollAnswered(const std::string& aFrom);
  void OnVmList(const VmListAnswer& aList);
  // This process was paused: silence counts from now on.
  void OnPaused(BootTime aNow);

  std::vector<MemberHealth> Members(BootTime aNow) const;
  std::vector<std::string> DeadMembers(BootTime aNow) const;
  std::vector<std::string> TakeEndpointsToReconnect(BootTime aNow);

private:
  enum class Listing
  {
    kNeverListed,
    kListed,
    kLeaving,
    kDelisted,
  };
  struct Member
  {
    std::string name;
    bool configuredLeaving = false;
    std::uint64_t incarnation = 0;
    MemberReport report;
    std::optional<BootTime> lastReportAt;
    std::optional<BootTime> heartbeatExpectedSince;
    // The earliest ask since the last answer, and where it went.
    std::optional<BootTime> unansweredSince;
    std::string polledEndpoint;
  };

  bool IsSilent(const Member& aMember, Nanoseconds aFor, BootTime aNow) const;
  bool IsDead(const Member& aMember, BootTime aNow) const;
  bool IsLeaving(const Member& aMember) const;
  Listing ListingOf(const std::string& aName) const;

  std::string self;
  Nanoseconds deadAfter;
  Nanoseconds reconnectAfter;
  bool vmListReceived = false;
  std::map<std::string, Listing> listings;
  std::map<std::string, Member> members;
};

} // namespace plantainhaven
