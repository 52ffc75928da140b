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
// The sum of T (3 s) and the maximum grant lifetime (1 s) with the default options.
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

// A ledger with a fresh configuration of revision 1, accepted long ago.
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

// A lender and a borrower of one budget. The lender is the home VM.
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

  // Sends a borrow request at `aNow` and returns the response of the lender without
  // delivering it.
  Envelope RequestAndRespond(BootTime aNow)
  {
    TakeAll(this->borrower, aNow);
    const std::vector<BudgetMessage> requests = this->borrower.OnTick(aNow);
    REQUIRE_FALSE(requests.empty());
    const std::vector<BudgetMessage> responses = this->lender.OnMessage(requests[0].message, aNow);
    REQUIRE(responses.size() == 1);
    REQUIRE(responses[0].message.borrow_answer().amount() > 0);
    return responses[0].message;
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

TEST_CASE("A new ledger hands out no tokens that an earlier process may still use")
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

TEST_CASE("A ledger is settled once its lock has ended and an accepted split is in effect")
{
  const BudgetSpec spec = RegionSlotsBudget("s", "r", 100, seconds(6));
  // The lock lasts for the longest grant and use of an earlier process. The first split
  // takes effect another T (3 s) later.
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

TEST_CASE("As many requests may wait for slots as are in use, even when none was released before")
{
  const BudgetSpec spec = RegionSlotsBudget("s", "r", 4, milliseconds(1));
  Ledger ledger = ReadyLedger("a", spec, Members({ "a" }));
  const BootTime now = kStart + seconds(10);
  REQUIRE(TakeAll(ledger, now) == 4 * kOneToken);
  CHECK(ledger.MayBecomeAvailable(kOneToken, now, seconds(30), 3 * kOneToken));
  CHECK_FALSE(ledger.MayBecomeAvailable(kOneToken, now, seconds(30), 4 * kOneToken));
}

TEST_CASE("A share shrinks at once and grows when no VM can still use the old split")
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
  // Additional capacity starts empty and is filled by the rate only.
  CHECK(ledger.Available(now + kGrowthWait) == 6 * kOneToken);

  ledger.OnConfiguration(3, kAccount, members, now + seconds(10));
  CHECK(ledger.CurrentShare(now + seconds(10)).capacity == 6 * kOneToken);
  ledger.OnConfiguration(5, kAccount, members, now + seconds(10));
  CHECK(ledger.CurrentShare(now + seconds(10)).capacity == 0);
}

TEST_CASE("A new budget takes effect at once, a budget listed again only after the growth delay")
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

TEST_CASE("A ledger with a stale configuration neither hands out nor lends tokens")
{
  Pair pair(kAccount);
  const BootTime now = kStart + seconds(100);
  Ledger stale(kAccount.id, Options(pair.home), kStart);
  stale.OnView(BudgetView{ 1, kAcceptedLongAgo, now }, kStart);
  stale.OnConfiguration(1, kAccount, pair.members, kStart);
  CHECK(stale.TryAcquire(kOneToken, now - nanoseconds(1)).Acquired());
  CHECK(stale.TryAcquire(kOneToken, now).refusal == AcquireRefusal::kStaleView);
  TakeAll(pair.borrower, now);
  const std::vector<BudgetMessage> requests = pair.borrower.OnTick(now);
  REQUIRE_FALSE(requests.empty());
  const std::vector<BudgetMessage> responses = stale.OnMessage(requests[0].message, now);
  REQUIRE(responses.size() == 1);
  CHECK(responses[0].message.borrow_answer().amount() == 0);
}

TEST_CASE(
  "A grant is credited once and expires relative to its request, whatever the response does")
{
  struct ResponseCase
  {
    const char* name;
    milliseconds delay;
    int copies;
    const char* from;
    std::uint64_t requestIdOffset;
    bool credited;
  };
  const std::array cases{
    ResponseCase{ "in time", milliseconds(10), 1, "", 0, true },
    ResponseCase{ "duplicated", milliseconds(10), 3, "", 0, true },
    ResponseCase{ "just before it expires", milliseconds(799), 1, "", 0, true },
    ResponseCase{ "after it expired", milliseconds(800), 1, "", 0, false },
    ResponseCase{ "from another VM", milliseconds(10), 1, "c", 0, false },
    ResponseCase{ "to another request", milliseconds(10), 1, "", 1, false },
  };
  for (const ResponseCase& responseCase : cases) {
    INFO(responseCase.name);
    Pair pair(kAccount);
    const BootTime requestedAt = kStart + seconds(100);
    Envelope response = pair.RequestAndRespond(requestedAt);
    const TokenThousandths amount = response.borrow_answer().amount();
    if (*responseCase.from != '\0') {
      response.set_from(responseCase.from);
    }
    response.set_ask_id(response.ask_id() + responseCase.requestIdOffset);
    const BootTime arrives = requestedAt + responseCase.delay;
    const TokenThousandths before = pair.borrower.Available(arrives);
    for (int i = 0; i < responseCase.copies; ++i) {
      pair.borrower.OnMessage(response, arrives);
    }
    CHECK(pair.borrower.Available(arrives) - before == (responseCase.credited ? amount : 0));
    const TokenThousandths later = pair.borrower.Available(requestedAt + milliseconds(800));
    CHECK(later <= pair.borrower.CurrentShare(requestedAt + milliseconds(800)).capacity);
  }
}

TEST_CASE("A lender regains the capacity of spent tokens on a report and of the rest on expiry")
{
  Pair pair(kAccount);
  const BootTime now = kStart + seconds(100);
  const Envelope response = pair.RequestAndRespond(now);
  const TokenThousandths amount = response.borrow_answer().amount();
  const TokenThousandths capacity = pair.lender.CurrentShare(now).capacity;

  SECTION("reported spent")
  {
    pair.borrower.OnMessage(response, now);
    TakeAll(pair.borrower, now);
    const BootTime later = now + milliseconds(100);
    for (const BudgetMessage& message : pair.borrower.OnTick(later)) {
      if (message.message.has_spent_report()) {
        pair.lender.OnMessage(message.message, later);
      }
    }
    CHECK(pair.lender.Available(now + milliseconds(999)) == capacity);
  }
  SECTION("expired")
  {
    CHECK(pair.lender.Available(now + milliseconds(999)) == capacity - amount);
    CHECK(pair.lender.Available(now + seconds(1)) == capacity - amount);
    CHECK(pair.lender.Available(now + seconds(2)) == capacity);
  }
}

TEST_CASE("A grant isn't renewed after the share has shrunk below it")
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
      const std::vector<BudgetMessage> responses = pair.lender.OnMessage(message.message, later);
      renewed = responses[0].message.borrow_answer().amount() > 0;
    }
  }
  CHECK(renewed == !shrinks);
}

} // namespace plantainhaven
