#pragma once

#include "plantainhaven/policy/lookup/lookup_policy.h"

#include <atomic>
#include <memory>

namespace plantainhaven {

// The policy in force. One thread replaces it while others read it; a reader keeps the
// one that it took until it is done. Null before the first view has come.
using PublishedPolicy = std::atomic<std::shared_ptr<const LookupPolicy>>;

} // namespace plantainhaven
