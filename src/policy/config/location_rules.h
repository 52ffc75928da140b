#pragma once

#include "policy/config/field_violation.h"
#include "policy/config/write_view.h"

namespace plantainhaven {

// Checks that the failure domains of a region have distinct, valid names and include those
// of all servers and VMs in the region.
OptionalViolation
CheckRegion(const Resource& aResource, const WriteView& aView);

// Checks a server's failure domain and address.
OptionalViolation
CheckBackendServer(const Resource& aResource, const WriteView& aView);

// Checks a VM's failure domain, address, state and ports.
OptionalViolation
CheckEntryVm(const Resource& aResource, const WriteView& aView);

} // namespace plantainhaven
