#include "plantainhaven/common/time.h"

#include <ctime>

namespace plantainhaven {

BootClock::time_point
BootClock::Now() noexcept
{
  timespec reading{};
  ::clock_gettime(CLOCK_BOOTTIME, &reading);
  return time_point(std::chrono::seconds(reading.tv_sec) +
                    std::chrono::nanoseconds(reading.tv_nsec));
}

std::int64_t
ToBootNanoseconds(BootTime aTime) noexcept
{
  return aTime.time_since_epoch().count();
}

BootTime
FromBootNanoseconds(std::int64_t aNanoseconds) noexcept
{
  return BootTime(Nanoseconds(aNanoseconds));
}

} // namespace plantainhaven
