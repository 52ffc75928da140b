#include "plantainhaven/common/log_sampler.h"

#include <utility>

namespace plantainhaven {
namespace {

constexpr std::chrono::seconds kWindow{ 1 };

} // namespace

LogSampler::Decision
LogSampler::CheckLimit(std::string_view aEvent, BootTime aNow)
{
  auto found = this->events.find(aEvent);
  if (found == this->events.end()) {
    found = this->events.emplace(std::string(aEvent), EventState{ aNow }).first;
  }
  EventState& state = found->second;
  if (aNow - state.windowStart >= kWindow) {
    state.windowStart = aNow;
    state.written = 0;
  }
  if (state.written >= this->linesPerSecond) {
    ++state.suppressed;
    return { .shouldWrite = false };
  }
  ++state.written;
  return { .shouldWrite = true, .suppressed = std::exchange(state.suppressed, 0) };
}

std::map<std::string, std::uint64_t>
LogSampler::TakeSuppressedCounts()
{
  std::map<std::string, std::uint64_t> counts;
  for (auto& [event, state] : this->events) {
    if (state.suppressed > 0) {
      counts.emplace(event, std::exchange(state.suppressed, 0));
    }
  }
  return counts;
}

} // namespace plantainhaven
