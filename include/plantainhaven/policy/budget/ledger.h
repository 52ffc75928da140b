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

// Why an acquisition was refused.
enum class AcquireRefusal
{
  kNone,          // The tokens were acquired.
  kEmpty,         // Too few tokens are left here and none could be borrowed yet.
  kStaleView,     // This VM's configuration is stale, so it may not use its share.
  kUnknownBudget, // The configuration has no such budget.
};

// The name of a refusal in metrics and responses, for example "budget_empty".
const char*
ToString(AcquireRefusal aRefusal) noexcept;

// The result of an attempt to acquire tokens.
struct AcquireResult
{
  AcquireRefusal refusal = AcquireRefusal::kNone;
  // When refused: how long the caller should wait before it retries.
  std::chrono::nanoseconds retryAfter{ 0 };

  bool Acquired() const noexcept { return this->refusal == AcquireRefusal::kNone; }
};

// Whether an attempt is the first one of a request or a retry while the request waits.
// Only first attempts count as demand.
enum class Attempt
{
  kFirst,
  kRetry,
};

// How current the configuration applied on this VM is.
struct BudgetView
{
  // The highest revision known to be accepted, and when this VM learned of it.
  std::uint64_t acceptedRevision = 0;
  BootTime acceptedAt{};
  // The configuration counts as fresh while now < freshUntil; after that it is stale.
  BootTime freshUntil{};
};

struct LedgerOptions
{
  std::string self;
  // "tcp://ADDRESS:PORT" where responses reach this VM.
  std::string endpoint;
  // Differs for every process start; it is the high part of request and grant ids.
  std::uint64_t incarnation = 0;
  // T: how long after the acceptance of a revision a VM that hasn't applied it may still
  // act on its older configuration.
  std::chrono::nanoseconds freshness{ std::chrono::seconds(3) };
  // How long a borrower may use a grant, counted from when it sent the request.
  std::chrono::nanoseconds grantValidity{ std::chrono::milliseconds(800) };
  // Tolerance added where a period is measured by the clocks of two VMs.
  std::chrono::nanoseconds clockMargin{ std::chrono::milliseconds(200) };
  // The ledger borrows in advance to cover the expected demand of this period.
  std::chrono::nanoseconds lookahead{ std::chrono::milliseconds(200) };
  // A borrow request without a response for this long counts as failed.
  std::chrono::nanoseconds borrowTimeout{ std::chrono::milliseconds(300) };
  // Shortest time between two rounds of borrow requests, and between two spent reports.
  std::chrono::nanoseconds borrowInterval{ std::chrono::milliseconds(10) };
  std::chrono::nanoseconds reportInterval{ std::chrono::milliseconds(100) };
  std::int64_t floorThousandths = kDefaultFloorThousandths;
};

// A budget message and the endpoint to send it to.
struct BudgetMessage
{
  std::string endpoint;
  Envelope message;
};

// Counters since the ledger was created, for metrics and the capacity page.
struct LedgerCounts
{
  std::uint64_t borrowRequests = 0;
  std::uint64_t grantsReceived = 0;
  std::uint64_t grantsGiven = 0;
  std::uint64_t grantsRefused = 0;
  std::uint64_t reports = 0;
  // Borrowed grants that expired with unspent tokens.
  std::uint64_t expiredGrants = 0;
};

// The part of one budget that one VM manages: its share of the limit, the tokens it lent
// to other VMs, and the tokens it borrowed from them. Over all VMs together, the tokens
// acquired in any window w stay within rate * w + capacity, and the tokens in use of a
// concurrency budget stay within its capacity. Both bounds hold even when messages are
// lost, delayed or duplicated and when processes pause or restart; see
// docs/design/budgets.md. Not thread-safe; reads no clock.
class Ledger
{
public:
  // A new ledger holds no tokens. It treats its whole share as lent until every grant of
  // an earlier process on this VM has expired.
  Ledger(LedgerId aId, LedgerOptions aOptions, BootTime aStartedAt);
  ~Ledger();
  Ledger(Ledger&&) noexcept;
  Ledger& operator=(Ledger&&) noexcept;

  // Applies revision `aRevision`. A smaller share takes effect at once, a larger one only
  // when no VM can still be using the old split. Revisions must be consecutive: after a
  // gap the ledger hands out no tokens of its own share until the new revision takes
  // effect.
  void OnConfiguration(std::uint64_t aRevision,
                       const BudgetSpec& aSpec,
                       const BudgetMembers& aMembers,
                       BootTime aNow);
  // Records that no revision from `aFrom` to `aThrough`, the one applied now, lists the
  // budget. When this call precedes the first configuration of a new budget, that share
  // takes effect at once, because no VM can be using an older split.
  void OnAbsent(std::uint64_t aFrom, std::uint64_t aThrough, BootTime aNow);
  // Updates the accepted revision and the freshness of the configuration.
  void OnView(const BudgetView& aView, BootTime aNow);

  // Acquires `aAmount` or refuses; never waits. Fractions of a token are allowed.
  AcquireResult TryAcquire(TokenThousandths aAmount,
                           BootTime aNow,
                           Attempt aAttempt = Attempt::kFirst);
  // True when `aAmount` may become available within `aLongestWait` after a refusal, by
  // refill, by release, or by borrowing from a VM that hasn't refused lately. `aQueuedAhead`
  // is the amount that earlier requests on this VM wait for. Under overload the queue is
  // limited to the amount that is usually acquired in that time.
  bool MayBecomeAvailable(TokenThousandths aAmount,
                          BootTime aNow,
                          std::chrono::nanoseconds aLongestWait,
                          TokenThousandths aQueuedAhead = 0) const;
  // Time until the tokens on this VM would reach `aAmount` without further borrowing; the
  // largest value if never.
  std::chrono::nanoseconds OwnRefillTime(TokenThousandths aAmount, BootTime aNow) const;
  // Releases tokens that were acquired from a concurrency budget; ignored for rates.
  void Release(TokenThousandths aAmount, BootTime aNow);

  // Handles a message about this budget; messages of other kinds are ignored. Returns the
  // messages to send.
  std::vector<BudgetMessage> OnMessage(const Envelope& aMessage, BootTime aNow);
  // Returns all unused tokens to their lenders before this process stops.
  std::vector<BudgetMessage> ReturnGrants(BootTime aNow);
  // Borrows for the expected demand, reports spent tokens and returns tokens that aren't
  // needed. Call it at NextTick().
  std::vector<BudgetMessage> OnTick(BootTime aNow);
  // The next time at which OnTick() must be called. Other calls may bring it forward.
  BootTime NextTick() const;

  // True when no configuration lists the budget any more, no VM can still use a share of
  // it, and none of it is in use on this VM: the ledger may be destroyed.
  bool CanBeRemoved(BootTime aNow) const;
  // The amount that could be acquired now: free tokens of the own share plus valid grants.
  TokenThousandths Available(BootTime aNow) const;
  // The amount in use of a concurrency budget; 0 for rates.
  TokenThousandths InUse() const;
  // True when this VM's own share, which may be empty, is in effect: no grant or use of an
  // earlier process can still be active, and a split is known to apply on all VMs.
  bool Settled(BootTime aNow) const;
  // The share in effect now.
  Share CurrentShare(BootTime aNow) const;
  const LedgerCounts& Counts() const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace plantainhaven
