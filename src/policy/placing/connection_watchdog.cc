#include "plantainhaven/policy/placing/connection_watchdog.h"

namespace plantainhaven::placing {
namespace {

// Reports that may be missed before a connection is taken as silent.
constexpr int kReportsMissed = 2;

} // namespace

void
ConnectionWatchdog::OnSent(bool aWasTaken, BootTime aNow)
{
  this->isOwed = !aWasTaken;
  if (aWasTaken && this->unansweredSince == BootTime{}) {
    this->unansweredSince = aNow;
  }
}

void
ConnectionWatchdog::OnReport(bool aHearsThisVm)
{
  if (aHearsThisVm) {
    this->unansweredSince = BootTime{};
  }
}

bool
ConnectionWatchdog::TakeReconnect(std::chrono::milliseconds aReportInterval, BootTime aNow)
{
  const auto limit = kReportsMissed * aReportInterval + kMaxRoundTrip;
  if (this->unansweredSince == BootTime{} || aNow - this->unansweredSince <= limit) {
    return false;
  }
  this->unansweredSince = BootTime{};
  this->isOwed = true;
  return true;
}

} // namespace plantainhaven::placing
