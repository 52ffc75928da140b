#pragma once

#include "plantainhaven/common/time.h"

#include <chrono>

namespace plantainhaven::placing {

// When the signal to stop was sent, as far as the process can know: a busy or suspended process
// sees it later.
struct StopSignal
{
  // The process had checked for signals by then and there was none.
  BootTime earliest{};
  BootTime seenAt{};
};

// What a VM does when in the grace period between the signal to stop and the end of its process.
// Limits at which requests must be accepted or ended count from the earliest time of the signal,
// because the process is killed when the grace period has passed. Reads no clock.
class StopSchedule
{
public:
  StopSchedule(const StopSignal& aSignal, std::chrono::milliseconds aGrace);

  // Requests that come later are rejected: the platform excuses a break-off in the last part of the
  // grace period only for those sent in its first half.
  BootTime AcceptUntil() const { return this->acceptUntil; }
  // Requests without a response are answered in the server's place.
  BootTime EndAt() const { return this->endAt; }
  // So are those whose response hasn't been forwarded in part.
  BootTime EndBufferedAt() const { return this->endBufferedAt; }
  // The process ends, whatever is open.
  BootTime ExitAt() const { return this->exitAt; }
  // Whether a request that takes this time would be answered by its server.
  bool Fits(std::chrono::milliseconds aTime, BootTime aNow) const
  {
    return aNow + aTime <= this->endAt;
  }

private:
  BootTime acceptUntil;
  BootTime endAt;
  BootTime endBufferedAt;
  BootTime exitAt;
};

} // namespace plantainhaven::placing
