#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace plantainhaven::placing {

// All parts of the fleet's limits together.
constexpr std::uint32_t kWholeQuota = 1'000'000;

// The part of all limits that a VM may give out, as the store keeps it.
struct QuotaPart
{
  std::string vm;
  std::uint32_t millionths = 0;
};

// How `aGiver` splits its part among the VMs that have none, so that all VMs end up with
// about the same; nothing when it has too little to give. The result holds the new parts of
// the giver, which comes first, and of those that receive. The sum of all parts stays.
std::optional<std::vector<QuotaPart>>
ShareQuota(const std::vector<QuotaPart>& aParts, const std::string& aGiver, std::size_t aMost);

} // namespace plantainhaven::placing
