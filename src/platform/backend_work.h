#pragma once

#include <atomic>
#include <chrono>
#include <cstddef>

namespace plantainhaven {

// Counts the requests that run. Safe for several threads.
class SlotPool
{
public:
  explicit SlotPool(std::size_t aSlots);

  // Takes a slot; false when all are taken.
  bool Take();
  void GiveBack();
  std::size_t Taken() const;
  std::size_t Size() const;

private:
  const std::size_t slots;
  std::atomic<std::size_t> taken = 0;
};

// How much longer requests take right after a start: `extra` at first, shrinking
// evenly to nothing over `duration`.
struct ColdStart
{
  std::chrono::milliseconds duration{ 0 };
  std::chrono::milliseconds extra{ 0 };

  // The extra time at a given age of the server.
  std::chrono::milliseconds ExtraAt(std::chrono::nanoseconds aAge) const;
};

} // namespace plantainhaven
