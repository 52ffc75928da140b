#include "policy/placing/server_record.h"

#include "plantainhaven/policy/placing/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace plantainhaven::placing {
namespace {

using Milliseconds = std::chrono::duration<double, std::milli>;

// Half-life of a load report as a multiple of the mean response time, and its lower bound. The
// bound exists because requests that finish are mostly followed by new ones from other VMs.
constexpr double kReportHalfLife = 1.0;
constexpr Milliseconds kMinReportHalfLife{ 400 };
// Load reports of other VMs are ignored while the newest one, usually received by this VM
// itself, is younger than this.
constexpr std::chrono::milliseconds kMinReportLifetime{ 250 };
// Weight of the newest sample in the moving averages.
constexpr double kFailureWeight = 0.2;
constexpr double kResponseTimeWeight = 0.1;
// A server is ejected when its failure rate exceeds this threshold, which three consecutive
// failures reach from a clean state.
constexpr double kEjectionThreshold = 0.45;
constexpr double kFailureRateAfterEjection = 0.35;
constexpr std::chrono::milliseconds kFailureEjection{ 500 };
constexpr std::chrono::milliseconds kMaxEjection{ 4000 };
constexpr std::chrono::milliseconds kNoConnectionEjection{ 300 };
// A server that has just shed a request is treated as full for this long.
constexpr std::chrono::milliseconds kShedPause{ 40 };
// Two connections that break within this time indicate that the process has ended.
constexpr std::chrono::milliseconds kRestartDetectionWindow{ 50 };
// A restarted server reports within two heartbeats; until then it is treated as cold.
constexpr std::chrono::milliseconds kRestartReportTimeout{ 3500 };
// A server is slow when its response time exceeds the service's mean by more than this factor.
constexpr double kSlowFactor = 2.0;
constexpr double kMinSlotFraction = 0.12;

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
  const bool isUpdated =
    aEntry.reportNumber != this->entry.reportNumber || aEntry.warmupLeft != this->entry.warmupLeft;
  this->entry = aEntry;
  if (isUpdated) {
    this->coldUntil = aReadAt + aEntry.warmupLeft;
  }
}

void
ServerRecord::SuspectRestart(BootTime aNow)
{
  this->coldUntil = std::max(this->coldUntil, aNow + kRestartReportTimeout);
}

void
ServerRecord::OnSent(BootTime aNow)
{
  ++this->inFlight;
  this->sentAt = aNow;
}

void
ServerRecord::OnEnded(SendOutcome aOutcome, std::chrono::milliseconds aDuration, BootTime aNow)
{
  this->inFlight = std::max(0, this->inFlight - 1);
  if (aOutcome == SendOutcome::kAbandoned || aOutcome == SendOutcome::kNotRelayed) {
    return;
  }
  const double sample = IsFailure(aOutcome) ? 1.0 : 0.0;
  this->failureRate += kFailureWeight * (sample - this->failureRate);
  switch (aOutcome) {
    case SendOutcome::kServed: {
      const auto sampleTime = static_cast<double>(aDuration.count());
      this->meanResponseTime += (this->meanResponseTime > 0 ? kResponseTimeWeight : 1.0) *
                                (sampleTime - this->meanResponseTime);
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
      if (aNow - this->brokenAt < kRestartDetectionWindow) {
        this->SuspectRestart(aNow);
      }
      this->brokenAt = aNow;
      break;
    case SendOutcome::kFailed:
    case SendOutcome::kMisdirected:
    case SendOutcome::kTimeout:
    case SendOutcome::kAbandoned:
    case SendOutcome::kNotRelayed:
      break;
  }
  if (IsFailure(aOutcome) && this->failureRate > kEjectionThreshold) {
    this->Eject(kFailureEjection, aNow);
  }
}

void
ServerRecord::Eject(std::chrono::milliseconds aMinimum, BootTime aNow)
{
  if (this->IsEjected(aNow)) {
    return;
  }
  this->ejection = std::clamp(this->ejection * 2, aMinimum, kMaxEjection);
  this->ejectedUntil = aNow + this->ejection;
  this->failureRate = kFailureRateAfterEjection;
}

void
ServerRecord::OnLoad(const ServerLoad& aLoad, BootTime aNow)
{
  this->peerRequests = std::max(0, aLoad.running + aLoad.waiting - this->inFlight);
  this->peerRequestsAt = aNow;
}

void
ServerRecord::OnPeerLoad(int aRequests, BootTime aNow)
{
  if (aNow - this->peerRequestsAt < kMinReportLifetime) {
    return;
  }
  this->peerRequests = std::max(0, aRequests - this->inFlight);
  this->peerRequestsAt = aNow;
}

bool
ServerRecord::OnLimit(std::optional<double> aRate, BootTime aStatedAt)
{
  const bool isNewLimit = aRate && !this->limit.Rate();
  const bool hasChanged = this->limit.OnStatement(aRate, aStatedAt);
  if (hasChanged && isNewLimit) {
    this->limitTokens.Drain(aStatedAt);
  }
  return hasChanged;
}

double
ServerRecord::LoadAt(double aMeanResponseTime, BootTime aNow) const
{
  if (aNow < this->shedUntil) {
    return this->inFlight + this->entry.slots;
  }
  const double halfLife = std::max(kMinReportHalfLife.count(), aMeanResponseTime * kReportHalfLife);
  const double age = Milliseconds(aNow - this->peerRequestsAt).count() / halfLife;
  return this->inFlight + this->peerRequests * std::exp2(-std::max(0.0, age));
}

double
ServerRecord::UsableSlots(double aMeanResponseTime) const
{
  const double slots = this->entry.slots;
  if (this->meanResponseTime <= 0 || aMeanResponseTime <= 0) {
    return slots;
  }
  const double fraction = kSlowFactor * aMeanResponseTime / this->meanResponseTime;
  return std::max(1.0, slots * std::clamp(fraction, kMinSlotFraction, 1.0));
}

} // namespace plantainhaven::placing
