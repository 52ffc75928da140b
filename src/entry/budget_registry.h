#pragma once

#include "plantainhaven/common/time.h"
#include "plantainhaven/entry/budget_service.h"
#include "plantainhaven/policy/budget/ledger.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <shared_mutex>
#include <unordered_map>
#include <vector>

namespace plantainhaven {

// One ledger with the lock that guards it.
struct LedgerEntry
{
  LedgerEntry(const LedgerId& aId, const LedgerOptions& aOptions, BootTime aStartedAt)
    : ledger(aId, aOptions, aStartedAt)
  {
  }

  // Call it with the lock held after the ledger changed.
  void CopyNextTick() { this->nextTick = ToBootNanoseconds(this->ledger.NextTick()); }

  std::mutex mutex;
  // Signalled when tokens may have arrived.
  std::condition_variable changed;
  Ledger ledger;
  int waiting = 0;
  // What the waiting requests want in all.
  TokenThousandths wanted = 0;
  // Copy of the ledger's NextTick(), read without the lock.
  std::atomic<std::int64_t> nextTick{ 0 };
};

using LedgerEntryPointer = std::shared_ptr<LedgerEntry>;

// Adds to each count of `aSum` the same count of `aPart`.
void
AddCounts(LedgerCounts& aSum, const LedgerCounts& aPart);

// The ledgers of a process, one for each budget that the configuration lists or that is
// still in use. All methods may be called from any thread.
class BudgetRegistry
{
public:
  BudgetRegistry(const LedgerOptions& aOptions, BootTime aStartedAt);

  // The ledger or null.
  LedgerEntryPointer Find(const LedgerId& aId) const;
  std::vector<LedgerEntryPointer> All() const;

  // True when this VM's own shares of all regions' slots are in force.
  bool Established(BootTime aNow) const;

  // Applies a revision: adds, changes and drops ledgers.
  void Apply(const BudgetConfiguration& aConfiguration, BootTime aNow);
  void SetView(const BudgetView& aView, BootTime aNow);
  // Sum over all ledgers since the process began; never steps back.
  LedgerCounts Counts();

private:
  void AddMissing(const BudgetConfiguration& aConfiguration, BootTime aNow);
  void Drop(const LedgerId& aId, const LedgerEntryPointer& aEntry, BootTime aNow);

  const LedgerOptions options;
  const BootTime startedAt;

  // Guards the map, not the ledgers in it.
  mutable std::shared_mutex mapMutex;
  std::unordered_map<LedgerId, LedgerEntryPointer, LedgerIdHash> entries;

  // Guards what follows; taken before the other locks.
  std::mutex configurationMutex;
  std::uint64_t revision = 0;
  // First revision since which none was missed.
  std::uint64_t contiguousFrom = 0;
  BudgetMembers members;
  BudgetView view;
  // Counts of ledgers that were dropped.
  LedgerCounts dropped;
};

} // namespace plantainhaven
