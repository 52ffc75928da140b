#include "plantainhaven/policy/request/retry_rule.h"

#include <catch2/catch.hpp>

using namespace plantainhaven;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct EndCase
{
  AttemptEnd end;
  bool mayHaveRun;
  bool retriedWhenIdempotent;
  bool retriedOtherwise;
};

constexpr EndCase kCases[] = {
  { AttemptEnd::kAnswer, true, false, false },
  { AttemptEnd::kShed, false, true, true },
  { AttemptEnd::kConnect, false, true, true },
  { AttemptEnd::kConnectionLimit, false, true, true },
  { AttemptEnd::kBarred, false, true, true },
  { AttemptEnd::kTimeout, true, true, false },
  { AttemptEnd::kBroken, true, true, false },
  { AttemptEnd::kTruncated, true, true, false },
  { AttemptEnd::kTooLarge, true, false, false },
  { AttemptEnd::kCrossed, true, true, false },
};

RetryContext
ContextOf(AttemptEnd aEnd, bool aIdempotent)
{
  RetryContext context;
  context.end = aEnd;
  context.idempotent = aIdempotent;
  context.maxAttempts = 3;
  context.timeLeft = seconds(1);
  return context;
}

} // namespace

TEST_CASE("a request that may have run is retried only if it is idempotent")
{
  for (const EndCase& entry : kCases) {
    INFO(ToString(entry.end));
    CHECK(MayHaveRun(entry.end) == entry.mayHaveRun);
    CHECK(MayRetry(ContextOf(entry.end, true)) == entry.retriedWhenIdempotent);
    CHECK(MayRetry(ContextOf(entry.end, false)) == entry.retriedOtherwise);

    RetryContext afterRun = ContextOf(entry.end, false);
    afterRun.mayHaveRunBefore = true;
    CHECK_FALSE(MayRetry(afterRun));
  }
}

TEST_CASE("a refusal reason states that the request has not run only if no attempt may have run it")
{
  for (const EndCase& entry : kCases) {
    for (const bool mayHaveRunBefore : { false, true }) {
      CAPTURE(ToString(entry.end), mayHaveRunBefore);
      const bool mayHaveRun = mayHaveRunBefore || entry.mayHaveRun;
      CHECK(RuleOf(ReasonOf(entry.end, mayHaveRun)).notRun == !mayHaveRun);
    }
  }
}

TEST_CASE("the number of attempts and their time are limited")
{
  RetryContext context = ContextOf(AttemptEnd::kBroken, true);
  context.attempts = 3;
  CHECK_FALSE(MayRetry(context));
  context.attempts = 2;
  CHECK(MayRetry(context));
  context.timeLeft = milliseconds(1);
  CHECK_FALSE(MayRetry(context));
}

TEST_CASE("each refusal rule is at the index of its reason and has a remedy")
{
  for (const RefusalRule& rule : AllRefusalRules()) {
    INFO(rule.name);
    CHECK(&RuleOf(rule.reason) == &rule);
    CHECK_FALSE(rule.remedy.empty());
    CHECK(rule.status >= 400);
  }
}

TEST_CASE("retries don't exceed a tenth of the requests plus the floor")
{
  const int requestsPerSecond = GENERATE(0, 10, 200, 5000);
  RetryBudget budget;
  BootTime now{ seconds(1) };
  int retries = 0;
  constexpr int kSeconds = 20;
  for (int second = 0; second < kSeconds; ++second) {
    for (int i = 0; i < requestsPerSecond; ++i) {
      budget.OnRequest(now);
      now += seconds(1) / requestsPerSecond;
      retries += budget.TryAcquire(now) ? 1 : 0;
    }
    if (requestsPerSecond == 0) {
      now += seconds(1);
      for (int i = 0; i < 20; ++i) {
        retries += budget.TryAcquire(now) ? 1 : 0;
      }
    }
  }
  CAPTURE(requestsPerSecond, retries);
  CHECK(retries <= kSeconds * (requestsPerSecond * 0.1 + 5) + 5);
  CHECK(retries >= kSeconds * requestsPerSecond * 0.1 - 1);
  CHECK(retries > 0);
}
