#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "peer.pb.h"

namespace plantainhaven {

// An amount of tokens in thousandths. One request of a client account, one slot, one
// connection and one byte of a link are one token each.
using TokenThousandths = std::int64_t;
constexpr TokenThousandths kOneToken = 1000;

// Names one budget of the fleet: what it limits and whose limit it is.
struct LedgerId
{
  BudgetId::Type type = BudgetId::TYPE_UNSPECIFIED;
  std::string name;

  auto operator<=>(const LedgerId&) const = default;
};

struct LedgerIdHash
{
  std::size_t operator()(const LedgerId& aId) const noexcept
  {
    return std::hash<std::string>{}(aId.name) * 31 + static_cast<std::size_t>(aId.type);
  }
};

// True for limits on what is in use at once: region slots and server connections. The
// other types are rates whose tokens refill with time.
bool
IsConcurrency(BudgetId::Type aType) noexcept;

// One limit as the configuration states it, for the whole fleet.
struct BudgetSpec
{
  LedgerId id;
  // Tokens that refill in one second; 0 for concurrency.
  TokenThousandths ratePerSecond = 0;
  // Burst of a rate, or the most that may be in use at once.
  TokenThousandths capacity = 0;
  // Concurrency only: the longest time that anything taken may stay in use. The holder
  // must end its use by then; the bound over the fleet rests on it.
  std::chrono::nanoseconds longestUse{ 0 };

  bool operator==(const BudgetSpec&) const = default;
};

// A VM among which budgets are split. Leaving ones count until they are removed.
struct BudgetMember
{
  std::string name;
  // "tcp://ADDRESS:PORT" where its plantain-entryd hears budget messages.
  std::string endpoint;
  std::string failureDomain;
  std::uint64_t incarnation = 0;
  bool leaving = false;

  bool operator==(const BudgetMember&) const = default;
};

// One list of members is shared by all ledgers of a process.
using BudgetMembers = std::shared_ptr<const std::vector<BudgetMember>>;

// The part of a budget that one VM may give out by itself.
struct Share
{
  TokenThousandths ratePerSecond = 0;
  TokenThousandths capacity = 0;

  bool operator==(const Share&) const = default;
};

// Thousandths of a budget that are split evenly over its holders; the rest belongs to
// the budget's home VM, which lends it to where the demand is.
constexpr std::int64_t kDefaultFloorThousandths = 750;

// The members among which a budget is split, as indices into `aMembers`, in the order of
// their rendezvous hash; members that aren't leaving come first, and the first of all is
// the home VM. All members hold a part when each can have at least a few tokens of
// capacity, fewer otherwise. Depends on nothing but the arguments; the order of members
// changes the indices but not who is chosen.
std::vector<std::size_t>
HoldersOf(const BudgetSpec& aSpec,
          const std::vector<BudgetMember>& aMembers,
          std::int64_t aFloorThousandths = kDefaultFloorThousandths);

// The share of `aSelf`; an empty one when it holds no part. Over all members the shares
// sum exactly to the budget.
Share
ShareOf(const BudgetSpec& aSpec,
        const std::vector<BudgetMember>& aMembers,
        std::string_view aSelf,
        std::int64_t aFloorThousandths = kDefaultFloorThousandths);

} // namespace plantainhaven
