#pragma once

#include "plantainhaven/common/result.h"

#include <optional>
#include <string>

#include "resources.pb.h"

namespace plantainhaven {

// The violation of a rule by one field of a resource.
struct FieldViolation
{
  std::string field;
  std::string actual;
  std::string expected;
  std::string remedy;
};

// The first violation found, if any.
using OptionalViolation = std::optional<FieldViolation>;

// Returns the kInvalid error for a violation; its message names the resource.
Error
InvalidResource(const Resource& aResource, FieldViolation aViolation);

// Returns the text in double quotes, for error messages.
std::string
Quote(const std::string& aText);

// Formats a number with the fewest digits that preserve its value: 1, 0.5, 100000.
std::string
FormatNumber(double aNumber);

} // namespace plantainhaven
