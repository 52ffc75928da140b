#include "plantainhaven/policy/request/retry_rule.h"

#include <algorithm>
#include <array>

namespace plantainhaven {

namespace {

// With less time left, an attempt is unlikely to finish before the deadline.
constexpr std::chrono::milliseconds kMinTimeLeft{ 2 };
// Attempts allowed to every request that certainly hasn't run, even when the service's
// maxAttempts is lower.
constexpr std::uint32_t kMinAttemptsIfNotRun = 3;

struct EndRule
{
  AttemptEnd end;
  std::string_view name;
  bool mayHaveRun;
  RefusalReason reason;
};

constexpr std::array<EndRule, 10> kEnds = { {
  { AttemptEnd::kAnswer, "answer", true, RefusalReason::kOutcomeUnknown },
  { AttemptEnd::kShed, "shed", false, RefusalReason::kShed },
  { AttemptEnd::kConnect, "connect", false, RefusalReason::kConnect },
  { AttemptEnd::kConnectionLimit, "server_connections", false, RefusalReason::kServerConnections },
  { AttemptEnd::kBarred, "barred", false, RefusalReason::kStaleView },
  { AttemptEnd::kTimeout, "timeout", true, RefusalReason::kServerTimeout },
  { AttemptEnd::kBroken, "broken", true, RefusalReason::kServerBroken },
  { AttemptEnd::kTruncated, "truncated", true, RefusalReason::kAnswerTruncated },
  { AttemptEnd::kTooLarge, "too_large", true, RefusalReason::kAnswerTooLarge },
  { AttemptEnd::kCrossed, "crossed", true, RefusalReason::kServerBroken },
} };

const EndRule&
RuleOfEnd(AttemptEnd aEnd) noexcept
{
  return kEnds[static_cast<std::size_t>(aEnd)];
}

} // namespace

RetryBudget::RetryBudget(RetryBudgetOptions aOptions)
  : options(aOptions)
  , balance(aOptions.floorPerSecond)
{
}

void
RetryBudget::Refill(BootTime aNow)
{
  if (this->refilledAt && aNow > *this->refilledAt) {
    const double seconds = std::chrono::duration<double>(aNow - *this->refilledAt).count();
    this->balance += seconds * this->options.floorPerSecond;
  }
  this->refilledAt = std::max(aNow, this->refilledAt.value_or(aNow));
  this->balance = std::min(this->balance, this->options.maxBalance);
}

void
RetryBudget::OnRequest(BootTime aNow)
{
  this->Refill(aNow);
  this->balance = std::min(this->balance + this->options.fraction, this->options.maxBalance);
}

bool
RetryBudget::TryAcquire(BootTime aNow)
{
  this->Refill(aNow);
  if (this->balance < 1) {
    return false;
  }
  this->balance -= 1;
  return true;
}

bool
MayHaveRun(AttemptEnd aEnd) noexcept
{
  return RuleOfEnd(aEnd).mayHaveRun;
}

AttemptEnd
ToAttemptEnd(ExchangeFailure aFailure) noexcept
{
  constexpr std::array<AttemptEnd, 5> kEndOfFailure = { AttemptEnd::kConnect,
                                                        AttemptEnd::kTimeout,
                                                        AttemptEnd::kBroken,
                                                        AttemptEnd::kTruncated,
                                                        AttemptEnd::kTooLarge };
  return kEndOfFailure[static_cast<std::size_t>(aFailure)];
}

std::string_view
ToString(AttemptEnd aEnd) noexcept
{
  return RuleOfEnd(aEnd).name;
}

bool
MayRetry(const RetryContext& aContext) noexcept
{
  if (aContext.end == AttemptEnd::kAnswer || aContext.end == AttemptEnd::kTooLarge) {
    return false;
  }
  const bool mayHaveRun = aContext.mayHaveRunBefore || MayHaveRun(aContext.end);
  if (mayHaveRun && !aContext.idempotent) {
    return false;
  }
  const std::uint32_t attemptLimit =
    mayHaveRun ? aContext.maxAttempts : std::max(kMinAttemptsIfNotRun, aContext.maxAttempts);
  return aContext.attempts < attemptLimit && aContext.timeLeft >= kMinTimeLeft;
}

RefusalReason
ReasonOf(AttemptEnd aEnd, bool aMayHaveRun) noexcept
{
  const EndRule& rule = RuleOfEnd(aEnd);
  return aMayHaveRun && !rule.mayHaveRun ? RefusalReason::kOutcomeUnknown : rule.reason;
}

} // namespace plantainhaven
