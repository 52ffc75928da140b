#pragma once

#include "plantainhaven/common/time.h"
#include "plantainhaven/policy/request/request_tables.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <mutex>

namespace plantainhaven {

// What the control thread publishes for the traffic threads: the newest tables and how
// long they may be acted on.
class ViewState
{
public:
  // Publishes tables together with their freshness. Never called with older tables.
  void Publish(std::shared_ptr<const RequestTables> aTables, BootTime aFreshUntil)
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->tables = std::move(aTables);
    this->freshUntil.store(ToBootNanoseconds(aFreshUntil), std::memory_order_release);
  }
  // Extends the freshness of the tables published last.
  void Extend(BootTime aFreshUntil)
  {
    this->freshUntil.store(ToBootNanoseconds(aFreshUntil), std::memory_order_release);
  }
  // The newest tables, null before the first.
  std::shared_ptr<const RequestTables> Tables() const
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->tables;
  }
  bool IsFresh(BootTime aNow) const
  {
    return aNow < FromBootNanoseconds(this->freshUntil.load(std::memory_order_acquire));
  }

private:
  mutable std::mutex mutex;
  std::shared_ptr<const RequestTables> tables;
  std::atomic<std::int64_t> freshUntil{ 0 };
};

} // namespace plantainhaven
