#pragma once

#include <array>
#include <chrono>
#include <string_view>

namespace plantainhaven {

// Why entryd refuses a request or answers it without a complete backend response. The name
// of each reason is a label value of plantainhaven_refusals_total.
enum class RefusalReason
{
  // The request has not run.
  kMalformed,
  kKeyOutsideAuthorization,
  kNoConfiguration,
  kStaleView,
  kNoRoute,
  kNoKey,
  kUnknownKey,
  kAccountRate,
  kNoServer,
  kShiftCap,
  kShiftUnknown,
  kRegionSlots,
  kLinkBandwidth,
  kServerConnections,
  kConnect,
  kShed,
  kClaimStore,
  kClaimMismatch,
  kDeadline,
  kOverload,
  // The request may have run.
  kOutcomeUnknown,
  kServerTimeout,
  kServerBroken,
  kAnswerTruncated,
  kAnswerTooLarge,
  kClaimInProgress,
  kClaimAnswerNotKept,
};

// How a refusal is reported to the caller.
struct RefusalRule
{
  RefusalReason reason;
  std::string_view name;
  int status;
  // True when the reason alone implies that the request didn't run.
  bool notRun;
  // Delay before the caller may retry; zero when waiting doesn't help.
  std::chrono::seconds retryAfter;
  std::string_view message;
  std::string_view remedy;
};

// Returns the rule of a reason.
const RefusalRule&
RuleOf(RefusalReason aReason) noexcept;

constexpr std::size_t kRefusalReasonCount =
  static_cast<std::size_t>(RefusalReason::kClaimAnswerNotKept) + 1;
// Returns all rules in the order of the enumeration.
const std::array<RefusalRule, kRefusalReasonCount>&
AllRefusalRules() noexcept;

} // namespace plantainhaven
