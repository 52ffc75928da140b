#include "policy/placing/server_record.h"

#include "plantainhaven/policy/placing/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace plantainhaven::placing {
namespace {

using Milliseconds = std::chrono::duration<double, std::milli>;

// A load report loses half of its weight in this part of the usual time of a request, but
// not sooner than in the shortest half-life: requests that end meanwhile are mostly followed
// by others of other VMs.
constexpr double kReportHalfLife = 1.0;
constexpr Milliseconds kShortestHalfLife{ 400 };
// An own report that is older than this is replaced by what other VMs have seen.
constexpr std::chrono::milliseconds kOwnReportHolds{ 250 };
// Weight of the newest sample in the moving averages.
constexpr double kFailureWeight = 0.2;
constexpr double kTimeWeight = 0.1;
// A server whose sends fail more often than this is left alone for a while: three failures
// in a row from a clean state.
constexpr double kEjectAbove = 0.45;
constexpr double kFailureShareOnReturn = 0.35;
constexpr std::chrono::milliseconds kFirstEjection{ 500 };
constexpr std::chrono::milliseconds kLongestEjection{ 4000 };
constexpr std::chrono::milliseconds kNoConnectionEjection{ 300 };
// A server that has just refused for lack of room is taken as full for this long.
constexpr std::chrono::milliseconds kShedPause{ 40 };
// Connections that break this close together mean that the process has ended.
constexpr std::chrono::milliseconds kBreakTogether{ 50 };
// A restarted server reports itself within two heartbeats; until then it counts as cold.
constexpr std::chrono::milliseconds kUntilNextReport{ 3500 };
// A server is slow when it takes this many times as long as its peers.
constexpr double kSlowFactor = 2.0;
constexpr double kLeastSlotShare = 0.12;

bool
IsFailure(SendOutcome aOutcome)
{
  return aOutcome == SendOutcome::kFailed || aOutcome == SendOutcome::kBroken ||
         aOutcome == SendOutcome::kTimeout || aOutcome == SendOutcome::kNoConnection ||
         aOutcome == SendOutcome::kMisdirected;
}

} // namespace

ServerRecord::ServerRecord(BackendServer aEntry, BootTime aReadAt)
  : entry(std::move(aEntry))
  , hash(StableHash(this->entry.id))
{
  this->coldUntil = aReadAt + this->entry.warmupLeft;
}

void
ServerRecord::Update(const BackendServer& aEntry, BootTime aReadAt)
{
  const bool isNews =
    aEntry.reportNumber != this->entry.reportNumber || aEntry.warmupLeft != this->entry.warmupLeft;
  this->entry = aEntry;
  if (isNews) {
    this->coldUntil = aReadAt + aEntry.warmupLeft;
  }
}

void
ServerRecord::SuspectRestart(BootTime aNow)
{
  this->coldUntil = std::max(this->coldUntil, aNow + kUntilNextReport);
}

void
ServerRecord::OnSent(BootTime aNow)
{
  ++this->inFlight;
  if (this->IsCold(aNow)) {
    this->coldSentAt = aNow;
  }
}

void
ServerRecord::OnEnded(SendOutcome aOutcome, std::chrono::milliseconds aTook, BootTime aNow)
{
  this->inFlight = std::max(0, this->inFlight - 1);
  if (aOutcome == SendOutcome::kAbandoned) {
    return;
  }
  const double sample = IsFailure(aOutcome) ? 1.0 : 0.0;
  this->failureShare += kFailureWeight * (sample - this->failureShare);
  switch (aOutcome) {
    case SendOutcome::kServed: {
      const auto took = static_cast<double>(aTook.count());
      this->usualTime += (this->usualTime > 0 ? kTimeWeight : 1.0) * (took - this->usualTime);
      this->ejection = std::chrono::milliseconds(0);
      break;
    }
    case SendOutcome::kShed:
      this->shedUntil = aNow + kShedPause;
      break;
    case SendOutcome::kNoConnection:
      this->SuspectRestart(aNow);
      this->Eject(kNoConnectionEjection, aNow);
      return;
    case SendOutcome::kBroken:
      if (aNow - this->brokenAt < kBreakTogether) {
        this->SuspectRestart(aNow);
      }
      this->brokenAt = aNow;
      break;
    case SendOutcome::kFailed:
    case SendOutcome::kMisdirected:
    case SendOutcome::kTimeout:
    case SendOutcome::kAbandoned:
      break;
  }
  if (IsFailure(aOutcome) && this->failureShare > kEjectAbove) {
    this->Eject(kFirstEjection, aNow);
  }
}

void
ServerRecord::Eject(std::chrono::milliseconds aLeast, BootTime aNow)
{
  if (this->IsEjected(aNow)) {
    return;
  }
  this->ejection = std::clamp(this->ejection * 2, aLeast, kLongestEjection);
  this->ejectedUntil = aNow + this->ejection;
  this->failureShare = kFailureShareOnReturn;
}

void
ServerRecord::OnLoad(const ServerLoad& aLoad, BootTime aNow)
{
  this->others = std::max(0, aLoad.running + aLoad.waiting - this->inFlight);
  this->othersAt = aNow;
}

void
ServerRecord::OnPeerLoad(int aRequests, BootTime aNow)
{
  if (aNow - this->othersAt < kOwnReportHolds) {
    return;
  }
  this->others = std::max(0, aRequests - this->inFlight);
  this->othersAt = aNow;
}

double
ServerRecord::LoadAt(double aUsualTime, BootTime aNow) const
{
  if (aNow < this->shedUntil) {
    return this->inFlight + this->entry.slots;
  }
  const double halfLife = std::max(kShortestHalfLife.count(), aUsualTime * kReportHalfLife);
  const double age = Milliseconds(aNow - this->othersAt).count() / halfLife;
  return this->inFlight + this->others * std::exp2(-std::max(0.0, age));
}

double
ServerRecord::UsableSlots(double aUsualTime) const
{
  const double slots = this->entry.slots;
  if (this->usualTime <= 0 || aUsualTime <= 0) {
    return slots;
  }
  const double share = kSlowFactor * aUsualTime / this->usualTime;
  return std::max(1.0, slots * std::clamp(share, kLeastSlotShare, 1.0));
}

} // namespace plantainhaven::placing
