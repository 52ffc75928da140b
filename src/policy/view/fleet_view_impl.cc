#include "policy/view/fleet_view_impl.h"

#include "policy/view/limits.h"

#include <algorithm>
#include <utility>

namespace plantainhaven {

namespace {

constexpr std::uint32_t kProtocolVersion = 1;

// An interval measured by another clock is at most this long by the own one.
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
  , asks(options.freshness)
  , lastEvent(aNow)
  , nextAsk(aNow)
{
}

bool
FleetView::Impl::IsWritePending() const
{
  return this->acceptance.Accepted() < this->written;
}

// Notices that this process was paused before anything is judged by its clock.
void
FleetView::Impl::Begin(BootTime aNow)
{
  if (aNow - this->lastEvent > kPauseGap) {
    this->health.OnPaused(aNow);
  }
  this->lastEvent = std::max(this->lastEvent, aNow);
}

void
FleetView::Impl::Count(BootTime aNow)
{
  this->voter.OnHead(std::max(this->applied, this->acceptance.Accepted()));
  std::optional<BootTime> ownVote;
  if (this->voter.IsVoting() && this->voter.Head() <= this->applied) {
    ownVote = aNow;
  }
  this->evidence.Count(this->roster.Voters(), this->options.self, ownVote, this->applied);
  this->voter.OnEvidence(this->evidence.Newest());
  this->acceptance.OnOwnHead(this->voter.IsVoting() ? this->voter.Head() : 0);
  this->acceptance.Count(aNow);
}

void
FleetView::Impl::TakeMembers(Revision aRevision,
                             const std::vector<FleetMember>& aMembers,
                             BootTime aNow)
{
  this->applied = std::max(this->applied, aRevision);
  if (this->roster.Set(aMembers, this->acceptance.AllVoters())) {
    this->health.OnMembers(aMembers, this->roster.ExpectedHeartbeats(), aNow);
  }
}

std::vector<OutgoingEnvelope>
FleetView::Impl::OnHeadAsk(const Envelope& aMessage, BootTime aNow)
{
  const HeadAsk& ask = aMessage.head_ask();
  this->voter.OnHead(std::max(ask.applied_revision(), ask.accepted_revision()));
  this->acceptance.OnLearned(ask.accepted_revision(), aNow);
  this->health.OnReport(
    aMessage.from(), { ask.applied_revision(), ask.fresh(), ask.leaving() }, aNow);
  Count(aNow);
  if (aMessage.reply_to().empty()) {
    return {};
  }
  Envelope reply = Compose(aMessage.from(), aMessage.ask_id());
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
  const std::optional<BootTime> askedAt = this->asks.Take(aMessage.ask_id(), aMessage.from());
  if (!askedAt) {
    return;
  }
  this->voter.OnHead(
    std::max({ answer.head(), answer.accepted_revision(), answer.applied_revision() }));
  this->acceptance.OnLearned(answer.accepted_revision(), aNow);
  if (answer.voting()) {
    this->evidence.OnVoterAnswer(aMessage.from(), *askedAt, answer.head(), this->applied);
    this->acceptance.OnAcknowledged(aMessage.from(), *askedAt, answer.head());
  }
  const std::chrono::microseconds age(answer.evidence_age_us());
  if (answer.has_evidence() && age.count() >= 0 && age <= this->options.freshness) {
    this->evidence.OnFact(*askedAt - WithDrift(age), answer.evidence_head(), this->applied);
  }
  const bool fresh = answer.has_evidence() && !answer.withheld();
  const MemberReport report{ answer.applied_revision(), fresh, answer.leaving() };
  this->health.OnReport(aMessage.from(), report, aNow);
  this->health.OnAnswered(aMessage.from());
  Count(aNow);
}

Envelope
FleetView::Impl::Compose(const std::string& aTo, std::uint64_t aAskId) const
{
  Envelope message;
  message.set_version(kProtocolVersion);
  message.set_from(this->options.self);
  message.set_from_incarnation(this->options.incarnation);
  message.set_to(aTo);
  message.set_reply_to(this->options.endpoint);
  message.set_ask_id(aAskId);
  return message;
}

bool
FleetView::Impl::IsAskDue(BootTime aNow) const
{
  return aNow >= this->nextAsk;
}

// Voters and the VM that an operator's write waits at ask every voter of every list that
// counts. Others ask one, which passes on the evidence it holds.
std::vector<std::string>
FleetView::Impl::VotersToAsk()
{
  if (!this->roster.SelfVotes() && !IsWritePending()) {
    const std::string next = this->roster.NextVoterToAsk();
    if (!next.empty()) {
      return { next };
    }
  }
  std::vector<std::string> voters = this->acceptance.AllVoters();
  std::erase(voters, this->options.self);
  return voters;
}

Nanoseconds
FleetView::Impl::AskInterval(BootTime aNow) const
{
  if (IsWritePending() && aNow - this->writtenAt < kAcknowledgementWindow) {
    return std::min(kWriteAskInterval, this->options.pollInterval);
  }
  const bool upToDate = aNow < FreshUntil() && this->acceptance.Accepted() >= this->voter.Head();
  if (this->roster.SelfVotes() || IsWritePending() || !upToDate) {
    return this->options.pollInterval;
  }
  return this->options.pollInterval * kObserverAskIntervals;
}

std::vector<OutgoingEnvelope>
FleetView::Impl::Ask(BootTime aNow)
{
  std::vector<OutgoingEnvelope> outgoing;
  for (const std::string& name : VotersToAsk()) {
    const std::string endpoint = this->roster.EndpointOf(name);
    if (endpoint.empty()) {
      continue;
    }
    Envelope message = Compose(name, this->asks.Add(name, aNow));
    HeadAsk& ask = *message.mutable_head_ask();
    ask.set_applied_revision(this->applied);
    ask.set_accepted_revision(this->acceptance.Accepted());
    ask.set_fresh(this->serving && aNow < FreshUntil());
    ask.set_leaving(this->leaving);
    this->health.OnAsked(name, endpoint, aNow);
    outgoing.push_back({ endpoint, std::move(message) });
  }
  this->nextAsk = aNow + AskInterval(aNow);
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
