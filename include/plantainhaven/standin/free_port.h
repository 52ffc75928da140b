#pragma once

#include <cstdint>

namespace plantainhaven {

// A port of the loopback interface that nobody listens on. Another process may take it
// meanwhile. Throws std::runtime_error when there is none.
std::uint16_t
FreePort();

// Ports of the loopback interface below those that the kernel gives to connections, each
// once: a process that is started again finds its port still free.
class PortRange
{
public:
  PortRange();
  // Throws std::runtime_error when the range is used up.
  std::uint16_t Next();

private:
  std::uint16_t tried = 0;
  std::uint16_t offset = 0;
};

} // namespace plantainhaven
