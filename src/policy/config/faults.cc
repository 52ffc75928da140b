#include "policy/config/faults.h"

#include "plantainhaven/policy/config/configuration.h"

#include <array>
#include <charconv>
#include <cmath>

namespace plantainhaven {

Error
MakeFault(const Resource& aResource, FieldFault aFault)
{
  const std::string kind = KindOf(aResource);
  return { ErrorKind::kInvalid,
           (kind.empty() ? "resource" : kind) + " " + Quote(aResource.name()) + ": " +
             aFault.field + " is " + aFault.actual + ", expected " + aFault.expected,
           std::move(aFault.remedy),
           std::move(aFault.field) };
}

std::string
Quote(const std::string& aText)
{
  return '"' + aText + '"';
}

std::string
ToText(double aNumber)
{
  // Larger numbers are written with an exponent.
  constexpr double kLargestPlain = 1e15;
  const bool plain = std::abs(aNumber) < kLargestPlain;
  const auto format = plain ? std::chars_format::fixed : std::chars_format::general;
  std::array<char, 512> buffer{};
  const std::to_chars_result end =
    std::to_chars(buffer.data(), buffer.data() + buffer.size(), aNumber, format);
  return { buffer.data(), end.ptr };
}

} // namespace plantainhaven
