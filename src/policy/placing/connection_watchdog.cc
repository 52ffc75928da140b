#include "plantainhaven/policy/placing/connection_watchdog.h"

namespace plantainhaven::placing {
namespace {

// Number of reports that may be missed before a connection is considered stalled.
constexpr int kMaxMissedReports = 2;

} // namespace

void
ConnectionWatchdog::OnSent(bool aWasAccepted, BootTime aNow)
{
  this->needsResend = !aWasAccepted;
  if (aWasAccepted && this->unansweredSince == BootTime{}) {
    this->unansweredSince = aNow;
  }
}

void
ConnectionWatchdog::OnReport(bool aReceivesFromThisVm)
{
  if (aReceivesFromThisVm) {
    this->unansweredSince = BootTime{};
  }
}

bool
ConnectionWatchdog::TakeReconnect(std::chrono::milliseconds aReportInterval, BootTime aNow)
{
  const auto limit = kMaxMissedReports * aReportInterval + kMaxRoundTrip;
  if (this->unansweredSince == BootTime{} || aNow - this->unansweredSince <= limit) {
    return false;
  }
  this->unansweredSince = BootTime{};
  this->needsResend = true;
  return true;
}

} // namespace plantainhaven::placing
