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
FactsOf(AttemptEnd aEnd, bool aIdempotent)
{
  RetryContext facts;
  facts.end = aEnd;
  facts.idempotent = aIdempotent;
  facts.maxAttempts = 3;
  facts.timeLeft = seconds(1);
  return facts;
}

} // namespace

TEST_CASE("what may have run is sent again only if it is idempotent")
{
  for (const EndCase& entry : kCases) {
    INFO(ToString(entry.end));
    CHECK(MayHaveRun(entry.end) == entry.mayHaveRun);
    CHECK(MayRetry(FactsOf(entry.end, true)) == entry.retriedWhenIdempotent);
    CHECK(MayRetry(FactsOf(entry.end, false)) == entry.retriedOtherwise);

    RetryContext afterRun = FactsOf(entry.end, false);
    afterRun.mayHaveRunBefore = true;
    CHECK_FALSE(MayRetry(afterRun));
  }
}

TEST_CASE("a reason says not run only if no attempt may have run")
{
  for (const EndCase& entry : kCases) {
    for (const bool before : { false, true }) {
      CAPTURE(ToString(entry.end), before);
      const bool mayHaveRun = before || entry.mayHaveRun;
      CHECK(RuleOf(ReasonOf(entry.end, mayHaveRun)).notRun == !mayHaveRun);
    }
  }
}

TEST_CASE("attempts and time are bounded")
{
  RetryContext facts = FactsOf(AttemptEnd::kBroken, true);
  facts.attempts = 3;
  CHECK_FALSE(MayRetry(facts));
  facts.attempts = 2;
  CHECK(MayRetry(facts));
  facts.timeLeft = milliseconds(1);
  CHECK_FALSE(MayRetry(facts));
}

TEST_CASE("each refusal rule stands at its place and tells a remedy")
{
  for (const RefusalRule& rule : AllRefusalRules()) {
    INFO(rule.name);
    CHECK(&RuleOf(rule.reason) == &rule);
    CHECK_FALSE(rule.remedy.empty());
    CHECK(rule.status >= 400);
  }
}

TEST_CASE("retries stay within a tenth of the requests and the floor")
{
  const int perSecond = GENERATE(0, 10, 200, 5000);
  RetryBudget budget;
  BootTime now{ seconds(1) };
  int retries = 0;
  constexpr int kSeconds = 20;
  for (int second = 0; second < kSeconds; ++second) {
    for (int i = 0; i < perSecond; ++i) {
      budget.OnRequest(now);
      now += seconds(1) / perSecond;
      retries += budget.TryAcquire(now) ? 1 : 0;
    }
    if (perSecond == 0) {
      now += seconds(1);
      for (int i = 0; i < 20; ++i) {
        retries += budget.TryAcquire(now) ? 1 : 0;
      }
    }
  }
  CAPTURE(perSecond, retries);
  CHECK(retries <= kSeconds * (perSecond * 0.1 + 5) + 5);
  CHECK(retries >= kSeconds * perSecond * 0.1 - 1);
  CHECK(retries > 0);
}
