#include "plantainhaven/policy/placing/quota_parts.h"

#include <algorithm>

namespace plantainhaven::placing {

std::optional<std::vector<QuotaPart>>
ShareQuota(const std::vector<QuotaPart>& aParts, const std::string& aGiver, std::size_t aMost)
{
  const auto giver = std::find_if(
    aParts.begin(), aParts.end(), [&aGiver](const QuotaPart& aPart) { return aPart.vm == aGiver; });
  if (giver == aParts.end() || aParts.size() < 2) {
    return std::nullopt;
  }
  const auto target = kWholeQuota / static_cast<std::uint32_t>(aParts.size());
  std::vector<QuotaPart> changed{ *giver };
  for (const QuotaPart& part : aParts) {
    const bool mayGive = changed.front().millionths >= 2 * target;
    if (part.millionths == 0 && mayGive && changed.size() <= aMost) {
      changed.front().millionths -= target;
      changed.push_back({ part.vm, target });
    }
  }
  return changed.size() < 2 ? std::nullopt : std::optional(changed);
}

} // namespace plantainhaven::placing
