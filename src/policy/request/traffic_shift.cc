#include "plantainhaven/policy/request/traffic_shift.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace plantainhaven {

namespace {

constexpr double kFullPercent = 100;
// Limit of the time that counts in one call of Advance(), as a fraction of the interval.
constexpr double kMaxStepFraction = 0.1;

double
PercentOf(const std::vector<RegionWeight>& aWeights, const std::string& aRegion)
{
  for (const RegionWeight& weight : aWeights) {
    if (weight.region == aRegion) {
      return weight.percent;
    }
  }
  return 0;
}

double
SumOf(const std::vector<RegionWeight>& aWeights)
{
  double sum = 0;
  for (const RegionWeight& weight : aWeights) {
    sum += weight.percent;
  }
  return sum;
}

void
Scale(std::vector<RegionWeight>& aWeights)
{
  const double sum = SumOf(aWeights);
  for (RegionWeight& weight : aWeights) {
    weight.percent *= sum > 0 ? kFullPercent / sum : 0;
  }
}

std::vector<RegionWeight>
WithoutRegions(const std::vector<RegionWeight>& aTarget, const std::vector<std::string>& aExcluded)
{
  std::vector<RegionWeight> remaining;
  for (const RegionWeight& weight : aTarget) {
    if (std::find(aExcluded.begin(), aExcluded.end(), weight.region) == aExcluded.end()) {
      remaining.push_back(weight);
    }
  }
  Scale(remaining);
  return remaining;
}

void
AddMissingRegions(std::vector<RegionWeight>& aWeights, const std::vector<RegionWeight>& aOther)
{
  for (const RegionWeight& other : aOther) {
    const bool known =
      std::any_of(aWeights.begin(), aWeights.end(), [&](const RegionWeight& aWeight) {
        return aWeight.region == other.region;
      });
    if (!known) {
      aWeights.push_back({ other.region, 0 });
    }
  }
}

} // namespace

double
SplitDistance(const std::vector<RegionWeight>& aLeft, const std::vector<RegionWeight>& aRight)
{
  double sum = 0;
  for (const RegionWeight& weight : aLeft) {
    sum += std::abs(weight.percent - PercentOf(aRight, weight.region));
  }
  for (const RegionWeight& weight : aRight) {
    const bool counted = std::any_of(aLeft.begin(), aLeft.end(), [&](const RegionWeight& aOther) {
      return aOther.region == weight.region;
    });
    sum += counted ? 0 : weight.percent;
  }
  return sum / 2;
}

TrafficShift::TrafficShift(std::vector<RegionWeight> aStart, BootTime aNow)
  : weights(std::move(aStart))
  , lastAdvance(aNow)
{
  Scale(this->weights);
}

void
TrafficShift::Advance(const SplitPolicy& aPolicy,
                      const std::vector<std::string>& aUnavailableRegions,
                      BootTime aNow)
{
  if (aNow <= this->lastAdvance) {
    return;
  }
  const double interval = std::chrono::duration<double>(aPolicy.interval).count();
  const double elapsed = std::chrono::duration<double>(aNow - this->lastAdvance).count();
  this->lastAdvance = aNow;
  const std::vector<RegionWeight> target = WithoutRegions(aPolicy.target, aUnavailableRegions);
  if (SumOf(target) <= 0) {
    return;
  }
  AddMissingRegions(this->weights, target);
  const double distance = SplitDistance(this->weights, target);
  if (distance <= 0) {
    return;
  }
  // A window may contain an interval's worth of steps plus one more at its edge, so the speed
  // is reduced by the longest step.
  const double speed = aPolicy.capPoints / (interval * (1 + kMaxStepFraction));
  const double points = speed * std::min(elapsed, interval * kMaxStepFraction);
  const double part = std::min(1.0, points / distance);
  for (RegionWeight& weight : this->weights) {
    weight.percent += part * (PercentOf(target, weight.region) - weight.percent);
  }
}

const std::vector<RegionWeight>&
TrafficShift::Weights() const
{
  return this->weights;
}

const std::string&
TrafficShift::PickRegion(double aDraw) const
{
  double remaining = aDraw * kFullPercent;
  const RegionWeight* last = &this->weights.front();
  for (const RegionWeight& weight : this->weights) {
    if (weight.percent <= 0) {
      continue;
    }
    last = &weight;
    remaining -= weight.percent;
    if (remaining < 0) {
      break;
    }
  }
  return last->region;
}

} // namespace plantainhaven
