#include "plantainhaven/policy/placing/stop_schedule.h"

#include <algorithm>

namespace plantainhaven::placing {
namespace {

// Callers with an older look-up still connect for this long after the signal.
constexpr std::chrono::milliseconds kAcceptTime{ 3000 };
// Before this part of the grace period, breaking off a request that a server runs counts as a loss.
constexpr double kBreakOffFraction = 5.0 / 6.0;
// Times before the end of the grace period.
constexpr std::chrono::milliseconds kEndMargin{ 600 };
constexpr std::chrono::milliseconds kEndBufferedMargin{ 350 };
constexpr std::chrono::milliseconds kExitMargin{ 200 };

} // namespace

StopSchedule::StopSchedule(const StopSignal& aSignal, std::chrono::milliseconds aGrace)
{
  const BootTime killedAt = aSignal.earliest + aGrace;
  const auto untilBreakOff =
    std::chrono::duration_cast<BootClock::duration>(aGrace * kBreakOffFraction);
  this->acceptUntil = aSignal.earliest + std::min(kAcceptTime, aGrace / 2);
  this->exitAt = killedAt - kExitMargin;
  this->endBufferedAt = killedAt - kEndBufferedMargin;
  this->endAt =
    std::min(std::max(killedAt - kEndMargin, aSignal.seenAt + untilBreakOff), this->endBufferedAt);
}

} // namespace plantainhaven::placing
