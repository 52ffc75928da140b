#include "plantainhaven/policy/request/link_meter.h"

#include <algorithm>

namespace plantainhaven {

namespace {

// Estimated bytes for a service that hasn't sent a response yet.
constexpr std::int64_t kInitialEstimate = 4096;
// Each response moves the mean by 1/kMeanDivisor of the difference.
constexpr std::int64_t kMeanDivisor = 8;
// Limit of the bytes that were charged but not sent and so reduce later charges.
constexpr std::int64_t kMaxCredit = 1 << 20;
// Limit of the outstanding error that is added to one charge, so that a VM with a small
// share of the link's budget can still pay the charge.
constexpr std::int64_t kMaxErrorPerCharge = 64 << 10;

} // namespace

std::int64_t
LinkMeter::EstimateResponseBytes(const std::string& aService) const
{
  const auto found = this->means.find(aService);
  return found == this->means.end() ? kInitialEstimate : found->second;
}

void
LinkMeter::OnResponse(const std::string& aService, std::int64_t aBytes)
{
  const auto [mean, isFirst] = this->means.try_emplace(aService, aBytes);
  if (!isFirst) {
    mean->second += (aBytes - mean->second) / kMeanDivisor;
  }
}

void
LinkMeter::AddEstimateError(const LinkDirection& aLink, std::int64_t aBytes)
{
  std::int64_t& outstanding = this->estimateErrors[aLink];
  outstanding = std::max(outstanding + aBytes, -kMaxCredit);
}

std::int64_t
LinkMeter::Charge(const LinkDirection& aLink, std::int64_t aBytes)
{
  std::int64_t& outstanding = this->estimateErrors[aLink];
  const std::int64_t correction = std::clamp(outstanding, -aBytes, kMaxErrorPerCharge);
  outstanding -= correction;
  return aBytes + correction;
}

} // namespace plantainhaven
