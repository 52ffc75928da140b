#include "plantainhaven/policy/placing/region_mix.h"

#include <algorithm>

namespace plantainhaven::placing {
namespace {

// Requests are counted together for this long, a small part of the slice.
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
  this->slice.clear();
  this->window.clear();
  while (!this->buckets.empty() && aNow - this->buckets.front().start >= kWindow + kSlice) {
    this->buckets.pop_front();
  }
  for (const Bucket& bucket : this->buckets) {
    auto& sums = aNow - bucket.start < kSlice ? this->slice : this->window;
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
  this->slice[aRegion] += 1;
}

std::optional<double>
RegionMix::MovedWith(const std::string& aRegion, BootTime aNow)
{
  this->Advance(aNow);
  const double inSlice = SumOf(this->slice) + 1;
  const double inWindow = SumOf(this->window);
  if (inSlice < kLeastInSlice || inWindow < kLeastInWindow) {
    return std::nullopt;
  }
  double moved = 0;
  std::map<std::string, double> next = this->slice;
  next[aRegion] += 1;
  for (const auto& [region, count] : next) {
    const auto was = this->window.find(region);
    const double share = was == this->window.end() ? 0 : was->second / inWindow;
    moved += std::max(0.0, count / inSlice - share);
  }
  return moved;
}

} // namespace plantainhaven::placing
