#pragma once

#include "plantainhaven/entry/budget_service.h"

#include <chrono>
#include <utility>

namespace plantainhaven {

// What the request path needs of the budgets. Tests put a fake in its place.
class BudgetGate
{
public:
  virtual ~BudgetGate() = default;

  // Takes `aAmount`, waiting at most `aLongestWait`.
  virtual AcquireResult Take(const LedgerId& aId,
                             TokenThousandths aAmount,
                             std::chrono::nanoseconds aLongestWait) = 0;
  // Gives back what was taken from a concurrency budget.
  virtual void Release(const LedgerId& aId, TokenThousandths aAmount) = 0;
  // True when more of a concurrency budget is in use than this VM now holds, because
  // its share shrank or a grant lapsed.
  virtual bool Exceeded(const LedgerId& aId) = 0;
};

// BudgetGate over the fleet's ledgers.
class ServiceBudgetGate : public BudgetGate
{
public:
  // `aService` must outlive the gate.
  explicit ServiceBudgetGate(BudgetService& aService)
    : service(aService)
  {
  }

  AcquireResult Take(const LedgerId& aId,
                     TokenThousandths aAmount,
                     std::chrono::nanoseconds aLongestWait) override
  {
    return this->service.Take(aId, aAmount, BootClock::Now(), aLongestWait);
  }
  void Release(const LedgerId& aId, TokenThousandths aAmount) override
  {
    this->service.Release(aId, aAmount, BootClock::Now());
  }
  bool Exceeded(const LedgerId& aId) override
  {
    return this->service.Available(aId, BootClock::Now()) < 0;
  }

private:
  BudgetService& service;
};

// One token of a concurrency budget, given back at the end of its life.
class HeldToken
{
public:
  HeldToken() = default;
  HeldToken(BudgetGate& aGate, LedgerId aId)
    : gate(&aGate)
    , id(std::move(aId))
  {
  }
  HeldToken(HeldToken&& aOther) noexcept
    : gate(std::exchange(aOther.gate, nullptr))
    , id(std::move(aOther.id))
  {
  }
  HeldToken& operator=(HeldToken&& aOther) noexcept
  {
    this->Release();
    this->gate = std::exchange(aOther.gate, nullptr);
    this->id = std::move(aOther.id);
    return *this;
  }
  ~HeldToken() { this->Release(); }

  // True when this VM holds more of the budget than it may; see BudgetGate.
  bool Exceeded() const { return this->gate != nullptr && this->gate->Exceeded(this->id); }
  void Release()
  {
    if (BudgetGate* held = std::exchange(this->gate, nullptr)) {
      held->Release(this->id, kOneToken);
    }
  }

private:
  BudgetGate* gate = nullptr;
  LedgerId id;
};

} // namespace plantainhaven
