#pragma once

#include "plantainhaven/common/time.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace plantainhaven {

// Keeps the lines of one kind of event to a number a second, and counts those left out.
// Not thread-safe; reads no clock.
class LogSampler
{
public:
  explicit LogSampler(std::uint32_t aLinesPerSecond)
    : linesPerSecond(aLinesPerSecond)
  {
  }

  struct Verdict
  {
    bool isWritten = false;
    // Lines of the kind that were left out since the last one written.
    std::uint64_t leftOut = 0;
  };
  Verdict Judge(std::string_view aEvent, BootTime aNow);
  // Takes the counts that no line has told yet, by event.
  std::map<std::string, std::uint64_t> TakeCounts();

private:
  struct Kind
  {
    BootTime windowStart{};
    std::uint32_t written = 0;
    std::uint64_t leftOut = 0;
  };

  std::uint32_t linesPerSecond;
  std::map<std::string, Kind, std::less<>> kinds;
};

} // namespace plantainhaven
