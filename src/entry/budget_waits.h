#pragma once

#include "plantainhaven/entry/budget_gate.h"

#include <chrono>
#include <cstddef>
#include <mutex>
#include <unordered_map>

namespace plantainhaven {

struct BudgetWaitsOptions
{
  // Requests that may wait for tokens at once, of all budgets and of one.
  std::size_t most = 32;
  std::size_t mostOfOne = 8;
};

// Takes tokens and lets a bounded number of requests wait for them, so that a budget in
// short supply, such as that of an account far above its rate, can't hold all the threads.
// Safe for several threads.
class BudgetWaits
{
public:
  // `aBudgets` must outlive this.
  BudgetWaits(BudgetWaitsOptions aOptions, BudgetGate& aBudgets)
    : options(aOptions)
    , budgets(aBudgets)
  {
  }

  // Takes one token, if need be waiting up to `aLongestWait`, or refuses at once when
  // too many wait already.
  AcquireResult Take(const LedgerId& aId, std::chrono::nanoseconds aLongestWait)
  {
    const AcquireResult atOnce = this->budgets.Take(aId, kOneToken, std::chrono::nanoseconds(0));
    const bool mayHelp = atOnce.refusal == AcquireRefusal::kEmpty && aLongestWait.count() > 0;
    if (!mayHelp || !this->Enter(aId)) {
      return atOnce;
    }
    const AcquireResult later = this->budgets.Take(aId, kOneToken, aLongestWait);
    this->Leave(aId);
    return later;
  }

private:
  bool Enter(const LedgerId& aId)
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    std::size_t& ofOne = this->waiting[aId];
    if (this->total >= this->options.most || ofOne >= this->options.mostOfOne) {
      return false;
    }
    ++this->total;
    ++ofOne;
    return true;
  }
  void Leave(const LedgerId& aId)
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    --this->total;
    if (--this->waiting[aId] == 0) {
      this->waiting.erase(aId);
    }
  }

  BudgetWaitsOptions options;
  BudgetGate& budgets;
  std::mutex mutex;
  std::size_t total = 0;
  std::unordered_map<LedgerId, std::size_t, LedgerIdHash> waiting;
};

} // namespace plantainhaven
