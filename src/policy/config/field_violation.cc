#include "policy/config/field_violation.h"

#include "plantainhaven/policy/config/configuration.h"

#include <array>
#include <charconv>
#include <cmath>

namespace plantainhaven {

Error
InvalidResource(const Resource& aResource, FieldViolation aViolation)
{
  const std::string kind = KindOf(aResource);
  return { ErrorKind::kInvalid,
           (kind.empty() ? "resource" : kind) + " " + Quote(aResource.name()) + ": " +
             aViolation.field + " is " + aViolation.actual + ", expected " + aViolation.expected,
           std::move(aViolation.remedy),
           std::move(aViolation.field) };
}

std::string
Quote(const std::string& aText)
{
  return '"' + aText + '"';
}

std::string
FormatNumber(double aNumber)
{
  // Numbers of this size or more may be written with an exponent.
  constexpr double kFixedLimit = 1e15;
  const bool isFixed = std::abs(aNumber) < kFixedLimit;
  const auto format = isFixed ? std::chars_format::fixed : std::chars_format::general;
  std::array<char, 512> buffer{};
  const std::to_chars_result end =
    std::to_chars(buffer.data(), buffer.data() + buffer.size(), aNumber, format);
  return { buffer.data(), end.ptr };
}

} // namespace plantainhaven
