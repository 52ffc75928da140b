#include "plantainhaven/policy/placing/caller_directory.h"

#include <algorithm>

namespace plantainhaven::placing {

namespace {

// Keeps the VMs that have a path, and as many of the others as make up half of all. Keeps all if
// none has a path.
void
LeaveOutVmsWithoutPath(std::vector<const EntryVm*>& aVms)
{
  const auto firstWithout = std::stable_partition(
    aVms.begin(), aVms.end(), [](const EntryVm* aVm) { return aVm->hasServerPath; });
  const auto withPath = static_cast<std::size_t>(firstWithout - aVms.begin());
  if (withPath > 0) {
    aVms.resize(std::max(withPath, (aVms.size() + 1) / 2));
  }
}

} // namespace

std::vector<std::string>
AddressesFor(const std::vector<EntryVm>& aVms,
             std::string_view aRegion,
             std::string_view aFailureDomain,
             std::size_t aMaxCount)
{
  const bool hasVmInRegion = std::any_of(
    aVms.begin(), aVms.end(), [aRegion](const EntryVm& aVm) { return aVm.region == aRegion; });
  std::vector<const EntryVm*> candidates;
  for (const EntryVm& vm : aVms) {
    if (!hasVmInRegion || vm.region == aRegion) {
      candidates.push_back(&vm);
    }
  }
  LeaveOutVmsWithoutPath(candidates);
  std::stable_sort(candidates.begin(),
                   candidates.end(),
                   [aFailureDomain](const EntryVm* aLeft, const EntryVm* aRight) {
                     return (aLeft->failureDomain == aFailureDomain) >
                            (aRight->failureDomain == aFailureDomain);
                   });
  std::vector<std::string> addresses;
  for (const EntryVm* vm : candidates) {
    if (addresses.size() < aMaxCount) {
      addresses.push_back(vm->callerEndpoint);
    }
  }
  return addresses;
}

} // namespace plantainhaven::placing
