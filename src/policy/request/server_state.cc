#include "policy/request/server_state.h"

#include <algorithm>

namespace plantainhaven {

namespace {

// Each answer time counts for one part in so many in the mean.
constexpr int kMeanParts = 8;
// Smallest part of its full share that a cold server gets.
constexpr double kSlowStartFloor = 0.1;
// Ejections aren't doubled more often than this.
constexpr std::uint32_t kMostDoublings = 10;

} // namespace

ServerState::ServerState(bool aWarming, BootTime aNow)
  : warming(aWarming)
  , warmingSince(aNow)
{
}

bool
ServerState::IsDraining(BootTime aNow) const
{
  return this->entry->draining || aNow < this->drainingUntil;
}

double
ServerState::SlowStartFactor(BootTime aNow) const
{
  if (!this->warming || this->slowStart.count() <= 0) {
    return 1;
  }
  const double age = std::chrono::duration<double>(aNow - this->warmingSince).count();
  const double whole = std::chrono::duration<double>(this->slowStart).count();
  return std::clamp(age / whole, kSlowStartFloor, 1.0);
}

double
ServerState::Score(const ServerChooserOptions& aOptions, BootTime aNow) const
{
  double load = this->inFlight;
  if (this->reported) {
    const double age = std::chrono::duration<double>(aNow - this->reportedAt).count();
    const double life = std::chrono::duration<double>(aOptions.reportLife).count();
    const double trust = std::clamp(1 - age / life, 0.0, 1.0);
    const double others = std::max(0.0, this->report.inFlight - load);
    load += trust * std::min<double>(others, this->entry->slots);
  }
  const double capacity = std::max(1U, this->entry->slots) * this->SlowStartFactor(aNow);
  return (load + 1) / capacity;
}

void
ServerState::OnFailure(const ServerChooserOptions& aOptions, BootTime aNow)
{
  ++this->failures;
  if (this->failures < aOptions.ejectAfter) {
    return;
  }
  const std::uint32_t doublings = std::min(this->failures - aOptions.ejectAfter, kMostDoublings);
  const std::chrono::nanoseconds length =
    std::min(aOptions.ejection * (1 << doublings), aOptions.longestEjection);
  this->ejectedUntil = aNow + length;
}

void
ServerState::OnAnswer(const ServerChooserOptions& aOptions, BootTime aNow)
{
  if (this->failures >= aOptions.ejectAfter) {
    // It was away, so it may have restarted cold.
    this->warming = true;
    this->warmingSince = aNow;
  }
  this->failures = 0;
  this->ejectedUntil = BootTime{};
}

void
ServerState::OnAttemptEnd(AttemptOutcome aOutcome,
                          const ServerChooserOptions& aOptions,
                          BootTime aNow)
{
  this->inFlight -= this->inFlight > 0 ? 1 : 0;
  if (aOutcome == AttemptOutcome::kFailed) {
    this->OnFailure(aOptions, aNow);
  }
  if (aOutcome == AttemptOutcome::kShed) {
    this->shedUntil = aNow + aOptions.shedPause;
  }
  if (aOutcome == AttemptOutcome::kCompleted) {
    this->OnAnswer(aOptions, aNow);
  }
}

void
ServerState::OnResponseTime(std::chrono::nanoseconds aTime)
{
  const bool first = this->usualTime.count() == 0;
  this->usualTime += first ? aTime : (aTime - this->usualTime) / kMeanParts;
}

void
ServerState::OnReport(const LoadReport& aReport,
                      const ServerChooserOptions& aOptions,
                      BootTime aAskedAt)
{
  if (this->reported && aAskedAt < this->reportedAt) {
    return;
  }
  this->failedProbes = 0;
  this->report = aReport;
  this->reportedAt = aAskedAt;
  this->reported = true;
  this->drainingUntil = aReport.draining ? aAskedAt + aOptions.drainMemory : BootTime{};
  if (aReport.uptime.count() >= 0 && aReport.uptime < this->slowStart) {
    this->warming = true;
    this->warmingSince = aAskedAt - aReport.uptime;
  }
}

void
ServerState::OnReportMissing(const ServerChooserOptions& aOptions, BootTime aNow)
{
  if (this->failures >= aOptions.ejectAfter) {
    this->ejectedUntil = std::max(this->ejectedUntil, aNow + aOptions.ejection);
  }
}

void
ServerState::OnUnreachable(const ServerChooserOptions& aOptions, BootTime aNow)
{
  if (++this->failedProbes >= aOptions.ejectAfter) {
    this->failures = std::max(this->failures, aOptions.ejectAfter);
    this->OnReportMissing(aOptions, aNow);
  }
}

void
ServerState::OnDraining(const ServerChooserOptions& aOptions, BootTime aNow)
{
  this->drainingUntil = aNow + aOptions.drainMemory;
}

} // namespace plantainhaven
