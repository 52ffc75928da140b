#pragma once

#include <cstddef>
#include <string>

namespace plantainhaven {

// At least 16 KiB of one text, for streams without end.
inline std::string
Repeat(const std::string& aText)
{
  constexpr std::size_t kBytes = 16 << 10;
  std::string text;
  while (text.size() < kBytes) {
    text += aText;
  }
  return text;
}

} // namespace plantainhaven
