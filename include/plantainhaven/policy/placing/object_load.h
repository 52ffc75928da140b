#pragma once

#include "plantainhaven/common/time.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace plantainhaven::placing {

// Tracks the recent request rate of each object on this VM. The rate determines how many backend
// servers should handle an object: one while its load fits there, because each further server
// has to load the object first and evicts another one. Not thread-safe; reads no clock.
class ObjectLoad
{
public:
  // Records an incoming request for the object.
  void OnRequest(std::uint64_t aObject, BootTime aNow);
  // Returns the requests per second for the object; zero if it isn't tracked.
  double RateOf(std::uint64_t aObject, BootTime aNow) const;
  // Returns the number of tracked objects, which is bounded.
  std::size_t Size() const { return this->objects.size(); }

private:
  struct Count
  {
    double requests = 0;
    BootTime countedAt{};
  };

  void Evict(BootTime aNow);

  std::unordered_map<std::uint64_t, Count> objects;
};

// Returns how many servers share an object with `aRate` requests per second over all VMs, when
// each request occupies one of a server's `aSlots` slots for `aTime`.
std::size_t
OwnersFor(double aRate, std::chrono::duration<double> aTime, double aSlots);

} // namespace plantainhaven::placing
