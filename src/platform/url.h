#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace plantainhaven {

// Writes every byte but letters, digits and "-._~" as %XX, so that the result may
// stand in a path segment or a query.
std::string
PercentEncode(std::string_view aText);

// The reverse; nothing when a '%' isn't followed by two hexadecimal digits. A '+'
// stays a '+'.
std::optional<std::string>
PercentDecode(std::string_view aText);

// The path of a request target, still encoded: the part before '?'.
std::string_view
EncodedPath(std::string_view aTarget) noexcept;

} // namespace plantainhaven
