#include "plantainhaven/policy/budget/ledger.h"
#include "plantainhaven/policy/budget/specs.h"

#include <catch2/catch.hpp>

namespace plantainhaven {

namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;

constexpr BootTime kStart{ std::chrono::hours(1) };
constexpr BootTime kAcceptedLongAgo{ std::chrono::minutes(1) };
// T and the longest grant of the default options.
constexpr seconds kGrowthWait{ 4 };

BudgetMembers
Members(const std::vector<std::string>& aNames)
{
  auto members = std::make_shared<std::vector<BudgetMember>>();
  for (const std::string& name : aNames) {
    members->push_back(BudgetMember{ name, "tcp://" + name, "", 1, false });
  }
  return members;
}

LedgerOptions
Options(const std::string& aSelf, std::uint64_t aIncarnation = 1)
{
  LedgerOptions options;
  options.self = aSelf;
  options.endpoint = "tcp://" + aSelf;
  options.incarnation = aIncarnation;
  return options;
}

// A ledger with a fresh view of revision 1, accepted long ago.
Ledger
ReadyLedger(const std::string& aSelf, const BudgetSpec& aSpec, const BudgetMembers& aMembers)
{
  Ledger ledger(aSpec.id, Options(aSelf), kStart);
  ledger.OnView(BudgetView{ 1, kAcceptedLongAgo, BootTime::max() }, kStart);
  ledger.OnConfiguration(1, aSpec, aMembers, kStart);
  return ledger;
}

TokenThousandths
TakeAll(Ledger& aLedger, BootTime aNow)
{
  TokenThousandths sum = 0;
  while (aLedger.TryAcquire(kOneToken, aNow).Acquired()) {
    sum += kOneToken;
  }
  return sum;
}

// A lender and a borrower of one budget. The lender is its home VM.
struct Pair
{
  explicit Pair(const BudgetSpec& aSpec)
    : members(Members({ "a", "b" }))
    , spec(aSpec)
    , home((*this->members)[HoldersOf(aSpec, *this->members).front()].name)
    , lender(ReadyLedger(this->home, aSpec, this->members))
    , borrower(ReadyLedger(this->home == "a" ? "b" : "a", aSpec, this->members))
  {
  }

  // Lets the borrower ask at `aNow`; the lender's answer isn't delivered yet.
  Envelope RequestAndRespond(BootTime aNow)
  {
    TakeAll(this->borrower, aNow);
    const std::vector<BudgetMessage> asks = this->borrower.OnTick(aNow);
    REQUIRE_FALSE(asks.empty());
    const std::vector<BudgetMessage> answers = this->lender.OnMessage(asks[0].message, aNow);
    REQUIRE(answers.size() == 1);
    REQUIRE(answers[0].message.borrow_answer().amount() > 0);
    return answers[0].message;
  }

  BudgetMembers members;
  BudgetSpec spec;
  std::string home;
  Ledger lender;
  Ledger borrower;
};

const BudgetSpec kAccount = AccountBudget("account", 10, 6);
const BudgetSpec kSlots = RegionSlotsBudget("service", "region", 2, seconds(10));

} // namespace

