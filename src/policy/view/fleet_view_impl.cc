#include "policy/view/fleet_view_impl.h"

#include "policy/view/limits.h"

#include <algorithm>
#include <utility>

namespace plantainhaven {

namespace {

constexpr std::uint32_t kProtocolVersion = 1;

// Upper bound on this clock's measure of an interval that another VM's clock measured as
// `aInterval`.
Nanoseconds
WithDrift(Nanoseconds aInterval)
{
  return aInterval + aInterval / kClockDriftDivisor + std::chrono::microseconds(1);
}

} // namespace

FleetView::Impl::Impl(FleetViewOptions aOptions, BootTime aNow)
  : options(std::move(aOptions))
  , roster(options.self)
  , acceptance(options.self)
  , voter(aNow)
  , health(options)
  , pendingPolls(options.freshness)
  , lastEvent(aNow)
  , nextPollAt(aNow)
{
}

bool
FleetView::Impl::IsWritePending() const
{
  return this->acceptance.Accepted() < this->writtenRevision;
}

// Detects that this process was paused. Runs before an event is handled, so that the pause
// isn't taken for silence of the peers.
void
FleetView::Impl::DetectPause(BootTime aNow)
{
  if (aNow - this->lastEvent > kPauseGap) {
    this->health.OnPaused(aNow);
  }
  this->lastEvent = std::max(this->lastEvent, aNow);
}

void
FleetView::Impl::UpdateState(BootTime aNow)
{
  this->voter.OnHead(std::max(this->applied, this->acceptance.Accepted()));
  std::optional<BootTime> ownVoteTime;
  if (this->voter.IsVoting() && this->voter.Head() <= this->applied) {
    ownVoteTime = aNow;
  }
  this->evidence.Update(this->roster.Voters(), this->options.self, ownVoteTime, this->applied);
  this->voter.OnEvidence(this->evidence.Newest());
  this->acceptance.OnOwnHead(this->voter.IsVoting() ? this->voter.Head() : 0);
  this->acceptance.Update(aNow);
}

void
FleetView::Impl::SetMembers(Revision aRevision,
                            const std::vector<FleetMember>& aMembers,
                            BootTime aNow)
{
  this->applied = std::max(this->applied, aRevision);
  if (this->roster.SetMembers(aMembers, this->acceptance.AllVoters())) {
    this->health.OnMembers(aMembers, this->roster.ExpectedHeartbeats(), aNow);
  }
}

std::vector<OutgoingEnvelope>
FleetView::Impl::OnHeadAsk(const Envelope& aMessage, BootTime aNow)
{
  const HeadAsk& poll = aMessage.head_ask();
  this->voter.OnHead(std::max(poll.applied_revision(), poll.accepted_revision()));
  this->acceptance.OnPeerAccepted(poll.accepted_revision(), aNow);
  this->health.OnReport(
    aMessage.from(), { poll.applied_revision(), poll.fresh(), poll.leaving() }, aNow);
  UpdateState(aNow);
  if (aMessage.reply_to().empty()) {
    return {};
  }
  Envelope reply = MakeEnvelope(aMessage.from(), aMessage.ask_id());
  HeadAnswer& answer = *reply.mutable_head_answer();
  answer.set_head(this->voter.Head());
  answer.set_voting(this->voter.IsVoting());
  answer.set_accepted_revision(this->acceptance.Accepted());
  answer.set_applied_revision(this->applied);
  answer.set_leaving(this->leaving);
  answer.set_withheld(!this->serving);
  answer.set_asker_incarnation(aMessage.from_incarnation());
  if (aNow < FreshUntil()) {
    const auto age = std::chrono::ceil<std::chrono::microseconds>(aNow - *this->evidence.Newest());
    answer.set_has_evidence(true);
    answer.set_evidence_head(this->applied);
    answer.set_evidence_age_us(age.count());
  }
  return { { aMessage.reply_to(), std::move(reply) } };
}

void
FleetView::Impl::OnHeadAnswer(const Envelope& aMessage, BootTime aNow)
{
  const HeadAnswer& answer = aMessage.head_answer();
  if (answer.asker_incarnation() != this->options.incarnation) {
    return;
  }
  const std::optional<BootTime> sentAt =
    this->pendingPolls.Take(aMessage.ask_id(), aMessage.from());
  if (!sentAt) {
    return;
  }
  this->voter.OnHead(
    std::max({ answer.head(), answer.accepted_revision(), answer.applied_revision() }));
  this->acceptance.OnPeerAccepted(answer.accepted_revision(), aNow);
  if (answer.voting()) {
    this->evidence.OnVoterAnswer(aMessage.from(), *sentAt, answer.head(), this->applied);
    this->acceptance.OnAcknowledged(aMessage.from(), *sentAt, answer.head());
  }
  const std::chrono::microseconds age(answer.evidence_age_us());
  if (answer.has_evidence() && age.count() >= 0 && age <= this->options.freshness) {
    this->evidence.OnHeadBound(*sentAt - WithDrift(age), answer.evidence_head(), this->applied);
  }
  const bool fresh = answer.has_evidence() && !answer.withheld();
  const MemberReport report{ answer.applied_revision(), fresh, answer.leaving() };
  this->health.OnReport(aMessage.from(), report, aNow);
  this->health.OnPollAnswered(aMessage.from());
  UpdateState(aNow);
}

Envelope
FleetView::Impl::MakeEnvelope(const std::string& aTo, std::uint64_t aPollId) const
{
  Envelope message;
  message.set_version(kProtocolVersion);
  message.set_from(this->options.self);
  message.set_from_incarnation(this->options.incarnation);
  message.set_to(aTo);
  message.set_reply_to(this->options.endpoint);
  message.set_ask_id(aPollId);
  return message;
}

bool
FleetView::Impl::IsPollDue(BootTime aNow) const
{
  return aNow >= this->nextPollAt;
}

// A voter, and a VM with a pending operator's write, polls every voter that acceptance
// depends on. Any other VM polls a single voter, which shares the evidence it has.
std::vector<std::string>
FleetView::Impl::VotersToPoll()
{
  if (!this->roster.IsSelfVoter() && !IsWritePending()) {
    const std::string next = this->roster.NextVoterToPoll();
    if (!next.empty()) {
      return { next };
    }
  }
  std::vector<std::string> voters = this->acceptance.AllVoters();
  std::erase(voters, this->options.self);
  return voters;
}

Nanoseconds
FleetView::Impl::PollInterval(BootTime aNow) const
{
  if (IsWritePending() && aNow - this->writtenAt < kAcknowledgementWindow) {
    return std::min(kWritePollInterval, this->options.pollInterval);
  }
  const bool upToDate = aNow < FreshUntil() && this->acceptance.Accepted() >= this->voter.Head();
  if (this->roster.IsSelfVoter() || IsWritePending() || !upToDate) {
    return this->options.pollInterval;
  }
  return this->options.pollInterval * kObserverPollIntervals;
}

std::vector<OutgoingEnvelope>
FleetView::Impl::Poll(BootTime aNow)
{
  std::vector<OutgoingEnvelope> outgoing;
  for (const std::string& name : VotersToPoll()) {
    const std::string endpoint = this->roster.EndpointOf(name);
    if (endpoint.empty()) {
      continue;
    }
    Envelope message = MakeEnvelope(name, this->pendingPolls.Add(name, aNow));
    HeadAsk& poll = *message.mutable_head_ask();
    poll.set_applied_revision(this->applied);
    poll.set_accepted_revision(this->acceptance.Accepted());
    poll.set_fresh(this->serving && aNow < FreshUntil());
    poll.set_leaving(this->leaving);
    this->health.OnPollSent(name, endpoint, aNow);
    outgoing.push_back({ endpoint, std::move(message) });
  }
  this->nextPollAt = aNow + PollInterval(aNow);
  return outgoing;
}

BootTime
FleetView::Impl::FreshUntil() const
{
  const std::optional<BootTime>& newest = this->evidence.Newest();
  const Nanoseconds margin = this->options.freshness / kClockDriftDivisor;
  return newest ? *newest + this->options.freshness - margin : BootTime{};
}

} // namespace plantainhaven
