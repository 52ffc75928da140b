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

// A borrow request that may still receive a response.
struct PendingBorrow
{
  std::uint64_t id = 0;
  std::string lender;
  std::string endpoint;
  TokenThousandths amount = 0;
  // The grant to renew, or 0 for a new grant.
  std::uint64_t renewedGrant = 0;
  BootTime sentAt{};
};

// Chooses the VMs to borrow from and tracks pending borrow requests. Requests go to the
// home VM first; while it is backed off or has a pending request, they go to a few other
// holders in rotation. A lender that grants too little backs off for a delay that doubles
// each time.
class Lenders
{
public:
  Lenders(std::string aSelf, std::chrono::nanoseconds aAskTimeout);

  // Sets the holders of the budget as indices into `aMembers`, the home VM first.
  void SetHolders(const BudgetMembers& aMembers, std::vector<std::size_t> aHolders);
  bool IsHome() const;

  // The members to send a borrow request to now; empty when none is eligible.
  std::vector<const BudgetMember*> ChooseLenders(BootTime aNow);
  // True when a request is in flight or a holder becomes eligible by `aBy`.
  bool AnyMayLend(BootTime aNow, BootTime aBy) const;

  // True when this VM is the home VM, or when the last request to the home VM was granted
  // too little or timed out.
  bool HomeIsShort() const;

  void OnRequestSent(const PendingBorrow& aRequest);
  // Returns and removes the request that a response belongs to, so that a duplicate response
  // matches none.
  std::optional<PendingBorrow> OnResponse(std::uint64_t aRequestId,
                                          const std::string& aLender,
                                          TokenThousandths aGranted,
                                          BootTime aNow);
  // Drops requests whose responses would come too late to be of use, and backs off from
  // lenders that didn't respond in time.
  void Expire(BootTime aNow, std::chrono::nanoseconds aValidity);
  // Sum of the amounts of the requests in flight, without renewals.
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
