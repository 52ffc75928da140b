#pragma once

#include <chrono>
#include <cstdint>

namespace plantainhaven {

// The clock that dates evidence, leases and grants. It reads CLOCK_BOOTTIME, which
// counts on while a VM is suspended and never steps back. Decisions in policy code
// take readings as arguments and never call Now() themselves.
class BootClock
{
public:
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;

  // Returns the present reading. Never fails on a supported kernel.
  static time_point Now() noexcept;
};

using BootTime = BootClock::time_point;
using Nanoseconds = std::chrono::nanoseconds;

// Converts a reading to and from the number that messages carry.
std::int64_t
ToBootNanoseconds(BootTime aTime) noexcept;
BootTime
FromBootNanoseconds(std::int64_t aNanoseconds) noexcept;

} // namespace plantainhaven
