#pragma once

#include "plantainhaven/policy/view/fleet_view.h"

#include "policy/view/acceptance.h"
#include "policy/view/evidence.h"
#include "policy/view/health.h"
#include "policy/view/pending_polls.h"
#include "policy/view/roster.h"
#include "policy/view/voter.h"

#include <string>
#include <vector>

namespace plantainhaven {

// Connects the parts of the fresh view protocol: passes each event to the parts that
// depend on it, and builds the messages of polls and answers.
struct FleetView::Impl
{
  Impl(FleetViewOptions aOptions, BootTime aNow);

  // --- Events ---
  void DetectPause(BootTime aNow);
  void UpdateState(BootTime aNow);
  void SetMembers(Revision aRevision, const std::vector<FleetMember>& aMembers, BootTime aNow);
  std::vector<OutgoingEnvelope> OnHeadAsk(const Envelope& aMessage, BootTime aNow);
  void OnHeadAnswer(const Envelope& aMessage, BootTime aNow);

  // --- Polls ---
  bool IsPollDue(BootTime aNow) const;
  std::vector<std::string> VotersToPoll();
  Nanoseconds PollInterval(BootTime aNow) const;
  std::vector<OutgoingEnvelope> Poll(BootTime aNow);
  Envelope MakeEnvelope(const std::string& aTo, std::uint64_t aPollId) const;

  bool IsWritePending() const;
  BootTime FreshUntil() const;

  FleetViewOptions options;
  Roster roster;
  Evidence evidence;
  Acceptance acceptance;
  Voter voter;
  Health health;
  PendingPolls pendingPolls;
  Revision applied = 0;
  Revision writtenRevision = 0;
  BootTime writtenAt{};
  bool leaving = false;
  bool serving = true;
  BootTime lastEvent;
  BootTime nextPollAt;
};

} // namespace plantainhaven
