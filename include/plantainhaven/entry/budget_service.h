#pragma once

#include "plantainhaven/common/metrics.h"
#include "plantainhaven/common/time.h"
#include "plantainhaven/fleet/peer_link.h"
#include "plantainhaven/policy/budget/ledger.h"
#include "plantainhaven/policy/budget/specs.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace plantainhaven {

// The configuration as far as budgets depend on it.
struct BudgetConfiguration
{
  std::uint64_t revision = 0;
  std::vector<BudgetSpec> specs;
  std::vector<BudgetMember> members;
};

// The ledgers of one plantain-entryd and the thread that lends and borrows for them.
// Traffic threads take and release; the budget thread alone uses the link.
class BudgetService
{
public:
  // `aLink` is bound already; the service owns it. `aMetrics` must outlive the service.
  // `aOptions.incarnation` 0 is replaced by a random number. `aClock` is read wherever
  // time may have passed since a caller read it.
  BudgetService(LedgerOptions aOptions,
                std::unique_ptr<PeerLink> aLink,
                Metrics& aMetrics,
                std::function<BootTime()> aClock = BootClock::Now);
  // Stops the budget thread.
  ~BudgetService();
  BudgetService(const BudgetService&) = delete;
  BudgetService& operator=(const BudgetService&) = delete;

  // Starts the budget thread.
  void Start();
  // Ends the budget thread after it gave back what it had borrowed. What was taken may
  // still be released afterwards.
  void Stop();

  // Revision `revision` was applied. Call it for every revision in order, also for those
  // that change no budget: after a gap this VM uses none of its own share until
  // the new revision has been accepted for T. Budgets no longer listed are dropped.
  void UpdateConfiguration(const BudgetConfiguration& aConfiguration, BootTime aNow);
  // Acceptance or freshness moved on; call it for every answer of plantain-controld.
  // Nothing is taken or lent once `aView.freshUntil` has passed.
  void UpdateView(const BudgetView& aView, BootTime aNow);

  // Takes `aAmount` or refuses; never waits. From any thread.
  AcquireResult TryTake(const LedgerId& aId, TokenThousandths aAmount, BootTime aNow);
  // Takes `aAmount`, waiting at most `aLongestWait` for it to be refilled, released or
  // borrowed. It refuses at once when a wait of that length can't help.
  AcquireResult Take(const LedgerId& aId,
                     TokenThousandths aAmount,
                     BootTime aNow,
                     std::chrono::nanoseconds aLongestWait);
  // Gives back what was taken from a concurrency budget; from any thread, once for each
  // amount taken, at the latest `longestUse` after it was taken.
  void Release(const LedgerId& aId, TokenThousandths aAmount, BootTime aNow);

  // What could be taken now without waiting; 0 for an unknown budget.
  TokenThousandths Available(const LedgerId& aId, BootTime aNow) const;

  // True when this VM's own shares of all regions' slots are in force. A process that starts can
  // only borrow until its predecessor's grants have lapsed and the fleet has accepted it.
  bool Established(BootTime aNow) const;

  // One round of the budget thread: handles messages that come within `aLongestWait`
  // and ticks the ledgers. For tests that don't call Start().
  void RunOnce(std::chrono::milliseconds aLongestWait);

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace plantainhaven
