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

// Identifies one budget of the fleet: the kind of limit and the entity that it applies to.
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

// True for limits on concurrent use: region slots and server connections. The other types
// are rates, whose tokens refill over time.
bool
IsConcurrency(BudgetId::Type aType) noexcept;

// One limit for the whole fleet, as configured.
struct BudgetSpec
{
  LedgerId id;
  // Refill rate per second; 0 for concurrency budgets.
  TokenThousandths ratePerSecond = 0;
  // Burst size of a rate, or the most that may be in use at once.
  TokenThousandths capacity = 0;
  // Concurrency only: the longest time that an acquired token may stay in use. The holder
  // must release it by then, because the bound over the fleet depends on it.
  std::chrono::nanoseconds longestUse{ 0 };

  bool operator==(const BudgetSpec&) const = default;
};

// One of the VMs among which budgets are split. A leaving VM counts until it is removed.
struct BudgetMember
{
  std::string name;
  // "tcp://ADDRESS:PORT" where its plantain-entryd receives budget messages.
  std::string endpoint;
  std::string failureDomain;
  std::uint64_t incarnation = 0;
  bool leaving = false;

  bool operator==(const BudgetMember&) const = default;
};

// All ledgers of a process share one list of members.
using BudgetMembers = std::shared_ptr<const std::vector<BudgetMember>>;

// The part of a budget that one VM may hand out without borrowing.
struct Share
{
  TokenThousandths ratePerSecond = 0;
  TokenThousandths capacity = 0;

  bool operator==(const Share&) const = default;
};

// The fraction of a budget, in thousandths, that is split evenly over its holders. The
// budget's home VM holds the rest and lends it to VMs with more demand than their share.
constexpr std::int64_t kDefaultFloorThousandths = 750;

// The holders of a budget: the members among which it is split, as indices into
// `aMembers`. They are sorted by rendezvous hash, members that aren't leaving first; the
// first holder is the home VM. All members are holders when the capacity is large enough
// to give each at least a few tokens, otherwise fewer are. The result depends only on the
// arguments; the order of members changes the indices but not who is chosen.
std::vector<std::size_t>
HoldersOf(const BudgetSpec& aSpec,
          const std::vector<BudgetMember>& aMembers,
          std::int64_t aFloorThousandths = kDefaultFloorThousandths);

// The share of `aSelf`; empty when it is no holder. The shares of all members sum exactly
// to the budget.
Share
ShareOf(const BudgetSpec& aSpec,
        const std::vector<BudgetMember>& aMembers,
        std::string_view aSelf,
        std::int64_t aFloorThousandths = kDefaultFloorThousandths);

} // namespace plantainhaven
