#include "plantainhaven/policy/placing/limit_rotation.h"

#include <algorithm>

namespace plantainhaven::placing {

std::vector<KnownLimit>
LimitRotation::Next(const std::vector<KnownLimit>& aKnown, BootTime aNow)
{
  std::vector<KnownLimit> selected;
  std::vector<KnownLimit> others;
  for (const KnownLimit& limit : aKnown) {
    (aNow - limit.changedAt < kNewsTime ? selected : others).push_back(limit);
  }
  const std::size_t count = std::min(others.size(), kMaxOthers);
  for (std::size_t i = 0; i < count; ++i) {
    selected.push_back(others[(this->position + i) % others.size()]);
  }
  this->position += count;
  return selected;
}

} // namespace plantainhaven::placing
