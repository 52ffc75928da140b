#pragma once

#include "plantainhaven/common/time.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace plantainhaven {

// Limits the log lines of each event to a number per second and counts the suppressed ones.
// Not thread-safe; doesn't read the clock.
class LogSampler
{
public:
  explicit LogSampler(std::uint32_t aLinesPerSecond)
    : linesPerSecond(aLinesPerSecond)
  {
  }

  struct Decision
  {
    bool shouldWrite = false;
    // Lines of the event that were suppressed since the last written one; 0 when this line
    // is suppressed too.
    std::uint64_t suppressed = 0;
  };
  // Decides whether a line of the event is written at `aNow`, and counts it.
  Decision CheckLimit(std::string_view aEvent, BootTime aNow);
  // Returns the counts of suppressed lines that no decision has reported yet, by event, and
  // resets them.
  std::map<std::string, std::uint64_t> TakeSuppressedCounts();

private:
  struct EventState
  {
    BootTime windowStart{};
    std::uint32_t written = 0;
    std::uint64_t suppressed = 0;
  };

  std::uint32_t linesPerSecond;
  std::map<std::string, EventState, std::less<>> events;
};

} // namespace plantainhaven
