#pragma once

#include "policy/config/faults.h"
#include "policy/config/write_view.h"

namespace plantainhaven {

// Checks that failure domains have distinct, proper names and that no server or VM
// is left in a domain that the region no longer has.
OptionalViolation
CheckRegion(const Resource& aResource, const WriteView& aView);

// Checks a server's failure domain and address.
OptionalViolation
CheckBackendServer(const Resource& aResource, const WriteView& aView);

// Checks a VM's failure domain, address, state and ports.
OptionalViolation
CheckEntryVm(const Resource& aResource, const WriteView& aView);

} // namespace plantainhaven
