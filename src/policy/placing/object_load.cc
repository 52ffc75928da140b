#include "plantainhaven/policy/placing/object_load.h"

#include <algorithm>
#include <cmath>

namespace plantainhaven::placing {
namespace {

using Seconds = std::chrono::duration<double>;

// Time constant of the counts: long enough for objects that are asked for once a second.
constexpr Seconds kFadeTime{ 3.0 };
// Objects that are counted at most; some hundred kilobytes.
constexpr std::size_t kMostObjects = 4096;
// Counts below this say nothing.
constexpr double kForgotten = 0.1;
// Part of a server's slots that one object may occupy; the rest is for its other objects.
constexpr double kObjectUse = 0.5;

double
Faded(double aRequests, BootTime aCountedAt, BootTime aNow)
{
  const double passed = std::max(0.0, Seconds(aNow - aCountedAt) / kFadeTime);
  return aRequests * std::exp(-passed);
}

} // namespace

void
ObjectLoad::OnRequest(std::uint64_t aObject, BootTime aNow)
{
  if (this->objects.size() >= kMostObjects) {
    this->Forget(aNow);
  }
  Count& count = this->objects[aObject];
  count.requests = Faded(count.requests, count.countedAt, aNow) + 1;
  count.countedAt = aNow;
}

// Drops what has faded, and everything when that isn't enough: counts are back within
// seconds.
void
ObjectLoad::Forget(BootTime aNow)
{
  std::erase_if(this->objects, [aNow](const auto& aEntry) {
    return Faded(aEntry.second.requests, aEntry.second.countedAt, aNow) < kForgotten;
  });
  if (this->objects.size() >= kMostObjects) {
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
  return Faded(found->second.requests, found->second.countedAt, aNow) / kFadeTime.count();
}

std::size_t
OwnersFor(double aRate, Seconds aTime, double aSlots)
{
  const double occupied = aRate * aTime.count();
  const double perServer = std::max(1.0, aSlots * kObjectUse);
  return 1 + static_cast<std::size_t>(std::max(0.0, occupied) / perServer);
}

} // namespace plantainhaven::placing
