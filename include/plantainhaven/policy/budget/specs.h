#pragma once

#include "plantainhaven/policy/budget/shares.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace plantainhaven {

// The budgets of a client account, a service in a region, a backend server and a link
// between regions. Rates are per second; amounts are in tokens.
BudgetSpec
AccountBudget(const std::string& aAccount, double aRate, double aBurst);
BudgetSpec
RegionSlotsBudget(const std::string& aService,
                  const std::string& aRegion,
                  std::int64_t aSlots,
                  std::chrono::nanoseconds aLongestUse);
BudgetSpec
ServerConnectionsBudget(const std::string& aServer,
                        std::int64_t aConnections,
                        std::chrono::nanoseconds aLongestUse);
// Tokens are bytes; the burst is the amount that the link transfers in `aBurstTime`.
BudgetSpec
LinkBudget(const std::string& aFromRegion,
           const std::string& aToRegion,
           double aMegabitsPerSecond,
           std::chrono::nanoseconds aBurstTime = std::chrono::milliseconds(100));

} // namespace plantainhaven
