#pragma once

#include <cstdint>

namespace plantainhaven {

// Returns a loopback port that is free at the time of the call; another process may bind it
// afterwards. Throws std::runtime_error when no port is free.
std::uint16_t
FreePort();

// Returns each free loopback port once, from a range below the kernel's ephemeral ports, so
// that the port of a restarted process isn't taken by an outgoing connection meanwhile.
class PortRange
{
public:
  PortRange();
  // Throws std::runtime_error when the range is exhausted.
  std::uint16_t Next();

private:
  std::uint16_t tried = 0;
  std::uint16_t offset = 0;
};

} // namespace plantainhaven
