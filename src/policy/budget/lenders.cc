#include "policy/budget/lenders.h"

#include <algorithm>
#include <utility>

namespace plantainhaven {

namespace {

constexpr std::size_t kMaxOtherLenders = 3;
constexpr std::chrono::milliseconds kInitialBackoff{ 20 };
constexpr std::chrono::milliseconds kMaxHomeBackoff{ 80 };
constexpr std::chrono::milliseconds kMaxBackoff{ 640 };

} // namespace

Lenders::Lenders(std::string aSelf, std::chrono::nanoseconds aAskTimeout)
  : self(std::move(aSelf))
  , borrowTimeout(aAskTimeout)
{
}

void
Lenders::SetHolders(const BudgetMembers& aMembers, std::vector<std::size_t> aHolders)
{
  this->members = aMembers;
  this->holders = std::move(aHolders);
  this->homeName = this->holders.empty() ? "" : (*aMembers)[this->holders.front()].name;
  this->peers.clear();
  // Different VMs start the rotation at different holders, to spread the requests.
  this->nextHolder = std::hash<std::string>{}(this->self);
}

bool
Lenders::IsHome() const
{
  return this->homeName == this->self;
}

std::vector<const BudgetMember*>
Lenders::ChooseLenders(BootTime aNow)
{
  std::vector<const BudgetMember*> chosen;
  if (this->holders.empty()) {
    return chosen;
  }
  const BudgetMember& home = (*this->members)[this->holders.front()];
  if (this->CanRequest(home.name, aNow)) {
    chosen.push_back(&home);
    return chosen;
  }
  for (std::size_t i = 0; i < this->holders.size() && chosen.size() < kMaxOtherLenders; ++i) {
    const std::size_t holder = this->holders[this->nextHolder % this->holders.size()];
    const BudgetMember& member = (*this->members)[holder];
    ++this->nextHolder;
    if (this->CanRequest(member.name, aNow)) {
      chosen.push_back(&member);
    }
  }
  return chosen;
}

bool
Lenders::AnyMayLend(BootTime aNow, BootTime aBy) const
{
  return std::any_of(this->holders.begin(), this->holders.end(), [&](std::size_t aHolder) {
    const std::string& name = (*this->members)[aHolder].name;
    return this->IsPending(name, aNow) || this->CanRequest(name, aBy);
  });
}

bool
Lenders::HomeIsShort() const
{
  return this->IsHome() || this->peers.contains(this->homeName);
}

void
Lenders::OnRequestSent(const PendingBorrow& aRequest)
{
  this->pending.push_back(aRequest);
}

std::optional<PendingBorrow>
Lenders::OnResponse(std::uint64_t aRequestId,
                    const std::string& aLender,
                    TokenThousandths aGranted,
                    BootTime aNow)
{
  const auto found =
    std::find_if(this->pending.begin(), this->pending.end(), [&](const PendingBorrow& aRequest) {
      return aRequest.id == aRequestId && aRequest.lender == aLender;
    });
  if (found == this->pending.end()) {
    return std::nullopt;
  }
  PendingBorrow request = std::move(*found);
  this->pending.erase(found);
  if (request.renewedGrant == 0 && aGranted * 2 < request.amount) {
    this->BackOff(aLender, aNow);
  } else if (request.renewedGrant == 0) {
    this->peers.erase(aLender);
  }
  return request;
}

void
Lenders::Expire(BootTime aNow, std::chrono::nanoseconds aValidity)
{
  for (const PendingBorrow& request : this->pending) {
    if (aNow - request.sentAt >= this->borrowTimeout && this->CanRequest(request.lender, aNow)) {
      this->BackOff(request.lender, aNow);
    }
  }
  std::erase_if(this->pending,
                [&](const PendingBorrow& aRequest) { return aNow - aRequest.sentAt >= aValidity; });
}

TokenThousandths
Lenders::PendingAmount(BootTime aNow) const
{
  TokenThousandths sum = 0;
  for (const PendingBorrow& request : this->pending) {
    const bool inFlight = aNow - request.sentAt < this->borrowTimeout;
    sum += inFlight && request.renewedGrant == 0 ? request.amount : 0;
  }
  return sum;
}

bool
Lenders::IsRenewing(std::uint64_t aGrant, const std::string& aLender, BootTime aNow) const
{
  return std::any_of(
    this->pending.begin(), this->pending.end(), [&](const PendingBorrow& aRequest) {
      return aRequest.renewedGrant == aGrant && aRequest.lender == aLender &&
             aNow - aRequest.sentAt < this->borrowTimeout;
    });
}

bool
Lenders::CanRequest(const std::string& aName, BootTime aNow) const
{
  if (aName == this->self || this->IsPending(aName, aNow)) {
    return false;
  }
  const auto peer = this->peers.find(aName);
  return peer == this->peers.end() || peer->second.retryAt <= aNow;
}

bool
Lenders::IsPending(const std::string& aName, BootTime aNow) const
{
  return std::any_of(
    this->pending.begin(), this->pending.end(), [&](const PendingBorrow& aRequest) {
      return aRequest.lender == aName && aRequest.renewedGrant == 0 &&
             aNow - aRequest.sentAt < this->borrowTimeout;
    });
}

void
Lenders::BackOff(const std::string& aName, BootTime aNow)
{
  const bool home = aName == this->homeName;
  const std::chrono::nanoseconds longest = home ? kMaxHomeBackoff : kMaxBackoff;
  Peer& peer = this->peers[aName];
  peer.backoff = std::clamp<std::chrono::nanoseconds>(peer.backoff * 2, kInitialBackoff, longest);
  peer.retryAt = aNow + peer.backoff;
}

} // namespace plantainhaven
