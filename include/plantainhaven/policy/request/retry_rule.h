#pragma once

#include "plantainhaven/common/time.h"
#include "plantainhaven/http/client.h"
#include "plantainhaven/policy/request/refusal.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

namespace plantainhaven {

struct RetryBudgetOptions
{
  // Retries added to the budget for each request.
  double fraction = 0.1;
  // Retries added to the budget per second, independent of the request rate.
  double floorPerSecond = 5;
  // Maximum number of retries in the budget.
  double maxBalance = 50;
};

// Token bucket that limits retries to a fraction of the recent requests plus a small floor,
// so that retries don't overload a failing service further. Not thread-safe; reads no clock.
class RetryBudget
{
public:
  explicit RetryBudget(RetryBudgetOptions aOptions = {});

  // Records that a request, not a retry, was admitted.
  void OnRequest(BootTime aNow);
  // Acquires one retry. Returns false when the budget is exhausted.
  bool TryAcquire(BootTime aNow);

private:
  void Refill(BootTime aNow);

  RetryBudgetOptions options;
  double balance;
  std::optional<BootTime> refilledAt;
};

// How one attempt ended.
enum class AttemptEnd
{
  kAnswer,          // The server sent a complete response, which goes to the caller.
  kShed,            // The server refused the request without running it.
  kConnect,         // The connection couldn't be opened; nothing sent.
  kConnectionLimit, // The server's connection limit is reached; nothing sent.
  kBarred,          // The final check before sending failed; nothing sent.
  kTimeout,         // Sent; no complete response before the timeout.
  kBroken,          // Sent; the connection broke.
  kTruncated,       // Sent; the response ended early.
  kTooLarge,        // Sent; the response exceeds the size limit.
  kCrossed,         // Sent; the response belongs to another request.
};

// Returns true when the server may have run the request in this attempt.
bool
MayHaveRun(AttemptEnd aEnd) noexcept;

// Converts the failure of an HTTP exchange to the end of the attempt.
AttemptEnd
ToAttemptEnd(ExchangeFailure aFailure) noexcept;

// Returns the label value that metrics use, for example "connect".
std::string_view
ToString(AttemptEnd aEnd) noexcept;

// State of a request after an attempt, from which a retry is decided.
struct RetryContext
{
  AttemptEnd end = AttemptEnd::kAnswer;
  bool idempotent = false;
  // True when an earlier attempt may have run the request.
  bool mayHaveRunBefore = false;
  std::uint32_t attempts = 1;
  std::uint32_t maxAttempts = 1;
  std::chrono::nanoseconds timeLeft{ 0 };
};

// Returns true when the request may be retried, provided that the retry budget allows it. A
// request that may have run is retried only if it is idempotent.
bool
MayRetry(const RetryContext& aContext) noexcept;

// Returns the refusal reason for the caller when there is no further attempt. `aMayHaveRun`
// covers all attempts; the reason has `notRun` set only if it is false.
RefusalReason
ReasonOf(AttemptEnd aEnd, bool aMayHaveRun) noexcept;

} // namespace plantainhaven
