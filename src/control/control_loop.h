#pragma once

#include "control/published_state.h"
#include "plantainhaven/common/metrics.h"
#include "plantainhaven/common/time.h"
#include "plantainhaven/control/bootstrap.h"
#include "plantainhaven/control/configuration_store.h"
#include "plantainhaven/control/event_queue.h"
#include "plantainhaven/control/local_view.h"
#include "plantainhaven/control/replica.h"
#include "plantainhaven/control/writer.h"
#include "plantainhaven/fleet/local_link.h"
#include "plantainhaven/fleet/peer_link.h"
#include "plantainhaven/policy/view/fleet_view.h"

#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "settings.pb.h"

namespace plantainhaven {

// State that the control thread owns. Every method except Post... and Stop... runs on that
// thread.
class ControlLoop
{
public:
  ControlLoop(const ControldSettings& aSettings,
              ConfigurationStore& aStore,
              VmList& aVmList,
              Replica& aReplica,
              Metrics& aMetrics,
              PublishedState& aPublished);

  // Binds both links. Call from the thread that will call Run().
  Result<Done> Bind();
  // Runs the control loop until `aStop` is set.
  void Run(const std::atomic<bool>& aStop);

  // From any thread: a change was committed by this VM's writer.
  void PostCommitted(const ChangeRecord& aChange);
  // From any thread: the table's head was seen at a revision.
  void PostHeadSeen(Revision aHead);
  // From any thread: the writer that membership changes go through.
  void SetWriter(Writer* aWriter) { this->writer = aWriter; }

  // True once plantain-entryd announced that the VM leaves.
  bool Leaving() const { return this->leaving; }
  // True while plantain-entryd keeps sending requests.
  bool EntryAlive() const { return this->entryAlive; }

private:
  // --- Start (control_start.cc) ---
  void TickBootstrap(BootTime aNow);
  void LoadFromStore();
  void StartView(Configuration aBase, BootTime aNow);

  // --- Following the configuration (control_follow.cc) ---
  void ApplyAll(const std::vector<ChangeRecord>& aChanges);
  bool ApplyOne(const ChangeRecord& aChange, BootTime aNow);
  void OnCommitted(const ChangeRecord& aChange);
  void FetchWhenBehind(BootTime aNow);
  void FetchFromTable();
  void AskPeerForTail(BootTime aNow);
  bool IsVoter() const;
  void PollTable(BootTime aNow);
  void PollVmList(BootTime aNow);
  void WriteSnapshotWhenDue(BootTime aNow);

  // --- Messages (control_messages.cc) ---
  void OnEnvelope(const Envelope& aMessage, BootTime aNow);
  void OnTailAsk(const Envelope& aMessage);
  void OnSnapshotAsk(const Envelope& aMessage, BootTime aNow);
  void OnShiftReport(const Envelope& aMessage, BootTime aNow);
  void SendAll(const std::vector<OutgoingEnvelope>& aOutgoing);
  void SendTo(const std::string& aEndpoint, Envelope& aMessage);
  void ReportShift(BootTime aNow);

  // --- Membership and the VM itself (control_members.cc) ---
  ViewAnswer AnswerLocal(const ViewAsk& aAsk);
  LocalState MakeLocalState(BootTime aNow) const;
  void NoteEntry(const ViewAsk& aAsk, BootTime aNow);
  void MaintainMembership(BootTime aNow);
  bool RemoveDeadMember(BootTime aNow);
  bool FirstAliveVoter(BootTime aNow) const;
  void PostWrite(ApplyRequest aWrite, const char* aPurpose);
  void Publish(BootTime aNow);

  void Tick(BootTime aNow);

  const ControldSettings settings;
  ConfigurationStore& store;
  VmList& vmList;
  Replica& replica;
  Metrics& metrics;
  PublishedState& published;
  Writer* writer = nullptr;

  EventQueue events;
  ZmqPeerLink peers;
  LocalServer local;
  std::string endpoint;

  std::unique_ptr<PeerBootstrap> bootstrap;
  SnapshotServer snapshots;
  std::unique_ptr<FleetView> view;
  std::vector<FleetMember> members;
  std::uint64_t incarnation = 0;
  bool storeReachable = false;
  Revision snapshotRevision = 0;
  std::vector<ShiftPosition> ownPositions;
  std::unordered_map<std::string, ShiftPosition> peerPositions;
  std::uint64_t lastAskId = 0;

  BootTime nextTableRead{};
  BootTime nextVmList{};
  BootTime nextMembership{};
  BootTime nextTailAsk{};
  BootTime nextShiftReport{};
  BootTime nextPublish{};
  BootTime lastEntryAsk{};
  bool entryReady = false;
  std::atomic<bool> leaving{ false };
  std::atomic<bool> entryAlive{ false };

  // The workers are declared last, so that they are destroyed before the objects that their
  // jobs use.
  Worker headWorker;
  Worker tailWorker;
  Worker listWorker;
  Worker writeWorker;
  Worker snapshotWorker;
};

} // namespace plantainhaven
