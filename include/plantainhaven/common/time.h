#pragma once

#include <chrono>
#include <cstdint>

namespace plantainhaven {

// The clock for leases, grants and the freshness of state. It reads CLOCK_BOOTTIME, which
// is monotonic and also advances while a VM is suspended. Policy code takes the time as
// an argument and never calls Now().
class BootClock
{
public:
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;

  // Returns the current time. Never fails on a supported kernel.
  static time_point Now() noexcept;
};

using BootTime = BootClock::time_point;
using Nanoseconds = std::chrono::nanoseconds;

// Convert between a time and its encoding in messages, the nanoseconds since boot.
std::int64_t
ToBootNanoseconds(BootTime aTime) noexcept;
BootTime
FromBootNanoseconds(std::int64_t aNanoseconds) noexcept;

} // namespace plantainhaven
