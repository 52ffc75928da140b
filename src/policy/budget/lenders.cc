#include "policy/budget/lenders.h"

#include <algorithm>
#include <utility>

namespace plantainhaven {

namespace {

constexpr std::size_t kOthersAtOnce = 3;
constexpr std::chrono::milliseconds kFirstBackoff{ 20 };
constexpr std::chrono::milliseconds kLongestHomeBackoff{ 80 };
constexpr std::chrono::milliseconds kLongestBackoff{ 640 };

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
  // VMs begin their turns at different holders.
  this->next = std::hash<std::string>{}(this->self);
}

bool
Lenders::IsHome() const
{
  return this->homeName == this->self;
}

std::vector<const BudgetMember*>
Lenders::Choose(BootTime aNow)
{
  std::vector<const BudgetMember*> chosen;
  if (this->holders.empty()) {
    return chosen;
  }
  const BudgetMember& home = (*this->members)[this->holders.front()];
  if (this->MayAsk(home.name, aNow)) {
    chosen.push_back(&home);
    return chosen;
  }
  for (std::size_t i = 0; i < this->holders.size() && chosen.size() < kOthersAtOnce; ++i) {
    const std::size_t holder = this->holders[this->next % this->holders.size()];
    const BudgetMember& member = (*this->members)[holder];
    ++this->next;
    if (this->MayAsk(member.name, aNow)) {
      chosen.push_back(&member);
    }
  }
  return chosen;
}

bool
Lenders::Promising(BootTime aNow, BootTime aBy) const
{
  return std::any_of(this->holders.begin(), this->holders.end(), [&](std::size_t aHolder) {
    const std::string& name = (*this->members)[aHolder].name;
    return this->IsPending(name, aNow) || this->MayAsk(name, aBy);
  });
}

bool
Lenders::KnownShort() const
{
  return this->IsHome() || this->peers.contains(this->homeName);
}

void
Lenders::OnAsked(const PendingAsk& aAsk)
{
  this->pending.push_back(aAsk);
}

std::optional<PendingAsk>
Lenders::OnAnswer(std::uint64_t aAskId,
                  const std::string& aLender,
                  TokenThousandths aGranted,
                  BootTime aNow)
{
  const auto found =
    std::find_if(this->pending.begin(), this->pending.end(), [&](const PendingAsk& aAsk) {
      return aAsk.id == aAskId && aAsk.lender == aLender;
    });
  if (found == this->pending.end()) {
    return std::nullopt;
  }
  PendingAsk ask = std::move(*found);
  this->pending.erase(found);
  if (ask.renewedGrant == 0 && aGranted * 2 < ask.amount) {
    this->BackOff(aLender, aNow);
  } else if (ask.renewedGrant == 0) {
    this->peers.erase(aLender);
  }
  return ask;
}

void
Lenders::Expire(BootTime aNow, std::chrono::nanoseconds aValidity)
{
  for (const PendingAsk& ask : this->pending) {
    if (aNow - ask.askedAt >= this->borrowTimeout && this->MayAsk(ask.lender, aNow)) {
      this->BackOff(ask.lender, aNow);
    }
  }
  std::erase_if(this->pending,
                [&](const PendingAsk& aAsk) { return aNow - aAsk.askedAt >= aValidity; });
}

TokenThousandths
Lenders::Expected(BootTime aNow) const
{
  TokenThousandths sum = 0;
  for (const PendingAsk& ask : this->pending) {
    const bool underWay = aNow - ask.askedAt < this->borrowTimeout;
    sum += underWay && ask.renewedGrant == 0 ? ask.amount : 0;
  }
  return sum;
}

bool
Lenders::IsRenewing(std::uint64_t aGrant, const std::string& aLender, BootTime aNow) const
{
  return std::any_of(this->pending.begin(), this->pending.end(), [&](const PendingAsk& aAsk) {
    return aAsk.renewedGrant == aGrant && aAsk.lender == aLender &&
           aNow - aAsk.askedAt < this->borrowTimeout;
  });
}

bool
Lenders::MayAsk(const std::string& aName, BootTime aNow) const
{
  if (aName == this->self || this->IsPending(aName, aNow)) {
    return false;
  }
  const auto peer = this->peers.find(aName);
  return peer == this->peers.end() || peer->second.askAgainAt <= aNow;
}

bool
Lenders::IsPending(const std::string& aName, BootTime aNow) const
{
  return std::any_of(this->pending.begin(), this->pending.end(), [&](const PendingAsk& aAsk) {
    return aAsk.lender == aName && aAsk.renewedGrant == 0 &&
           aNow - aAsk.askedAt < this->borrowTimeout;
  });
}

void
Lenders::BackOff(const std::string& aName, BootTime aNow)
{
  const bool home = aName == this->homeName;
  const std::chrono::nanoseconds longest = home ? kLongestHomeBackoff : kLongestBackoff;
  Peer& peer = this->peers[aName];
  peer.backoff = std::clamp<std::chrono::nanoseconds>(peer.backoff * 2, kFirstBackoff, longest);
  peer.askAgainAt = aNow + peer.backoff;
}

} // namespace plantainhaven
