#include "control/control_loop.h"

#include <chrono>
#include <utility>

namespace plantainhaven {

namespace {

constexpr std::uint32_t kProtocolVersion = 1;
constexpr std::size_t kTailChanges = 500;
constexpr std::chrono::seconds kShiftReportInterval{ 1 };
// Number of members that receive one report; successive reports rotate through the members.
constexpr std::size_t kShiftReportFanOut = 3;

} // namespace

void
ControlLoop::SendTo(const std::string& aEndpoint, Envelope& aMessage)
{
  aMessage.set_version(kProtocolVersion);
  aMessage.set_from(this->settings.vm().name());
  aMessage.set_from_incarnation(this->incarnation);
  aMessage.set_reply_to(this->endpoint);
  ++this->lastAskId;
  if (!this->peers.Send(aEndpoint, aMessage)) {
    this->metrics.Count("plantainhaven_messages_dropped_total", "reason", "queue_full");
  }
}

void
ControlLoop::SendAll(const std::vector<OutgoingEnvelope>& aOutgoing)
{
  for (const OutgoingEnvelope& outgoing : aOutgoing) {
    if (!this->peers.Send(outgoing.endpoint, outgoing.message)) {
      this->metrics.Count("plantainhaven_messages_dropped_total", "reason", "queue_full");
    }
  }
}

void
ControlLoop::OnEnvelope(const Envelope& aMessage, BootTime aNow)
{
  if (aMessage.has_snapshot_answer()) {
    this->bootstrap->OnAnswer(aMessage.snapshot_answer(), aNow);
    return;
  }
  if (!this->view) {
    return;
  }
  switch (aMessage.body_case()) {
    case Envelope::kPush:
      this->ApplyAll({ aMessage.push().change() });
      return;
    case Envelope::kTailAsk:
      this->OnTailAsk(aMessage);
      return;
    case Envelope::kTailAnswer:
      this->ApplyAll(
        { aMessage.tail_answer().changes().begin(), aMessage.tail_answer().changes().end() });
      return;
    case Envelope::kSnapshotAsk:
      this->OnSnapshotAsk(aMessage, aNow);
      return;
    case Envelope::kShiftReport:
      this->OnShiftReport(aMessage, aNow);
      return;
    default:
      this->SendAll(this->view->OnMessage(aMessage, aNow));
      return;
  }
}

void
ControlLoop::OnTailAsk(const Envelope& aMessage)
{
  const Result<std::vector<ChangeRecord>> changes =
    this->replica.ChangesAfter(aMessage.tail_ask().after_revision(), kTailChanges);
  Envelope answer;
  answer.set_ask_id(aMessage.ask_id());
  TailAnswer* tail = answer.mutable_tail_answer();
  if (IsOk(changes)) {
    for (const ChangeRecord& change : ValueOf(changes)) {
      *tail->add_changes() = change;
    }
  } else {
    tail->set_snapshot_needed(true);
  }
  this->SendTo(aMessage.reply_to(), answer);
}

void
ControlLoop::OnSnapshotAsk(const Envelope& aMessage, BootTime aNow)
{
  const bool accepted = this->replica.Applied() == this->view->AcceptedRevision();
  if (accepted && aMessage.snapshot_ask().chunk_digest().empty() &&
      this->snapshots.NeedsCopy(aNow)) {
    this->replica.Read([this, aNow](const Configuration& aConfiguration) {
      this->snapshots.SetCopy(aConfiguration, aNow);
    });
  }
  std::optional<SnapshotAnswer> found = this->snapshots.Answer(aMessage.snapshot_ask());
  if (!found) {
    return;
  }
  Envelope answer;
  answer.set_ask_id(aMessage.ask_id());
  *answer.mutable_snapshot_answer() = std::move(*found);
  this->SendTo(aMessage.reply_to(), answer);
}

void
ControlLoop::OnShiftReport(const Envelope& aMessage, BootTime /*aNow*/)
{
  for (const ShiftPosition& position : aMessage.shift_report().positions()) {
    this->peerPositions[position.service()] = position;
  }
}

void
ControlLoop::ReportShift(BootTime aNow)
{
  if (aNow < this->nextShiftReport || this->ownPositions.empty() || this->members.empty()) {
    return;
  }
  this->nextShiftReport = aNow + kShiftReportInterval;
  Envelope report;
  for (const ShiftPosition& position : this->ownPositions) {
    *report.mutable_shift_report()->add_positions() = position;
  }
  for (std::size_t i = 0; i < kShiftReportFanOut; ++i) {
    const FleetMember& member = this->members[this->lastAskId % this->members.size()];
    if (member.name == this->settings.vm().name()) {
      ++this->lastAskId;
      continue;
    }
    this->SendTo(member.endpoint, report);
  }
}

} // namespace plantainhaven