TEST_CASE("A started ledger gives out nothing it can't prove to be free")
{
  const BudgetMembers members = Members({ "a" });
  Ledger rate = ReadyLedger("a", kAccount, members);
  CHECK(rate.Available(kStart) == 0);
  CHECK(rate.Available(kStart + milliseconds(999)) == 0);
  CHECK(rate.Available(kStart + milliseconds(1100)) == kOneToken);
  CHECK(rate.Available(kStart + seconds(100)) == 6 * kOneToken);

  Ledger slots = ReadyLedger("a", kSlots, members);
  CHECK(slots.Available(kStart + milliseconds(10'999)) == 0);
  CHECK(slots.Available(kStart + seconds(11)) == 2 * kOneToken);
}

TEST_CASE("A ledger is settled when its lock has ended and a split is accepted")
{
  const BudgetSpec spec = RegionSlotsBudget("s", "r", 100, seconds(6));
  // The longest grant and use of an earlier process, and T before a first split counts.
  constexpr seconds kLock{ 7 };
  constexpr seconds kFirstSplit{ 10 };
  Ledger restarted = ReadyLedger("a", spec, Members({ "a", "b" }));
  CHECK_FALSE(restarted.Settled(kStart + kLock - milliseconds(1)));
  CHECK(restarted.Settled(kStart + kLock));

  Ledger joining(spec.id, Options("a"), kStart);
  joining.OnConfiguration(1, spec, Members({ "a", "b" }), kStart);
  CHECK_FALSE(joining.Settled(kStart + std::chrono::hours(1)));
  joining.OnView(BudgetView{ 1, kStart, BootTime::max() }, kStart);
  CHECK_FALSE(joining.Settled(kStart + kFirstSplit - milliseconds(1)));
  CHECK(joining.Settled(kStart + kFirstSplit));
}

TEST_CASE("As many may wait for slots as are in use, even when none was served before")
{
  const BudgetSpec spec = RegionSlotsBudget("s", "r", 4, milliseconds(1));
  Ledger ledger = ReadyLedger("a", spec, Members({ "a" }));
  const BootTime now = kStart + seconds(10);
  REQUIRE(TakeAll(ledger, now) == 4 * kOneToken);
  CHECK(ledger.MayBecomeAvailable(kOneToken, now, seconds(30), 3 * kOneToken));
  CHECK_FALSE(ledger.MayBecomeAvailable(kOneToken, now, seconds(30), 4 * kOneToken));
}

TEST_CASE("A share shrinks at once and grows when nobody can use the old split")
{
  const BudgetMembers members = Members({ "a" });
  const BudgetSpec more = AccountBudget("account", 10, 9);
  const BootTime now = kStart + seconds(100);
  Ledger ledger = ReadyLedger("a", kAccount, members);
  ledger.OnConfiguration(2, more, members, now);
  CHECK(ledger.CurrentShare(now).capacity == 6 * kOneToken);
  ledger.OnView(BudgetView{ 2, now, BootTime::max() }, now);
  CHECK(ledger.CurrentShare(now + kGrowthWait - milliseconds(1)).capacity == 6 * kOneToken);
  CHECK(ledger.CurrentShare(now + kGrowthWait).capacity == 9 * kOneToken);
  // What grew begins empty: only the rate fills it.
  CHECK(ledger.Available(now + kGrowthWait) == 6 * kOneToken);

  ledger.OnConfiguration(3, kAccount, members, now + seconds(10));
  CHECK(ledger.CurrentShare(now + seconds(10)).capacity == 6 * kOneToken);
  ledger.OnConfiguration(5, kAccount, members, now + seconds(10));
  CHECK(ledger.CurrentShare(now + seconds(10)).capacity == 0);
}

TEST_CASE("A new budget counts at once, one that comes back only after the wait")
{
  const BudgetMembers members = Members({ "a" });
  const BootTime now = kStart + seconds(100);
  Ledger ledger(kAccount.id, Options("a"), kStart);
  ledger.OnView(BudgetView{ 1, kAcceptedLongAgo, BootTime::max() }, now);
  ledger.OnAbsent(1, 1, now);
  ledger.OnConfiguration(2, kAccount, members, now);
  CHECK(ledger.CurrentShare(now).capacity == 6 * kOneToken);
  ledger.OnAbsent(3, 3, now);
  CHECK(ledger.CurrentShare(now).capacity == 0);
  CHECK_FALSE(ledger.CanBeRemoved(now));
  ledger.OnConfiguration(4, kAccount, members, now);
  CHECK(ledger.CurrentShare(now).capacity == 0);
  ledger.OnView(BudgetView{ 4, now, BootTime::max() }, now);
  CHECK(ledger.CurrentShare(now + kGrowthWait).capacity == 6 * kOneToken);
}

TEST_CASE("A ledger without a fresh view neither gives out nor lends")
{
  Pair pair(kAccount);
  const BootTime now = kStart + seconds(100);
  Ledger stale(kAccount.id, Options(pair.home), kStart);
  stale.OnView(BudgetView{ 1, kAcceptedLongAgo, now }, kStart);
  stale.OnConfiguration(1, kAccount, pair.members, kStart);
  CHECK(stale.TryAcquire(kOneToken, now - nanoseconds(1)).Acquired());
  CHECK(stale.TryAcquire(kOneToken, now).refusal == AcquireRefusal::kStaleView);
  TakeAll(pair.borrower, now);
  const std::vector<BudgetMessage> asks = pair.borrower.OnTick(now);
  REQUIRE_FALSE(asks.empty());
  const std::vector<BudgetMessage> answers = stale.OnMessage(asks[0].message, now);
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].message.borrow_answer().amount() == 0);
}

TEST_CASE("A grant is credited once, dated from its ask, whatever happens to its answer")
{
  struct AnswerCase
  {
    const char* name;
    milliseconds delay;
    int copies;
    const char* from;
    std::uint64_t askIdOffset;
    bool credited;
  };
  const std::array cases{
    AnswerCase{ "in time", milliseconds(10), 1, "", 0, true },
    AnswerCase{ "duplicated", milliseconds(10), 3, "", 0, true },
    AnswerCase{ "just before it lapses", milliseconds(799), 1, "", 0, true },
    AnswerCase{ "after it lapsed", milliseconds(800), 1, "", 0, false },
    AnswerCase{ "from a stranger", milliseconds(10), 1, "c", 0, false },
    AnswerCase{ "to another ask", milliseconds(10), 1, "", 1, false },
  };
  for (const AnswerCase& answerCase : cases) {
    INFO(answerCase.name);
    Pair pair(kAccount);
    const BootTime asked = kStart + seconds(100);
    Envelope answer = pair.RequestAndRespond(asked);
    const TokenThousandths amount = answer.borrow_answer().amount();
    if (*answerCase.from != '\0') {
      answer.set_from(answerCase.from);
    }
    answer.set_ask_id(answer.ask_id() + answerCase.askIdOffset);
    const BootTime arrives = asked + answerCase.delay;
    const TokenThousandths before = pair.borrower.Available(arrives);
    for (int i = 0; i < answerCase.copies; ++i) {
      pair.borrower.OnMessage(answer, arrives);
    }
    CHECK(pair.borrower.Available(arrives) - before == (answerCase.credited ? amount : 0));
    const TokenThousandths later = pair.borrower.Available(asked + milliseconds(800));
    CHECK(later <= pair.borrower.CurrentShare(asked + milliseconds(800)).capacity);
  }
}

TEST_CASE("A lender counts what was spent as its own again, and the rest when it lapsed")
{
  Pair pair(kAccount);
  const BootTime now = kStart + seconds(100);
  const Envelope answer = pair.RequestAndRespond(now);
  const TokenThousandths amount = answer.borrow_answer().amount();
  const TokenThousandths capacity = pair.lender.CurrentShare(now).capacity;

  SECTION("reported spent")
  {
    pair.borrower.OnMessage(answer, now);
    TakeAll(pair.borrower, now);
    const BootTime later = now + milliseconds(100);
    for (const BudgetMessage& message : pair.borrower.OnTick(later)) {
      if (message.message.has_spent_report()) {
        pair.lender.OnMessage(message.message, later);
      }
    }
    CHECK(pair.lender.Available(now + milliseconds(999)) == capacity);
  }
  SECTION("lapsed")
  {
    CHECK(pair.lender.Available(now + milliseconds(999)) == capacity - amount);
    CHECK(pair.lender.Available(now + seconds(1)) == capacity - amount);
    CHECK(pair.lender.Available(now + seconds(2)) == capacity);
  }
}

TEST_CASE("A grant beyond a shrunk share isn't prolonged")
{
  Pair pair(kSlots);
  const BootTime now = kStart + seconds(100);
  pair.borrower.OnMessage(pair.RequestAndRespond(now), now);
  REQUIRE(pair.borrower.TryAcquire(kOneToken, now).Acquired());
  const bool shrinks = GENERATE(false, true);
  CAPTURE(shrinks);
  if (shrinks) {
    BudgetSpec none = kSlots;
    none.capacity = 0;
    pair.lender.OnConfiguration(2, none, pair.members, now);
  }
  const BootTime later = now + milliseconds(500);
  bool renewed = false;
  for (const BudgetMessage& message : pair.borrower.OnTick(later)) {
    REQUIRE(message.message.has_borrow_ask());
    if (message.message.borrow_ask().renewed_grant_id() != 0) {
      const std::vector<BudgetMessage> answers = pair.lender.OnMessage(message.message, later);
      renewed = answers[0].message.borrow_answer().amount() > 0;
    }
  }
  CHECK(renewed == !shrinks);
}

} // namespace plantainhaven
