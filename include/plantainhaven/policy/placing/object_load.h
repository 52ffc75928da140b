#pragma once

#include "plantainhaven/common/time.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace plantainhaven::placing {

// Requests a second for each object, as this VM has seen them lately. Tells how many backend
// servers should know an object: one while its load fits there, since each further one has to
// learn it first and forgets another object for it. Not thread-safe; reads no clock.
class ObjectLoad
{
public:
  // A request for the object has come in here.
  void OnRequest(std::uint64_t aObject, BootTime aNow);
  // Requests a second for the object; zero for one that isn't known.
  double RateOf(std::uint64_t aObject, BootTime aNow) const;
  // Objects that are counted; bounded.
  std::size_t Size() const { return this->objects.size(); }

private:
  struct Count
  {
    double requests = 0;
    BootTime countedAt{};
  };

  void Forget(BootTime aNow);

  std::unordered_map<std::uint64_t, Count> objects;
};

// Servers that share an object of `aRate` requests a second over all VMs, each of which
// occupies one of `aSlots` slots of a server for `aTime`.
std::size_t
OwnersFor(double aRate, std::chrono::duration<double> aTime, double aSlots);

} // namespace plantainhaven::placing
