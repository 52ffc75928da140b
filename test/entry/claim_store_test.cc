#include "plantainhaven/entry/claim_store.h"

#include "entry/request_fixture.h"

#include <catch2/catch.hpp>

using namespace plantainhaven;
using Kind = ClaimResult::Kind;

namespace {

const BootTime kLater = BootClock::Now() + std::chrono::hours(1);

ClaimRequest
Fee(const std::string& aRequestId, const std::string& aBody = "amount=5")
{
  return { "small", "fee-1", aRequestId, "POST", "/fees", aBody };
}

HttpResponse
AnswerOf(const std::string& aBody)
{
  HttpResponse answer;
  answer.status = 201;
  answer.headers.Add("X", "y");
  answer.body = aBody;
  return answer;
}

} // namespace

TEST_CASE("of several VMs that get the same request one may forward it")
{
  MemoryPlatform platform;
  ClaimStore first(platform, "vm-1");
  ClaimStore second(platform, "vm-2");
  CHECK(first.Claim(Fee("r1"), kLater).kind == Kind::kMine);
  CHECK(second.Claim(Fee("r2"), kLater).kind == Kind::kInProgress);
  CHECK(first.Claim(Fee("r3"), kLater).kind == Kind::kInProgress);
}

TEST_CASE("another account's or key's claim is its own, another request's is a mismatch")
{
  MemoryPlatform platform;
  ClaimStore claims(platform, "vm-1");
  REQUIRE(claims.Claim(Fee("r1"), kLater).kind == Kind::kMine);
  CHECK(claims.Claim(Fee("r2", "amount=6"), kLater).kind == Kind::kMismatch);
  ClaimRequest other = Fee("r3");
  other.account = "large";
  CHECK(claims.Claim(other, kLater).kind == Kind::kMine);
  other.account = "";
  CHECK(claims.Claim(other, kLater).kind == Kind::kMine);
  other = Fee("r4");
  other.idempotencyKey = "fee-2";
  CHECK(claims.Claim(other, kLater).kind == Kind::kMine);
}

TEST_CASE("a finished claim repeats its answer")
{
  MemoryPlatform platform;
  ClaimStore claims(platform, "vm-1");
  REQUIRE(claims.Claim(Fee("r1"), kLater).kind == Kind::kMine);
  const bool isSmall = GENERATE(true, false);
  claims.Finish(Fee("r1"), AnswerOf(std::string(isSmall ? 100 : 100000, 'x')));
  claims.Flush(std::chrono::seconds(5));
  const ClaimResult again = ClaimStore(platform, "vm-2").Claim(Fee("r2"), kLater);
  REQUIRE(again.kind == (isSmall ? Kind::kFinished : Kind::kAnswerNotKept));
  if (isSmall) {
    CHECK(again.answer.status == 201);
    CHECK(again.answer.body == std::string(100, 'x'));
    CHECK(again.answer.headers.Get("X") == "y");
  }
}

TEST_CASE("a lost answer of the table is resolved by reading the row")
{
  const bool takenBefore = GENERATE(false, true);
  MemoryPlatform platform;
  ClaimStore claims(platform, "vm-1");
  if (takenBefore) {
    REQUIRE(claims.Claim(Fee("r0"), kLater).kind == Kind::kMine);
  }
  PlatformFault fault;
  fault.set_lose_commit_answers(1);
  platform.SetFault(fault);
  CHECK(claims.Claim(Fee("r1"), kLater).kind == (takenBefore ? Kind::kInProgress : Kind::kMine));
  CHECK(claims.Claim(Fee("r2"), kLater).kind == Kind::kInProgress);
}

TEST_CASE("an insert that takes effect late can't let two requests through")
{
  const bool releasedBetween = GENERATE(false, true);
  MemoryPlatform platform;
  ClaimStore claims(platform, "vm-1");
  PlatformFault fault;
  fault.set_delay_commits(1);
  platform.SetFault(fault);
  const bool first = claims.Claim(Fee("r1"), kLater).kind == Kind::kMine;
  if (releasedBetween) {
    platform.ReleaseHeldCommits();
  }
  const bool second = claims.Claim(Fee("r2"), kLater).kind == Kind::kMine;
  platform.ReleaseHeldCommits();
  const bool third = claims.Claim(Fee("r3"), kLater).kind == Kind::kMine;
  CHECK(static_cast<int>(first) + static_cast<int>(second) + static_cast<int>(third) == 1);
}

