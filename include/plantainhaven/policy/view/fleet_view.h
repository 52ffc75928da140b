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
  // "tcp://ADDRESS:PORT" of its plantain-controld.
  std::string endpoint;
  std::string failureDomain;
  std::uint64_t incarnation = 0;
  bool leaving = false;
};

struct FleetViewOptions
{
  std::string self;
  std::uint64_t incarnation = 0;
  // "tcp://ADDRESS:PORT" where answers reach this VM.
  std::string endpoint;
  // T: a view is fresh while its newest evidence is younger than this.
  std::chrono::nanoseconds freshness{ std::chrono::seconds(3) };
  std::chrono::nanoseconds pollInterval{ std::chrono::milliseconds(500) };
  // Silence after which a member that the platform no longer lists counts as dead.
  std::chrono::nanoseconds deadAfter{ std::chrono::seconds(5) };
  // Silence after which the connection to a member is replaced.
  std::chrono::nanoseconds reconnectAfter{ std::chrono::seconds(1) };
};

// A message to send and where to.
struct OutgoingEnvelope
{
  std::string endpoint;
  Envelope message;
};

// What is known of another member.
struct MemberHealth
{
  std::string name;
  Revision appliedRevision = 0;
  bool fresh = false;
  bool alive = false;
  bool leaving = false;
};

// The rule of the fresh view, seen from one VM: as an asker it collects evidence of
// the head revision, as a voter it repeats the head it knows, and as a writer's helper
// it counts acknowledgements. See docs/design/fresh-view.md for the proof.
// Not thread-safe; reads no clock; every effect is a returned message.
// `aNow` of an event must be read after the event took place, for a message after it
// was received; `aAskedAt` must be read before the question was sent.
class FleetView
{
public:
  // A process that starts is recovering: it doesn't answer as a voter until it has
  // read the head from the table or heard a majority of voters that aren't recovering.
  FleetView(FleetViewOptions aOptions, BootTime aNow);
  ~FleetView();
  FleetView(const FleetView&) = delete;
  FleetView& operator=(const FleetView&) = delete;

  // --- Events ----------------------------------------------------------------

  // The base of the configuration: a snapshot, which is only ever made of an accepted
  // revision, or revision 0. Call once, before any OnApplied.
  void OnBase(Revision aRevision, const std::vector<FleetMember>& aMembers, BootTime aNow);
  // A change was applied. Revisions come in order without gaps.
  void OnApplied(Revision aRevision, const std::vector<FleetMember>& aMembers, BootTime aNow);
  // The table answered that its head is `aHead`; `aAskedAt` is when it was asked.
  void OnTableHead(Revision aHead, BootTime aSentAt, BootTime aNow);
  // This VM committed `aRevision` itself, or was pushed a committed change.
  void OnCommitted(Revision aRevision, BootTime aNow);
  // An operator's write through this VM was committed as `aRevision`. The same as
  // OnCommitted(), and voters are asked for their acknowledgements at a faster pace until
  // the revision is accepted. A VM that is no voter needs this to name MissingVoters().
  void OnLocalWriteCommitted(Revision aRevision, BootTime aNow);
  // The platform's VM list was read.
  void OnVmList(const VmListAnswer& aList, BootTime aNow);
  // Whether this VM serves callers; while it doesn't, peers are told that it isn't fresh.
  // A VM counts as serving until told otherwise.
  void SetServing(bool aServing);
  // This VM began to stop.
  void OnLeaving(BootTime aNow);
  // A message arrived; messages of other kinds are ignored.
  std::vector<OutgoingEnvelope> OnMessage(const Envelope& aMessage, BootTime aNow);
  // Call every few milliseconds up to a few tens of them.
  std::vector<OutgoingEnvelope> OnTick(BootTime aNow);

  // --- State -----------------------------------------------------------------

  // The applied view is fresh while now < FreshUntil().
  BootTime FreshUntil() const;
  // Highest revision known to be committed. Fetch changes while it is above the
  // applied one.
  Revision KnownHead() const;
  // Highest revision known to be accepted, and when that was learned.
  Revision AcceptedRevision() const;
  BootTime AcceptedAt() const;
  // Voters whose acknowledgement of a revision is missing, over all lists that count.
  std::vector<std::string> MissingVoters(Revision aRevision) const;
  std::vector<std::string> Voters() const;
  // False while this VM is recovering.
  bool IsVoting() const;
  std::vector<MemberHealth> Members(BootTime aNow) const;
  // Members to be removed from the configuration: silent for deadAfter and listed by
  // the platform as leaving, or no longer listed after having been listed.
  std::vector<std::string> DeadMembers(BootTime aNow) const;
  // Endpoints whose connection should be replaced now; each is named once per silence
  // interval.
  std::vector<std::string> EndpointsToReconnect(BootTime aNow);

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

// Voters of a member list: every member up to kMaxMembersAllVoting, above that the one member
// of each failure domain with the highest rendezvous hash. Leaving members stay voters
// until they are removed.
constexpr std::size_t kMaxMembersAllVoting = 15;
std::vector<std::string>
VotersOf(const std::vector<FleetMember>& aMembers);

} // namespace plantainhaven
