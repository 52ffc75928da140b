#pragma once

#include "plantainhaven/common/time.h"

#include <algorithm>
#include <chrono>

namespace plantainhaven::placing {

// A VM's part of a rate: requests per second, and the most that may be sent at once.
struct RateShare
{
  double rate = 0;
  double burst = 1;
};

// A token bucket for one server, whose rate may differ from call to call. A new bucket is full.
// Not thread-safe; reads no clock.
class SendBucket
{
public:
  // Empties the bucket.
  void Drain(BootTime aNow)
  {
    this->level = 0;
    this->levelAt = aNow;
  }
  bool HasToken(const RateShare& aShare, BootTime aNow) const
  {
    return this->LevelAt(aShare, aNow) >= 1.0;
  }
  // Takes a token, or what is left of one.
  void Take(const RateShare& aShare, BootTime aNow)
  {
    this->level = std::max(0.0, this->LevelAt(aShare, aNow) - 1.0);
    this->levelAt = aNow;
  }
  // The time until there is a token. `aShare` must have a positive rate.
  std::chrono::duration<double> TimeToToken(const RateShare& aShare, BootTime aNow) const
  {
    return std::chrono::duration<double>(std::max(0.0, 1.0 - this->LevelAt(aShare, aNow)) /
                                         aShare.rate);
  }

private:
  double LevelAt(const RateShare& aShare, BootTime aNow) const
  {
    const std::chrono::duration<double> elapsed = aNow - this->levelAt;
    return std::min(aShare.burst, this->level + aShare.rate * std::max(0.0, elapsed.count()));
  }

  double level = 1;
  BootTime levelAt{};
};

} // namespace plantainhaven::placing
