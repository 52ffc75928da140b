#pragma once

#include "plantainhaven/common/time.h"
#include "plantainhaven/policy/budget/shares.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "peer.pb.h"

namespace plantainhaven {

// Why nothing was taken.
enum class AcquireRefusal
{
  kNone,          // It was taken.
  kEmpty,         // No token is left here and none could be borrowed yet.
  kStaleView,     // This VM's view isn't fresh, so it may not use its share.
  kUnknownBudget, // The configuration has no such budget.
};

// Names a refusal as metrics and answers write it, for example "budget_empty".
const char*
ToString(AcquireRefusal aRefusal) noexcept;

// The answer to an attempt to take tokens.
struct AcquireResult
{
  AcquireRefusal refusal = AcquireRefusal::kNone;
  // When refused: how long the caller should wait before it comes again.
  std::chrono::nanoseconds retryAfter{ 0 };

  bool Acquired() const noexcept { return this->refusal == AcquireRefusal::kNone; }
};

// Whether a request asks for the first time or again while it waits; only the first
// attempt counts as demand.
enum class Attempt
{
  kFirst,
  kRetry,
};

// What a VM knows about its own view, as the rule of the fresh view gives it.
struct BudgetView
{
  // The highest revision known to be accepted, and when that was learned.
  std::uint64_t acceptedRevision = 0;
  BootTime acceptedAt{};
  // The view is fresh while now < freshUntil.
  BootTime freshUntil{};
};

struct LedgerOptions
{
  std::string self;
  // "tcp://ADDRESS:PORT" where answers reach this VM.
  std::string endpoint;
  // Differs for every process start; ask and grant ids begin with it.
  std::uint64_t incarnation = 0;
  // T of the fresh view.
  std::chrono::nanoseconds freshness{ std::chrono::seconds(3) };
  // How long a borrower may use a grant, counted from its ask.
  std::chrono::nanoseconds grantValidity{ std::chrono::milliseconds(800) };
  // Added wherever two VMs' clocks are compared.
  std::chrono::nanoseconds clockMargin{ std::chrono::milliseconds(200) };
  // Demand of this long is held in stock ahead of need.
  std::chrono::nanoseconds lookahead{ std::chrono::milliseconds(200) };
  // An ask without an answer for this long is given up.
  std::chrono::nanoseconds borrowTimeout{ std::chrono::milliseconds(300) };
  // Shortest time between two rounds of asks, and between two spent reports.
  std::chrono::nanoseconds borrowInterval{ std::chrono::milliseconds(10) };
  std::chrono::nanoseconds reportInterval{ std::chrono::milliseconds(100) };
  std::int64_t floorThousandths = kDefaultFloorThousandths;
};

// A budget message to send and where to.
struct BudgetMessage
{
  std::string endpoint;
  Envelope message;
};

// What a ledger did since it began, for metrics and the capacity page.
struct LedgerCounts
{
  std::uint64_t borrowRequests = 0;
  std::uint64_t grantsReceived = 0;
  std::uint64_t grantsGiven = 0;
  std::uint64_t grantsRefused = 0;
  std::uint64_t reports = 0;
  // Grants held here that lapsed with something unspent.
  std::uint64_t expiredGrants = 0;
};

// One budget as seen by one VM: its share of the limit, what it lent to other VMs, and
// what it borrowed from them. Over all VMs together the tokens taken in any window w
// stay within rate * w + capacity, and what is in use of a concurrency budget within
// its capacity, whatever is lost, delayed, duplicated, paused or restarted; see
// docs/design/budgets.md. Not thread-safe; reads no clock.
class Ledger
{
public:
  // A ledger begins empty and treats its whole share as lent until every grant of an
  // earlier process on this VM has lapsed.
  Ledger(LedgerId aId, LedgerOptions aOptions, BootTime aStartedAt);
  ~Ledger();
  Ledger(Ledger&&) noexcept;
  Ledger& operator=(Ledger&&) noexcept;

  // Revision `aRevision` was applied. A smaller share counts at once, a larger one only
  // when nobody can still be using the old split. Revisions must come one by one: after
  // a gap the ledger gives out nothing of its own until the new one may count.
  void OnConfiguration(std::uint64_t aRevision,
                       const BudgetSpec& aSpec,
                       const BudgetMembers& aMembers,
                       BootTime aNow);
  // No revision from `aFrom` to `aThrough`, the one applied now, lists the budget. Told
  // before a new budget's first configuration it lets the share count at once, because
  // nobody can be using an older split.
  void OnAbsent(std::uint64_t aFrom, std::uint64_t aThrough, BootTime aNow);
  // Acceptance or freshness moved on.
  void OnView(const BudgetView& aView, BootTime aNow);

  // Takes `aAmount` or refuses; never waits. Lower amounts than one token are allowed.
  AcquireResult TryAcquire(TokenThousandths aAmount,
                           BootTime aNow,
                           Attempt aAttempt = Attempt::kFirst);
  // True when `aAmount` may come within `aLongestWait` of a refusal: refilled, released
  // or borrowed from a VM that isn't known to be empty. `aAhead` is what others here
  // wait for already; under overload only as much may wait as usually comes in that time.
  bool MayBecomeAvailable(TokenThousandths aAmount,
                          BootTime aNow,
                          std::chrono::nanoseconds aLongestWait,
                          TokenThousandths aQueuedAhead = 0) const;
  // Until this VM's own tokens alone would reach `aAmount`; the largest value if never.
  std::chrono::nanoseconds OwnRefillTime(TokenThousandths aAmount, BootTime aNow) const;
  // Gives back what was taken from a concurrency budget; ignored for rates.
  void Release(TokenThousandths aAmount, BootTime aNow);

  // A message about this budget arrived; messages of other kinds are ignored.
  std::vector<BudgetMessage> OnMessage(const Envelope& aMessage, BootTime aNow);
  // Gives everything unused back to its lenders: this process stops.
  std::vector<BudgetMessage> ReturnGrants(BootTime aNow);
  // Borrows ahead of need, reports what was spent and gives back what isn't needed.
  // Call it when NextTick() has come.
  std::vector<BudgetMessage> OnTick(BootTime aNow);
  // When OnTick has something to do, as of now.
  BootTime NextTick() const;

  // True when no configuration lists the budget and nothing of it is in use or can still
  // be lent: the ledger may be dropped.
  bool CanBeRemoved(BootTime aNow) const;
  // What could be taken now: own level plus valid grants.
  TokenThousandths Available(BootTime aNow) const;
  // What is in use of a concurrency budget.
  TokenThousandths InUse() const;
  // True when this VM's own share, which may be none, is in force: no earlier process can
  // still have it lent or in use, and a split is known to hold everywhere.
  bool Settled(BootTime aNow) const;
  // The share in force now.
  Share CurrentShare(BootTime aNow) const;
  const LedgerCounts& Counts() const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace plantainhaven
