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
  // Retries allowed for each request.
  double fraction = 0.1;
  // Retries allowed in each second whatever the number of requests.
  double floorPerSecond = 5;
  // Most retries that can be saved up.
  double longestSaving = 50;
};

// Bounds retries to a fraction of the recent requests plus a small floor, so that a
// failing service isn't loaded further. Not thread-safe; reads no clock.
class RetryBudget
{
public:
  explicit RetryBudget(RetryBudgetOptions aOptions = {});

  // A request (not a retry) was admitted.
  void OnRequest(BootTime aNow);
  // Takes a retry, or returns false when the budget is used up.
  bool TryAcquire(BootTime aNow);

private:
  void Refill(BootTime aNow);

  RetryBudgetOptions options;
  double level;
  std::optional<BootTime> refilledAt;
};

// How one attempt ended.
enum class AttemptEnd
{
  kAnswer,          // A whole answer of the server, which is the caller's.
  kShed,            // The server said that it refused before running.
  kConnect,         // No connection, nothing sent.
  kConnectionLimit, // The connection budget is used up, nothing sent.
  kBarred,          // The last look before sending forbade it, nothing sent.
  kTimeout,         // Sent; nothing whole in time.
  kBroken,          // Sent; the connection broke.
  kTruncated,       // Sent; the answer ended early.
  kTooLarge,        // Sent; the answer is beyond the bound.
  kCrossed,         // Sent; the answer belongs to another request.
};

// Says whether the server may have run the request in this attempt.
bool
MayHaveRun(AttemptEnd aEnd) noexcept;

// The end of an attempt for a failed exchange.
AttemptEnd
ToAttemptEnd(ExchangeFailure aFailure) noexcept;

// Names an end as metrics write it, for example "connect".
std::string_view
ToString(AttemptEnd aEnd) noexcept;

// What is known of a request after an attempt.
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

// True when the request may be sent once more, the retry budget willing. A request
// that may have run is sent again only if it is idempotent.
bool
MayRetry(const RetryContext& aFacts) noexcept;

// The reason that a caller is given when there is no further attempt. It is a "not run"
// reason only if no attempt may have run the request.
RefusalReason
ReasonOf(AttemptEnd aEnd, bool aMayHaveRun) noexcept;

} // namespace plantainhaven