TEST_CASE("while the store is down nothing is claimed")
{
  MemoryPlatform platform;
  ClaimStore claims(platform, "vm-1");
  PlatformFault fault;
  fault.set_down(true);
  platform.SetFault(fault);
  CHECK(claims.Claim(Fee("r1"), kLater).kind == Kind::kStoreDown);
  platform.SetFault({});
  CHECK(claims.Claim(Fee("r2"), kLater).kind == Kind::kMine);
}

TEST_CASE("a claim given back may be taken again, and only its holder gives it back")
{
  MemoryPlatform platform;
  ClaimStore claims(platform, "vm-1");
  REQUIRE(claims.Claim(Fee("r1"), kLater).kind == Kind::kMine);
  claims.GiveBack(Fee("r2"));
  claims.Flush(std::chrono::seconds(5));
  CHECK(claims.Claim(Fee("r2"), kLater).kind == Kind::kInProgress);
  claims.GiveBack(Fee("r1"));
  claims.Flush(std::chrono::seconds(5));
  CHECK(claims.Claim(Fee("r2"), kLater).kind == Kind::kMine);
}

TEST_CASE("after the deadline nothing is claimed")
{
  MemoryPlatform platform;
  ClaimStore claims(platform, "vm-1");
  CHECK(claims.Claim(Fee("r1"), BootClock::Now()).kind == Kind::kStoreDown);
  CHECK(claims.Claim(Fee("r2"), kLater).kind == Kind::kMine);
}

TEST_CASE("a fee refused after its claim may be sent again, unless the store is down since")
{
  const bool storeFails = GENERATE(false, true);
  // The store goes down while the request waits for its slot.
  class FailingBudgets : public FakeBudgets
  {
  public:
    AcquireResult Take(const LedgerId& aId,
                       TokenThousandths aAmount,
                       std::chrono::nanoseconds aWait) override
    {
      if (aId.type == BudgetId::REGION_SLOTS) {
        this->platform->SetFault(this->fault);
      }
      return FakeBudgets::Take(aId, aAmount, aWait);
    }
    MemoryPlatform* platform = nullptr;
    PlatformFault fault;
  };
  RequestFixture fixture;
  HttpRequest request = RequestFixture::Ask("POST", "/fees");
  request.headers.Add("Idempotency-Key", "fee-1");
  FailingBudgets budgets;
  budgets.platform = &fixture.platform;
  budgets.fault.set_down(storeFails);
  budgets.Refuse(BudgetId::REGION_SLOTS, AcquireRefusal::kEmpty);
  RequestHandler handler({ "vm-1", "a" },
                         { fixture.view,
                           fixture.steering,
                           fixture.pool,
                           budgets,
                           fixture.links,
                           fixture.claims,
                           fixture.metrics });
  const HttpResponse refused = handler.Handle(request);
  CHECK(ReasonIn(refused) == "region_slots");
  CHECK(SaysNotRun(refused));
  CHECK(refused.body.find("use a new one") != std::string::npos);
  fixture.claims.Flush(std::chrono::seconds(5));
  fixture.platform.SetFault({});
  const HttpResponse again = fixture.handler.Handle(request);
  CHECK(again.status == (storeFails ? 409 : 200));
  CHECK(SaysNotRun(again) == false);
  CHECK(fixture.Runs() == (storeFails ? 0 : 1));
}

TEST_CASE("a repeated fee gets the first one's answer and runs once")
{
  RequestFixture fixture;
  HttpRequest request = RequestFixture::Ask("POST", "/fees");
  request.headers.Add("Idempotency-Key", "fee-1");
  const HttpResponse first = fixture.handler.Handle(request);
  REQUIRE(first.status == 200);
  fixture.claims.Flush(std::chrono::seconds(5));
  const HttpResponse second = fixture.handler.Handle(request);
  CHECK(second.status == 200);
  CHECK(second.body == first.body);
  CHECK(second.headers.Get("Plantainhaven-Replayed") == "true");
  CHECK(fixture.Runs() == 1);
}
