#pragma once

#include "plantainhaven/common/time.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace plantainhaven::placing {

// Counts this VM's requests by the region in which they run and computes how far one more
// request would shift the distribution of the current window from that of the previous window.
// Not thread-safe; reads no clock.
class RegionMix
{
public:
  // The window in which traffic shifts between regions are limited.
  static constexpr std::chrono::milliseconds kWindow{ 2000 };
  // With fewer requests in a window its distribution isn't meaningful.
  static constexpr double kMinRequests = 12;

  void OnSent(const std::string& aRegion, BootTime aNow);
  // Returns the fraction of requests whose region would differ between the two windows if one
  // more request ran in the region now; nothing if either window has too few requests.
  std::optional<double> MovedFractionWith(const std::string& aRegion, BootTime aNow);

private:
  struct Bucket
  {
    BootTime start{};
    std::map<std::string, double> counts;
  };

  void UpdateSums(BootTime aNow);

  std::deque<Bucket> buckets;
  std::map<std::string, double> currentWindow;
  std::map<std::string, double> previousWindow;
  // When the sums of the two windows were computed.
  BootTime sumsUpdatedAt{};
};

} // namespace plantainhaven::placing
