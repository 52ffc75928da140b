#include "platform/backend_work.h"

#include <cstdint>

namespace plantainhaven {

SlotPool::SlotPool(std::size_t aSlots)
  : slots(aSlots)
{
}

bool
SlotPool::Take()
{
  std::size_t seen = this->taken.load();
  while (seen < this->slots) {
    if (this->taken.compare_exchange_weak(seen, seen + 1)) {
      return true;
    }
  }
  return false;
}

void
SlotPool::GiveBack()
{
  --this->taken;
}

std::size_t
SlotPool::Taken() const
{
  return this->taken.load();
}

std::size_t
SlotPool::Size() const
{
  return this->slots;
}

std::chrono::milliseconds
ColdStart::ExtraAt(std::chrono::nanoseconds aAge) const
{
  const std::chrono::nanoseconds whole = this->duration;
  if (aAge >= whole) {
    return std::chrono::milliseconds(0);
  }
  const auto left =
    static_cast<double>((whole - aAge).count()) / static_cast<double>(whole.count());
  const double share = left * static_cast<double>(this->extra.count());
  return std::chrono::milliseconds(static_cast<std::int64_t>(share));
}

} // namespace plantainhaven
