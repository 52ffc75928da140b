#include "plantainhaven/policy/placing/table_catch_up.h"

#include <algorithm>
#include <utility>

namespace plantainhaven::placing {
namespace {

constexpr std::size_t kMaxHolders = 64;
constexpr std::chrono::milliseconds kCopyWindow{ 250 };
constexpr double kLinkFraction = 0.25;

} // namespace

void
TableCatchUp::HoldReading(std::chrono::milliseconds aTime, BootTime aNow)
{
  if (this->mayReadAt == BootTime{}) {
    this->mayReadAt = aNow + std::min(aTime, this->timing.maxHeadStart);
  }
}

void
TableCatchUp::OnHolder(const std::string& aVm, BootTime aNow)
{
  this->HoldReading(this->timing.maxHeadStart, aNow);
  const bool isKnown =
    aVm == this->asked ||
    std::find(this->holders.begin(), this->holders.end(), aVm) != this->holders.end();
  if (!isKnown && this->holders.size() < kMaxHolders) {
    this->holders.push_back(aVm);
  }
}

void
TableCatchUp::OnAnswerBegun(std::chrono::milliseconds aLinkTime, BootTime aNow)
{
  this->HoldReading(aLinkTime, aNow);
}

void
TableCatchUp::OnRefused(const std::string& aVm)
{
  if (aVm == this->asked) {
    this->asked.clear();
  }
}

void
TableCatchUp::OnCaughtUp()
{
  this->holders.clear();
  this->asked.clear();
  this->mayReadAt = BootTime{};
}

std::optional<std::string>
TableCatchUp::NextAsk(BootTime aNow)
{
  const bool isOutstanding = !this->asked.empty() && aNow - this->askedAt < this->timing.askTimeout;
  if (isOutstanding || this->holders.empty()) {
    return std::nullopt;
  }
  // The VM heard last is asked by the fewest others.
  this->asked = std::move(this->holders.back());
  this->holders.pop_back();
  this->askedAt = aNow;
  return this->asked;
}

bool
CopyAllowance::TryTake(std::size_t aBytes, BootTime aNow)
{
  if (aNow - this->windowAt >= kCopyWindow) {
    this->windowAt = aNow;
    this->taken = 0;
  }
  const double budget =
    this->linkBytesPerSecond * std::chrono::duration<double>(kCopyWindow).count() * kLinkFraction;
  const auto bytes = static_cast<double>(aBytes);
  if (this->taken > 0 && this->taken + bytes > budget) {
    return false;
  }
  this->taken += bytes;
  return true;
}

} // namespace plantainhaven::placing
