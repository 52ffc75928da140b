#include "plantainhaven/policy/placing/region_mix.h"

#include <algorithm>

namespace plantainhaven::placing {
namespace {

// Requests are counted together for this long, a small part of the window.
constexpr std::chrono::milliseconds kBucket{ 50 };
// The sums are kept for this long; meanwhile a bucket may count on the wrong side.
constexpr std::chrono::milliseconds kSumsHold{ 20 };

double
SumOf(const std::map<std::string, double>& aCounts)
{
  double sum = 0;
  for (const auto& [region, count] : aCounts) {
    sum += count;
  }
  return sum;
}

} // namespace

void
RegionMix::Advance(BootTime aNow)
{
  if (aNow - this->advancedAt < kSumsHold) {
    return;
  }
  this->advancedAt = aNow;
  this->newest.clear();
  this->before.clear();
  while (!this->buckets.empty() && aNow - this->buckets.front().start >= 2 * kWindow) {
    this->buckets.pop_front();
  }
  for (const Bucket& bucket : this->buckets) {
    auto& sums = aNow - bucket.start < kWindow ? this->newest : this->before;
    for (const auto& [region, count] : bucket.counts) {
      sums[region] += count;
    }
  }
}

void
RegionMix::OnSent(const std::string& aRegion, BootTime aNow)
{
  if (this->buckets.empty() || aNow - this->buckets.back().start >= kBucket) {
    this->buckets.push_back({ aNow, {} });
  }
  this->buckets.back().counts[aRegion] += 1;
  this->newest[aRegion] += 1;
}

std::optional<double>
RegionMix::MovedWith(const std::string& aRegion, BootTime aNow)
{
  this->Advance(aNow);
  const double inNewest = SumOf(this->newest) + 1;
  const double inBefore = SumOf(this->before);
  if (inNewest < kLeastCount || inBefore < kLeastCount) {
    return std::nullopt;
  }
  double moved = 0;
  std::map<std::string, double> next = this->newest;
  next[aRegion] += 1;
  for (const auto& [region, count] : next) {
    const auto was = this->before.find(region);
    const double share = was == this->before.end() ? 0 : was->second / inBefore;
    moved += std::max(0.0, count / inNewest - share);
  }
  return moved;
}

} // namespace plantainhaven::placing
