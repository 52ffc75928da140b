#pragma once

#include "plantainhaven/common/result.h"

#include <optional>
#include <string>

#include "resources.pb.h"

namespace plantainhaven {

// What is wrong with one field of a resource.
struct FieldViolation
{
  std::string field;
  std::string actual;
  std::string expected;
  std::string remedy;
};

// The first fault found, if any.
using OptionalViolation = std::optional<FieldViolation>;

// The kInvalid error of a fault, which names the resource.
Error
InvalidResource(const Resource& aResource, FieldViolation aViolation);

// Text in quotes, as messages show values.
std::string
Quote(const std::string& aText);

// A number without needless digits: 1, 0.5, 100000.
std::string
ToText(double aNumber);

} // namespace plantainhaven
