#include "policy/config/faults.h"

#include "plantainhaven/policy/config/configuration.h"

#include <array>
#include <charconv>

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
  std::array<char, 64> buffer{};
  const std::to_chars_result end =
    std::to_chars(buffer.data(), buffer.data() + buffer.size(), aNumber);
  return { buffer.data(), end.ptr };
}

} // namespace plantainhaven
