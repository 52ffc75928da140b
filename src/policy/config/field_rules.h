#pragma once

#include "plantainhaven/common/result.h"
#include "policy/config/write_view.h"

namespace plantainhaven {

// A string field that names another resource.
struct Reference
{
  std::string field;
  std::string kind;
  std::string name;
};

// Checks a resource's fields against the rules in the schema: required, range and
// the resources that it must refer to.
Result<Done>
CheckFieldRules(const Resource& aResource, const WriteView& aView);

// Every reference that a resource holds, in order of its fields.
std::vector<Reference>
ReferencesOf(const Resource& aResource);

} // namespace plantainhaven
