#include "plantainhaven/policy/placing/usual_times.h"

#include <algorithm>

namespace plantainhaven::placing {
namespace {

using Milliseconds = std::chrono::duration<float, std::milli>;

constexpr float kMeanWeight = 1.0F / 8;
constexpr float kDeviationWeight = 1.0F / 4;
constexpr float kDeviations = 2;

} // namespace

void
UsualTimes::OnAnswered(const std::string& aRoute, std::chrono::milliseconds aTook)
{
  const Milliseconds took(aTook);
  const auto found = this->routes.find(aRoute);
  if (found == this->routes.end()) {
    if (this->routes.size() >= kMaxRoutes) {
      // Routes that are still in use soon come again.
      this->routes.clear();
    }
    this->routes.emplace(aRoute, Estimate{ took, took / kDeviations });
    return;
  }
  Estimate& estimate = found->second;
  const Milliseconds error = took - estimate.mean;
  const Milliseconds distance = std::max(error, -error);
  estimate.deviation += kDeviationWeight * (distance - estimate.deviation);
  estimate.mean += kMeanWeight * error;
}

std::optional<std::chrono::milliseconds>
UsualTimes::Of(const std::string& aRoute) const
{
  const auto found = this->routes.find(aRoute);
  if (found == this->routes.end()) {
    return std::nullopt;
  }
  const Milliseconds usual = found->second.mean + kDeviations * found->second.deviation;
  return std::chrono::ceil<std::chrono::milliseconds>(usual);
}

} // namespace plantainhaven::placing
