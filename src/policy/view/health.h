#pragma once

#include "plantainhaven/policy/view/fleet_view.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace plantainhaven {

// The state of a member as reported in its message.
struct MemberReport
{
  Revision applied = 0;
  bool fresh = false;
  bool leaving = false;
};

// Tracks the health of the other members from their messages and the platform's VM list.
class Health
{
public:
  explicit Health(const FleetViewOptions& aOptions);

  // Sets the member list in force and the members that must send heartbeats to this VM.
  void OnMembers(const std::vector<FleetMember>& aMembers,
                 const std::set<std::string>& aExpectedHeartbeats,
                 BootTime aNow);
  // Records the incarnation of a message's sender. Returns false if it is outdated.
  bool OnIncarnation(const std::string& aFrom, std::uint64_t aIncarnation);
  void OnReport(const std::string& aFrom, const MemberReport& aReport, BootTime aNow);
  void OnPollSent(const std::string& aTo, const std::string& aEndpoint, BootTime aNow);
  void OnPollAnswered(const std::string& aFrom);
  void OnVmList(const VmListAnswer& aList);
  // This process was paused. Restarts the timers that measure the silence of members.
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
    // Time and destination of the earliest poll since the last answer.
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
