#include "plantainhaven/policy/budget/specs.h"

namespace plantainhaven {

namespace {

using std::chrono::nanoseconds;

constexpr double kThousandths = 1000.0;
constexpr double kBytesPerMegabit = 125'000.0;

TokenThousandths
ToThousandths(double aTokens)
{
  return static_cast<TokenThousandths>(aTokens * kThousandths);
}

} // namespace

BudgetSpec
AccountBudget(const std::string& aAccount, double aRate, double aBurst)
{
  BudgetSpec spec;
  spec.id = LedgerId{ BudgetId::ACCOUNT_RATE, aAccount };
  spec.ratePerSecond = ToThousandths(aRate);
  spec.capacity = ToThousandths(aBurst);
  return spec;
}

BudgetSpec
RegionSlotsBudget(const std::string& aService,
                  const std::string& aRegion,
                  std::int64_t aSlots,
                  nanoseconds aLongestUse)
{
  BudgetSpec spec;
  spec.id = LedgerId{ BudgetId::REGION_SLOTS, aService + "@" + aRegion };
  spec.capacity = aSlots * kOneToken;
  spec.longestUse = aLongestUse;
  return spec;
}

BudgetSpec
ServerConnectionsBudget(const std::string& aServer,
                        std::int64_t aConnections,
                        nanoseconds aLongestUse)
{
  BudgetSpec spec;
  spec.id = LedgerId{ BudgetId::SERVER_CONNECTIONS, aServer };
  spec.capacity = aConnections * kOneToken;
  spec.longestUse = aLongestUse;
  return spec;
}

BudgetSpec
LinkBudget(const std::string& aFromRegion,
           const std::string& aToRegion,
           double aMegabitsPerSecond,
           nanoseconds aBurstTime)
{
  const double bytes = aMegabitsPerSecond * kBytesPerMegabit;
  BudgetSpec spec;
  spec.id = LedgerId{ BudgetId::LINK_BANDWIDTH, aFromRegion + ">" + aToRegion };
  spec.ratePerSecond = ToThousandths(bytes);
  spec.capacity = ToThousandths(bytes * std::chrono::duration<double>(aBurstTime).count());
  return spec;
}

} // namespace plantainhaven
