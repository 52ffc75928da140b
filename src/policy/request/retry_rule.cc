#include "plantainhaven/policy/request/retry_rule.h"

#include <algorithm>
#include <array>

namespace plantainhaven {

namespace {

// Below this an attempt can't be expected to end in time.
constexpr std::chrono::milliseconds kLeastTimeLeft{ 2 };

// Attempts of a request that surely hasn't run, which every request may make.
constexpr std::uint32_t kLeastAttempts = 3;

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
  , level(aOptions.floorPerSecond)
{
}

void
RetryBudget::Refill(BootTime aNow)
{
  if (this->refilledAt && aNow > *this->refilledAt) {
    const double seconds = std::chrono::duration<double>(aNow - *this->refilledAt).count();
    this->level += seconds * this->options.floorPerSecond;
  }
  this->refilledAt = std::max(aNow, this->refilledAt.value_or(aNow));
  this->level = std::min(this->level, this->options.longestSaving);
}

void
RetryBudget::OnRequest(BootTime aNow)
{
  this->Refill(aNow);
  this->level = std::min(this->level + this->options.fraction, this->options.longestSaving);
}

bool
RetryBudget::TryAcquire(BootTime aNow)
{
  this->Refill(aNow);
  if (this->level < 1) {
    return false;
  }
  this->level -= 1;
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
  constexpr std::array<AttemptEnd, 5> kOfFailure = { AttemptEnd::kConnect,
                                                     AttemptEnd::kTimeout,
                                                     AttemptEnd::kBroken,
                                                     AttemptEnd::kTruncated,
                                                     AttemptEnd::kTooLarge };
  return kOfFailure[static_cast<std::size_t>(aFailure)];
}

std::string_view
ToString(AttemptEnd aEnd) noexcept
{
  return RuleOfEnd(aEnd).name;
}

bool
MayRetry(const RetryContext& aFacts) noexcept
{
  if (aFacts.end == AttemptEnd::kAnswer || aFacts.end == AttemptEnd::kTooLarge) {
    return false;
  }
  const bool mayHaveRun = aFacts.mayHaveRunBefore || MayHaveRun(aFacts.end);
  if (mayHaveRun && !aFacts.idempotent) {
    return false;
  }
  const std::uint32_t most =
    mayHaveRun ? aFacts.maxAttempts : std::max(kLeastAttempts, aFacts.maxAttempts);
  return aFacts.attempts < most && aFacts.timeLeft >= kLeastTimeLeft;
}

RefusalReason
ReasonOf(AttemptEnd aEnd, bool aMayHaveRun) noexcept
{
  const EndRule& rule = RuleOfEnd(aEnd);
  return aMayHaveRun && !rule.mayHaveRun ? RefusalReason::kOutcomeUnknown : rule.reason;
}

} // namespace plantainhaven
