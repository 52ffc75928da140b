#include "plantainhaven/common/log_sampler.h"

#include <utility>

namespace plantainhaven {
namespace {

constexpr std::chrono::seconds kWindow{ 1 };

} // namespace

LogSampler::Verdict
LogSampler::Judge(std::string_view aEvent, BootTime aNow)
{
  auto found = this->kinds.find(aEvent);
  if (found == this->kinds.end()) {
    found = this->kinds.emplace(std::string(aEvent), Kind{ aNow }).first;
  }
  Kind& kind = found->second;
  if (aNow - kind.windowStart >= kWindow) {
    kind.windowStart = aNow;
    kind.written = 0;
  }
  if (kind.written >= this->linesPerSecond) {
    ++kind.leftOut;
    return { .isWritten = false };
  }
  ++kind.written;
  return { .isWritten = true, .leftOut = std::exchange(kind.leftOut, 0) };
}

std::map<std::string, std::uint64_t>
LogSampler::TakeCounts()
{
  std::map<std::string, std::uint64_t> counts;
  for (auto& [event, kind] : this->kinds) {
    if (kind.leftOut > 0) {
      counts.emplace(event, std::exchange(kind.leftOut, 0));
    }
  }
  return counts;
}

} // namespace plantainhaven
