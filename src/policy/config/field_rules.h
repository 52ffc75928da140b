#pragma once

#include "plantainhaven/common/result.h"
#include "policy/config/write_view.h"

namespace plantainhaven {

// A reference from a string field to another resource.
struct Reference
{
  std::string field;
  std::string kind;
  std::string name;
};

// Checks the fields of a resource against the rules in the schema: required fields, ranges
// and references to resources that must exist.
Result<Done>
CheckFieldRules(const Resource& aResource, const WriteView& aView);

// Returns all references that a resource holds, in the order of its fields.
std::vector<Reference>
ReferencesOf(const Resource& aResource);

} // namespace plantainhaven
