#include "plantainhaven/policy/placing/poll_coordinator.h"

#include <algorithm>
#include <utility>

namespace plantainhaven::placing {
namespace {

// After a failure each VM backs off for this time multiplied by the number of VMs that may be
// polling, so that the rate of a region's polls of an unavailable store doesn't grow with its
// number of VMs.
constexpr std::chrono::milliseconds kBackoffPerPoller{ 100 };
constexpr std::chrono::milliseconds kMinBackoff{ 200 };
constexpr std::chrono::milliseconds kMaxBackoff{ 1500 };

} // namespace

PollCoordinator::PollCoordinator(std::string aSelf, Timing aTiming, double aJitter)
  : self(std::move(aSelf))
  , timing(aTiming)
{
  this->SetStagger(aJitter);
}

void
PollCoordinator::SetStagger(double aJitter)
{
  this->ownStagger =
    std::chrono::duration_cast<std::chrono::milliseconds>(this->timing.stagger * aJitter);
}

void
PollCoordinator::OnOwnResponse(BootTime aNow)
{
  // If two VMs poll, the one whose name sorts first continues.
  const bool hasPrecedence = aNow - this->precedingPeerAt > this->timing.wait + this->timing.margin;
  // VMs that start at the same time have all polled once; one of them continues after the wait.
  const bool isFirstResponse = this->respondedAt == BootTime{};
  this->isPoller = hasPrecedence && !isFirstResponse && (this->isPoller || !this->missedUpdate);
  this->missedUpdate = false;
  this->respondedAt = aNow;
  this->backoffUntil = {};
}

void
PollCoordinator::OnOwnFailure(std::size_t aPollers, BootTime aNow)
{
  this->isPoller = false;
  this->backoffUntil =
    aNow + std::clamp(kBackoffPerPoller * static_cast<int>(aPollers), kMinBackoff, kMaxBackoff);
}

void
PollCoordinator::OnPeerResponse(const std::string& aPeer, double aJitter, BootTime aNow)
{
  if (aPeer < this->self) {
    this->isPoller = false;
    this->precedingPeerAt = aNow;
  }
  this->respondedAt = aNow;
  this->SetStagger(aJitter);
}

void
PollCoordinator::OnMissedUpdate()
{
  this->missedUpdate = true;
}

void
PollCoordinator::OnCopy(double aJitter, BootTime aNow)
{
  this->missedUpdate = false;
  this->respondedAt = aNow;
  this->SetStagger(aJitter);
}

std::chrono::milliseconds
PollCoordinator::LongPollWait(BootTime aNow) const
{
  if (!this->isPoller) {
    return std::chrono::milliseconds(0);
  }
  const auto elapsed =
    std::chrono::duration_cast<std::chrono::milliseconds>(aNow - this->respondedAt);
  return std::clamp(this->timing.wait - elapsed, std::chrono::milliseconds(0), this->timing.wait);
}

BootTime
PollCoordinator::NextPollAt() const
{
  if (this->isPoller || this->missedUpdate) {
    return this->backoffUntil;
  }
  const BootTime due =
    this->respondedAt + this->timing.wait + this->timing.margin + this->ownStagger;
  return std::max(due, this->backoffUntil);
}

} // namespace plantainhaven::placing
