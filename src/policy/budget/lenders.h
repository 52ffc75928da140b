#pragma once

#include "plantainhaven/common/time.h"
#include "plantainhaven/policy/budget/shares.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace plantainhaven {

// An ask that may still be answered.
struct PendingBorrow
{
  std::uint64_t id = 0;
  std::string lender;
  std::string endpoint;
  TokenThousandths amount = 0;
  // The grant to prolong, or 0.
  std::uint64_t renewedGrant = 0;
  BootTime sentAt{};
};

// Chooses whom to ask for tokens, and remembers the asks under way. The home VM is asked
// first; when it has nothing, a few others in turn. Who had nothing is left alone for a
// while that doubles each time.
class Lenders
{
public:
  Lenders(std::string aSelf, std::chrono::nanoseconds aAskTimeout);

  // The VMs that hold a part of the budget, as indices into `aMembers`, the home VM first.
  void SetHolders(const BudgetMembers& aMembers, std::vector<std::size_t> aHolders);
  bool IsHome() const;

  // The members to ask now; empty when none is promising.
  std::vector<const BudgetMember*> ChooseLenders(BootTime aNow);
  // True when an ask is under way or Choose() would name somebody by `aBy`.
  bool AnyMayLend(BootTime aNow, BootTime aBy) const;

  // True when the home VM's last answer fell short or didn't come.
  bool HomeIsShort() const;

  void OnRequestSent(const PendingBorrow& aRequest);
  // The ask that an answer belongs to; it is forgotten, so that a duplicate finds none.
  std::optional<PendingBorrow> OnResponse(std::uint64_t aRequestId,
                                          const std::string& aLender,
                                          TokenThousandths aGranted,
                                          BootTime aNow);
  // Forgets asks whose answers would come too late to be of use, and backs off from
  // those who didn't answer in time.
  void Expire(BootTime aNow, std::chrono::nanoseconds aValidity);
  // What was asked for and is still under way.
  TokenThousandths PendingAmount(BootTime aNow) const;
  bool IsRenewing(std::uint64_t aGrant, const std::string& aLender, BootTime aNow) const;

private:
  struct Peer
  {
    BootTime retryAt{};
    std::chrono::nanoseconds backoff{ 0 };
  };

  bool CanRequest(const std::string& aName, BootTime aNow) const;
  bool IsPending(const std::string& aName, BootTime aNow) const;
  void BackOff(const std::string& aName, BootTime aNow);

  std::string self;
  std::chrono::nanoseconds borrowTimeout;
  BudgetMembers members;
  std::vector<std::size_t> holders;
  std::string homeName;
  std::size_t nextHolder = 0;
  std::unordered_map<std::string, Peer> peers;
  std::vector<PendingBorrow> pending;
};

} // namespace plantainhaven
