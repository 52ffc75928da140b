#include "policy/request/server_state.h"

#include <algorithm>

namespace plantainhaven {

namespace {

// Each response time moves the mean by 1/kMeanDivisor of the difference.
constexpr int kMeanDivisor = 8;
// Smallest fraction of its capacity that a server has during slow start.
constexpr double kSlowStartFloor = 0.1;
// Limits the shift that doubles the ejection time, so that it can't overflow.
constexpr std::uint32_t kMaxDoublings = 10;

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
  const double slowStartTime = std::chrono::duration<double>(this->slowStart).count();
  return std::clamp(age / slowStartTime, kSlowStartFloor, 1.0);
}

double
ServerState::Score(const ServerChooserOptions& aOptions, BootTime aNow) const
{
  double load = this->inFlight;
  if (this->reported) {
    const double age = std::chrono::duration<double>(aNow - this->reportedAt).count();
    const double maxAge = std::chrono::duration<double>(aOptions.reportMaxAge).count();
    const double reportWeight = std::clamp(1 - age / maxAge, 0.0, 1.0);
    const double others = std::max(0.0, this->report.inFlight - load);
    load += reportWeight * std::min<double>(others, this->entry->slots);
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
  const std::uint32_t doublings = std::min(this->failures - aOptions.ejectAfter, kMaxDoublings);
  const std::chrono::nanoseconds length =
    std::min(aOptions.baseEjection * (1 << doublings), aOptions.maxEjection);
  this->ejectedUntil = aNow + length;
}

void
ServerState::OnResponse(const ServerChooserOptions& aOptions, BootTime aNow)
{
  if (this->failures >= aOptions.ejectAfter) {
    // The server was ejected and may have restarted in between, so it starts slowly.
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
    this->OnResponse(aOptions, aNow);
  }
}

void
ServerState::OnResponseTime(std::chrono::nanoseconds aTime)
{
  const bool first = this->meanResponseTime.count() == 0;
  this->meanResponseTime += first ? aTime : (aTime - this->meanResponseTime) / kMeanDivisor;
}

void
ServerState::OnReport(const LoadReport& aReport,
                      const ServerChooserOptions& aOptions,
                      BootTime aRequestedAt)
{
  if (this->reported && aRequestedAt < this->reportedAt) {
    return;
  }
  this->failedProbes = 0;
  this->report = aReport;
  this->reportedAt = aRequestedAt;
  this->reported = true;
  this->drainingUntil = aReport.draining ? aRequestedAt + aOptions.drainHold : BootTime{};
  if (aReport.uptime.count() >= 0 && aReport.uptime < this->slowStart) {
    this->warming = true;
    this->warmingSince = aRequestedAt - aReport.uptime;
  }
}

void
ServerState::OnReportMissing(const ServerChooserOptions& aOptions, BootTime aNow)
{
  if (this->failures >= aOptions.ejectAfter) {
    this->ejectedUntil = std::max(this->ejectedUntil, aNow + aOptions.baseEjection);
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
  this->drainingUntil = aNow + aOptions.drainHold;
}

} // namespace plantainhaven
