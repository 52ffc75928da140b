#include "plantainhaven/policy/view/fleet_view.h"

#include "policy/view/fleet_view_impl.h"

#include <algorithm>
#include <utility>

namespace plantainhaven {

FleetView::FleetView(FleetViewOptions aOptions, BootTime aNow)
  : impl(std::make_unique<Impl>(std::move(aOptions), aNow))
{
}

FleetView::~FleetView() = default;

void
FleetView::OnBase(Revision aRevision, const std::vector<FleetMember>& aMembers, BootTime aNow)
{
  this->impl->DetectPause(aNow);
  this->impl->SetMembers(aRevision, aMembers, aNow);
  this->impl->acceptance.OnBase(aRevision, this->impl->roster.Voters(), aNow);
  this->impl->UpdateState(aNow);
}

void
FleetView::OnApplied(Revision aRevision, const std::vector<FleetMember>& aMembers, BootTime aNow)
{
  this->impl->DetectPause(aNow);
  this->impl->SetMembers(aRevision, aMembers, aNow);
  this->impl->acceptance.OnVoters(aRevision, this->impl->roster.Voters());
  this->impl->acceptance.OnApplied(aRevision);
  this->impl->UpdateState(aNow);
}

void
FleetView::OnTableHead(Revision aHead, BootTime aSentAt, BootTime aNow)
{
  this->impl->DetectPause(aNow);
  this->impl->voter.OnHead(aHead);
  this->impl->voter.OnTableRead(aSentAt);
  this->impl->evidence.OnHeadBound(aSentAt, aHead, this->impl->applied);
  this->impl->UpdateState(aNow);
}

void
FleetView::OnCommitted(Revision aRevision, BootTime aNow)
{
  this->impl->DetectPause(aNow);
  this->impl->voter.OnHead(aRevision);
  this->impl->UpdateState(aNow);
}

void
FleetView::OnLocalWriteCommitted(Revision aRevision, BootTime aNow)
{
  this->impl->writtenRevision = std::max(this->impl->writtenRevision, aRevision);
  this->impl->writtenAt = aNow;
  this->impl->nextPollAt = aNow;
  OnCommitted(aRevision, aNow);
}

void
FleetView::OnVmList(const VmListAnswer& aList, BootTime aNow)
{
  this->impl->DetectPause(aNow);
  this->impl->health.OnVmList(aList);
}

void
FleetView::SetServing(bool aServing)
{
  this->impl->serving = aServing;
}

void
FleetView::OnLeaving(BootTime aNow)
{
  this->impl->DetectPause(aNow);
  this->impl->leaving = true;
  this->impl->nextPollAt = aNow;
}

std::vector<OutgoingEnvelope>
FleetView::OnMessage(const Envelope& aMessage, BootTime aNow)
{
  this->impl->DetectPause(aNow);
  const bool ownKind = aMessage.has_head_ask() || aMessage.has_head_answer();
  const bool forSelf = aMessage.to() == this->impl->options.self;
  if (!ownKind || !forSelf || aMessage.from() == this->impl->options.self) {
    return {};
  }
  if (!this->impl->health.OnIncarnation(aMessage.from(), aMessage.from_incarnation())) {
    return {};
  }
  if (aMessage.has_head_ask()) {
    return this->impl->OnHeadAsk(aMessage, aNow);
  }
  this->impl->OnHeadAnswer(aMessage, aNow);
  return {};
}

std::vector<OutgoingEnvelope>
FleetView::OnTick(BootTime aNow)
{
  this->impl->DetectPause(aNow);
  this->impl->pendingPolls.Prune(aNow);
  this->impl->UpdateState(aNow);
  if (!this->impl->IsPollDue(aNow)) {
    return {};
  }
  return this->impl->Poll(aNow);
}

BootTime
FleetView::FreshUntil() const
{
  return this->impl->FreshUntil();
}

Revision
FleetView::KnownHead() const
{
  return this->impl->voter.Head();
}

Revision
FleetView::AcceptedRevision() const
{
  return this->impl->acceptance.Accepted();
}

BootTime
FleetView::AcceptedAt() const
{
  return this->impl->acceptance.AcceptedAt();
}

std::vector<std::string>
FleetView::MissingVoters(Revision aRevision) const
{
  return this->impl->acceptance.MissingVoters(aRevision, this->impl->lastEvent);
}

std::vector<std::string>
FleetView::Voters() const
{
  return this->impl->roster.Voters();
}

bool
FleetView::IsVoting() const
{
  return this->impl->voter.IsVoting();
}

std::vector<MemberHealth>
FleetView::Members(BootTime aNow) const
{
  return this->impl->health.Members(aNow);
}

std::vector<std::string>
FleetView::DeadMembers(BootTime aNow) const
{
  return this->impl->health.DeadMembers(aNow);
}

std::vector<std::string>
FleetView::EndpointsToReconnect(BootTime aNow)
{
  return this->impl->health.TakeEndpointsToReconnect(aNow);
}

} // namespace plantainhaven
