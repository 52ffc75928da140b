#include "plantainhaven/policy/placing/poll_coordinator.h"

#include <algorithm>
#include <utility>

namespace plantainhaven::placing {
namespace {

// After a failure each VM pauses for this long times the VMs that may be trying too, so that
// a region's calls to a store that is away don't grow with its VMs.
constexpr std::chrono::milliseconds kPausePerReader{ 100 };
constexpr std::chrono::milliseconds kShortestPause{ 200 };
constexpr std::chrono::milliseconds kLongestPause{ 1500 };

} // namespace

PollCoordinator::PollCoordinator(std::string aSelf, Timing aPace, double aDraw)
  : self(std::move(aSelf))
  , pace(aPace)
{
  this->Stagger(aDraw);
}

void
PollCoordinator::Stagger(double aDraw)
{
  this->ownStagger =
    std::chrono::duration_cast<std::chrono::milliseconds>(this->pace.stagger * aDraw);
}

void
PollCoordinator::OnOwnResponse(BootTime aNow)
{
  // Of two readers the one whose name comes first goes on.
  const bool goesFirst = aNow - this->earlierNameAt > this->pace.wait + this->pace.margin;
  // VMs that start together have all read once; one of them goes on after the wait.
  const bool isFirst = this->answeredAt == BootTime{};
  this->isReader = goesFirst && !isFirst && (this->isReader || !this->hasGap);
  this->hasGap = false;
  this->answeredAt = aNow;
  this->pauseUntil = {};
}

void
PollCoordinator::OnOwnFailure(std::size_t aReaders, BootTime aNow)
{
  this->isReader = false;
  this->pauseUntil =
    aNow + std::clamp(kPausePerReader * static_cast<int>(aReaders), kShortestPause, kLongestPause);
}

void
PollCoordinator::OnPeerResponse(const std::string& aPeer, double aDraw, BootTime aNow)
{
  if (aPeer < this->self) {
    this->isReader = false;
    this->earlierNameAt = aNow;
  }
  this->answeredAt = aNow;
  this->Stagger(aDraw);
}

void
PollCoordinator::OnMissedUpdate()
{
  this->hasGap = true;
}

std::chrono::milliseconds
PollCoordinator::LongPollWait(BootTime aNow) const
{
  if (!this->isReader) {
    return std::chrono::milliseconds(0);
  }
  const auto passed =
    std::chrono::duration_cast<std::chrono::milliseconds>(aNow - this->answeredAt);
  return std::clamp(this->pace.wait - passed, std::chrono::milliseconds(0), this->pace.wait);
}

BootTime
PollCoordinator::NextPollAt() const
{
  if (this->isReader || this->hasGap) {
    return this->pauseUntil;
  }
  const BootTime due = this->answeredAt + this->pace.wait + this->pace.margin + this->ownStagger;
  return std::max(due, this->pauseUntil);
}

} // namespace plantainhaven::placing
