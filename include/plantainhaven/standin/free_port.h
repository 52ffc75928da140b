#pragma once

#include <cstdint>

namespace plantainhaven {

// Returns free loopback ports one after the other, from a range below the kernel's ephemeral ports,
// so that a port isn't taken by an outgoing connection before it is bound, or while its process is
// restarted. Each is returned once before the first is returned again.
class PortRange
{
public:
  PortRange();
  // Throws std::runtime_error when no port of the range is free.
  std::uint16_t Next();

private:
  int handedOut = 0;
  std::uint16_t offset = 0;
};

// Returns the next port of a range that the whole process shares. Another process may bind it
// afterwards. Throws std::runtime_error when no port is free.
std::uint16_t
FreePort();

} // namespace plantainhaven
