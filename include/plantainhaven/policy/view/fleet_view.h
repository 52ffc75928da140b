#pragma once

#include "plantainhaven/common/time.h"
#include "plantainhaven/policy/config/configuration.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "peer.pb.h"
#include "platform.pb.h"

namespace plantainhaven {

// A VM that the configuration lists as a member of the fleet.
struct FleetMember
{
  std::string name;
  // "tcp://ADDRESS:PORT" of the plantain-controld on this member.
  std::string endpoint;
  std::string failureDomain;
  std::uint64_t incarnation = 0;
  bool leaving = false;
};

struct FleetViewOptions
{
  std::string self;
  std::uint64_t incarnation = 0;
  // "tcp://ADDRESS:PORT" to which peers send their answers to this VM.
  std::string endpoint;
  // The freshness period T: a view is fresh while its newest evidence is younger than T.
  std::chrono::nanoseconds freshness{ std::chrono::seconds(3) };
  // Time between two polls of the voters.
  std::chrono::nanoseconds pollInterval{ std::chrono::milliseconds(500) };
  // A member that the platform no longer lists is considered dead after it has sent no
  // message for this long.
  std::chrono::nanoseconds deadAfter{ std::chrono::seconds(5) };
  // The connection to a member is replaced after a poll has gone unanswered for this long.
  std::chrono::nanoseconds reconnectAfter{ std::chrono::seconds(1) };
};

// A message and the endpoint to send it to.
struct OutgoingEnvelope
{
  std::string endpoint;
  Envelope message;
};

// The state of another member as known to this VM.
struct MemberHealth
{
  std::string name;
  Revision appliedRevision = 0;
  bool fresh = false;
  bool alive = false;
  bool leaving = false;
};

// One VM's part in the fresh view protocol, which bounds how long a VM may act on an
// outdated configuration. The VM polls voters for evidence of the head, the latest
// committed revision. If it is a voter, it answers polls with the head that it knows.
// It also counts the voters' acknowledgements of a revision to find out when the revision
// is accepted. See docs/design/fresh-view.md for the proof.
// Not thread-safe. Reads no clock and does no I/O: messages to send are returned.
// `aNow` must be read from the clock after the event took place, for a message after its
// receipt. `aSentAt` must be read before the request was sent.
class FleetView
{
public:
  // A process starts in the recovering state: it doesn't vote until it has read the head
  // from the table or received answers from a majority of voters that aren't recovering.
  FleetView(FleetViewOptions aOptions, BootTime aNow);
  ~FleetView();
  FleetView(const FleetView&) = delete;
  FleetView& operator=(const FleetView&) = delete;

  // --- Events ----------------------------------------------------------------

  // Sets the base of the configuration: revision 0 or the revision of a snapshot.
  // Snapshots are made only of accepted revisions. Call once, before any OnApplied().
  void OnBase(Revision aRevision, const std::vector<FleetMember>& aMembers, BootTime aNow);
  // The change `aRevision` was applied. Call in order of revisions, without gaps.
  void OnApplied(Revision aRevision, const std::vector<FleetMember>& aMembers, BootTime aNow);
  // A read of the table returned the head `aHead`; `aSentAt` is when the read was sent.
  void OnTableHead(Revision aHead, BootTime aSentAt, BootTime aNow);
  // This VM committed `aRevision`, or a peer pushed the committed change to it.
  void OnCommitted(Revision aRevision, BootTime aNow);
  // An operator's write through this VM was committed as `aRevision`. Does the same as
  // OnCommitted() and polls the voters more often until the revision is accepted. A VM
  // that is no voter must call this for MissingVoters() to be meaningful.
  void OnLocalWriteCommitted(Revision aRevision, BootTime aNow);
  // The platform returned its VM list.
  void OnVmList(const VmListAnswer& aList, BootTime aNow);
  // Sets whether this VM serves callers. While it doesn't, it reports itself to peers as
  // not fresh. True initially.
  void SetServing(bool aServing);
  // This VM has begun to shut down.
  void OnLeaving(BootTime aNow);
  // Handles a received message and returns the replies. Messages other than head polls
  // and their answers are ignored.
  std::vector<OutgoingEnvelope> OnMessage(const Envelope& aMessage, BootTime aNow);
  // Returns the polls that are due. Call every few milliseconds to a few tens of
  // milliseconds.
  std::vector<OutgoingEnvelope> OnTick(BootTime aNow);

  // --- State -----------------------------------------------------------------

  // The applied view is fresh while now < FreshUntil().
  BootTime FreshUntil() const;
  // Highest revision known to be committed. The caller fetches changes while this is
  // higher than the applied revision.
  Revision KnownHead() const;
  // Highest revision known to be accepted, and when this VM learned of it.
  Revision AcceptedRevision() const;
  BootTime AcceptedAt() const;
  // Voters that haven't acknowledged a revision, over all voter lists whose majority it
  // needs. Empty once the revision is accepted.
  std::vector<std::string> MissingVoters(Revision aRevision) const;
  std::vector<std::string> Voters() const;
  // False while this VM is recovering.
  bool IsVoting() const;
  std::vector<MemberHealth> Members(BootTime aNow) const;
  // Members to remove from the configuration. A member is dead if it has sent no message
  // for deadAfter and it is leaving or the platform has stopped listing it. A member that
  // the platform has never listed is dead after a longer silence.
  std::vector<std::string> DeadMembers(BootTime aNow) const;
  // Endpoints whose connection must be replaced because a poll has gone unanswered for
  // reconnectAfter. Each is returned once per such interval.
  std::vector<std::string> EndpointsToReconnect(BootTime aNow);

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

// Selects the voters of a member list. In a fleet of up to kMaxMembersAllVoting members
// every member votes. In a larger one the member with the highest rendezvous hash votes
// for each failure domain. Leaving members remain voters until they are removed.
constexpr std::size_t kMaxMembersAllVoting = 15;
std::vector<std::string>
VotersOf(const std::vector<FleetMember>& aMembers);

} // namespace plantainhaven
