#include "plantainhaven/policy/placing/object_load.h"

#include <algorithm>
#include <cmath>

namespace plantainhaven::placing {
namespace {

using Seconds = std::chrono::duration<double>;

// Decay time constant of the counts: long enough for objects that are requested once a second.
constexpr Seconds kDecayTime{ 3.0 };
// Maximum number of tracked objects, which take a few hundred kilobytes.
constexpr std::size_t kMaxObjects = 4096;
// Counts below this are dropped when space is needed.
constexpr double kNegligibleCount = 0.1;
// Fraction of a server's slots that one object may occupy; the rest is for other objects.
constexpr double kMaxObjectUtilization = 0.5;

double
Decayed(double aRequests, BootTime aCountedAt, BootTime aNow)
{
  const double passed = std::max(0.0, Seconds(aNow - aCountedAt) / kDecayTime);
  return aRequests * std::exp(-passed);
}

} // namespace

void
ObjectLoad::OnRequest(std::uint64_t aObject, BootTime aNow)
{
  if (this->objects.size() >= kMaxObjects) {
    this->Evict(aNow);
  }
  Count& count = this->objects[aObject];
  count.requests = Decayed(count.requests, count.countedAt, aNow) + 1;
  count.countedAt = aNow;
}

// Drops objects with negligible counts, or all objects if that isn't enough: the counts
// recover within seconds.
void
ObjectLoad::Evict(BootTime aNow)
{
  std::erase_if(this->objects, [aNow](const auto& aEntry) {
    return Decayed(aEntry.second.requests, aEntry.second.countedAt, aNow) < kNegligibleCount;
  });
  if (this->objects.size() >= kMaxObjects) {
    this->objects.clear();
  }
}

double
ObjectLoad::RateOf(std::uint64_t aObject, BootTime aNow) const
{
  const auto found = this->objects.find(aObject);
  if (found == this->objects.end()) {
    return 0;
  }
  return Decayed(found->second.requests, found->second.countedAt, aNow) / kDecayTime.count();
}

std::size_t
OwnersFor(double aRate, Seconds aTime, double aSlots)
{
  const double occupied = aRate * aTime.count();
  const double perServer = std::max(1.0, aSlots * kMaxObjectUtilization);
  return 1 + static_cast<std::size_t>(std::max(0.0, occupied) / perServer);
}

} // namespace plantainhaven::placing
