#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace plantainhaven::placing {

// An entry VM, as returned to callers that look up addresses.
struct EntryVm
{
  std::string name;
  // "ADDRESS:PORT" to which callers connect.
  std::string callerEndpoint;
  std::string region;
  std::string failureDomain;
  // Has a path of its own to backend servers; otherwise other VMs relay its requests.
  bool hasServerPath = true;
};

// The addresses that a caller in `aRegion` should use: those of the VMs in that region, or of all
// VMs if the region has none. VMs without a path to backend servers are left out as long as the
// others are at least half of these VMs, so that the remaining ones aren't overloaded. Returns at
// most `aMaxCount` addresses, those in the caller's failure domain first.
std::vector<std::string>
AddressesFor(const std::vector<EntryVm>& aVms,
             std::string_view aRegion,
             std::string_view aFailureDomain,
             std::size_t aMaxCount);

} // namespace plantainhaven::placing
