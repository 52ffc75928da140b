#pragma once

#include "plantainhaven/common/result.h"
#include "policy/config/write_view.h"

namespace plantainhaven {

// Checks the rules of a resource's kind that span several fields or several resources.
// CheckFieldRules() must have passed before.
Result<Done>
CheckCrossFieldRules(const Resource& aResource, const WriteView& aView);

// Checks that a name has 1 to 128 characters of a-z, 0-9, '-', '.' and '_'.
Result<Done>
CheckName(const Resource& aResource);

} // namespace plantainhaven
