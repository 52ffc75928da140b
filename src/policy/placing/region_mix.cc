#include "plantainhaven/policy/placing/region_mix.h"

#include <algorithm>

namespace plantainhaven::placing {
namespace {

// Length of a counting bucket, a small fraction of the window.
constexpr std::chrono::milliseconds kBucketLength{ 50 };
// The sums are reused for this long. Until then a bucket that has left the current window may
// still count in it.
constexpr std::chrono::milliseconds kSumLifetime{ 20 };

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
RegionMix::UpdateSums(BootTime aNow)
{
  if (aNow - this->sumsUpdatedAt < kSumLifetime) {
    return;
  }
  this->sumsUpdatedAt = aNow;
  this->currentWindow.clear();
  this->previousWindow.clear();
  while (!this->buckets.empty() && aNow - this->buckets.front().start >= 2 * kWindow) {
    this->buckets.pop_front();
  }
  for (const Bucket& bucket : this->buckets) {
    auto& sums = aNow - bucket.start < kWindow ? this->currentWindow : this->previousWindow;
    for (const auto& [region, count] : bucket.counts) {
      sums[region] += count;
    }
  }
}

void
RegionMix::OnSent(const std::string& aRegion, BootTime aNow)
{
  if (this->buckets.empty() || aNow - this->buckets.back().start >= kBucketLength) {
    this->buckets.push_back({ aNow, {} });
  }
  this->buckets.back().counts[aRegion] += 1;
  this->currentWindow[aRegion] += 1;
}

std::optional<double>
RegionMix::MovedFractionWith(const std::string& aRegion, BootTime aNow)
{
  this->UpdateSums(aNow);
  const double currentTotal = SumOf(this->currentWindow) + 1;
  const double previousTotal = SumOf(this->previousWindow);
  if (currentTotal < kMinRequests || previousTotal < kMinRequests) {
    return std::nullopt;
  }
  double moved = 0;
  std::map<std::string, double> next = this->currentWindow;
  next[aRegion] += 1;
  for (const auto& [region, count] : next) {
    const auto previous = this->previousWindow.find(region);
    const double fraction =
      previous == this->previousWindow.end() ? 0 : previous->second / previousTotal;
    moved += std::max(0.0, count / currentTotal - fraction);
  }
  return moved;
}

} // namespace plantainhaven::placing
