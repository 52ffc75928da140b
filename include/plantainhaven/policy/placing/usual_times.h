#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace plantainhaven::placing {

// How long backend servers usually take for the requests of each route: the moving average plus
// twice the mean deviation, as TCP estimates its retransmission timeout (RFC 6298), so that few
// requests take longer. Not thread-safe; reads no clock.
class UsualTimes
{
public:
  // Routes that are kept.
  static constexpr std::size_t kMaxRoutes = 8192;

  // A server has answered a request of the route after this time, or was given up then.
  void OnAnswered(const std::string& aRoute, std::chrono::milliseconds aTook);
  // Nothing if no request of the route has been answered.
  std::optional<std::chrono::milliseconds> Of(const std::string& aRoute) const;

private:
  struct Estimate
  {
    std::chrono::duration<float, std::milli> mean{ 0 };
    std::chrono::duration<float, std::milli> deviation{ 0 };
  };

  std::map<std::string, Estimate> routes;
};

} // namespace plantainhaven::placing
