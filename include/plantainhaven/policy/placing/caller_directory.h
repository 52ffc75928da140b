#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace plantainhaven::placing {

// A VM as look-ups see it.
struct EntryVm
{
  std::string name;
  // "ADDRESS:PORT" where callers reach it.
  std::string callerEndpoint;
  std::string region;
  std::string failureDomain;
};

// The addresses that a caller in `aRegion` should use: the VMs of its region, or all VMs
// when none is there; at most `aMost`, those of its failure domain first.
std::vector<std::string>
AddressesFor(const std::vector<EntryVm>& aVms,
             std::string_view aRegion,
             std::string_view aFailureDomain,
             std::size_t aMost);

} // namespace plantainhaven::placing
