#include "plantainhaven/common/result.h"

#include <array>

namespace plantainhaven {

namespace {

constexpr std::array kKindNames = { "invalid", "not_found", "conflict", "unavailable",
                                    "unknown", "timeout",   "refused",  "internal" };

} // namespace

const char*
ToString(ErrorKind aKind) noexcept
{
  const auto index = static_cast<std::size_t>(aKind);
  return index < kKindNames.size() ? kKindNames[index] : "internal";
}

} // namespace plantainhaven
