#pragma once

#include "plantainhaven/policy/lookup/lookup_policy.h"

#include <atomic>
#include <memory>

namespace plantainhaven {

// The current policy. One thread replaces it while others read it; a reader holds a
// reference to the policy that it loaded until it is done. Null until the first view is
// received.
using PublishedPolicy = std::atomic<std::shared_ptr<const LookupPolicy>>;

} // namespace plantainhaven
