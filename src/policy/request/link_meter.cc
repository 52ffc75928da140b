#include "plantainhaven/policy/request/link_meter.h"

#include <algorithm>

namespace plantainhaven {

namespace {

// Taken for answers of a service before there was one.
constexpr std::int64_t kFirstGuess = 4096;
// Each answer counts for one part in so many in the mean.
constexpr std::int64_t kMeanParts = 8;
// Most bytes that may be charged ahead.
constexpr std::int64_t kLongestCredit = 1 << 20;

// Most carried bytes that one charge takes in, so that a small share can pay it.
constexpr std::int64_t kLargestShareOfCarry = 64 << 10;

} // namespace

std::int64_t
LinkMeter::EstimateResponseBytes(const std::string& aService) const
{
  const auto found = this->means.find(aService);
  return found == this->means.end() ? kFirstGuess : found->second;
}

void
LinkMeter::OnResponse(const std::string& aService, std::int64_t aBytes)
{
  const auto [mean, isFirst] = this->means.try_emplace(aService, aBytes);
  if (!isFirst) {
    mean->second += (aBytes - mean->second) / kMeanParts;
  }
}

void
LinkMeter::AddEstimateError(const LinkDirection& aLink, std::int64_t aBytes)
{
  std::int64_t& carry = this->carried[aLink];
  carry = std::max(carry + aBytes, -kLongestCredit);
}

std::int64_t
LinkMeter::Charge(const LinkDirection& aLink, std::int64_t aBytes)
{
  std::int64_t& carry = this->carried[aLink];
  const std::int64_t taken = std::clamp(carry, -aBytes, kLargestShareOfCarry);
  carry -= taken;
  return aBytes + taken;
}

} // namespace plantainhaven
