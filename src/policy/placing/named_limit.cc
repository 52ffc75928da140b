#include "plantainhaven/policy/placing/named_limit.h"

namespace plantainhaven::placing {

bool
NamedLimit::OnStatement(std::optional<double> aRate, BootTime aStatedAt)
{
  const bool isWithdrawal = this->rate && !aRate;
  const auto required = isWithdrawal ? kWithdrawalDelay : std::chrono::milliseconds(0);
  if (aStatedAt <= this->statedAt + required) {
    return false;
  }
  const bool isChange = this->rate != aRate;
  this->rate = aRate;
  this->statedAt = aStatedAt;
  if (isChange) {
    this->changedAt = aStatedAt;
  }
  return isChange;
}

} // namespace plantainhaven::placing
