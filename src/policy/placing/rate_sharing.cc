#include "plantainhaven/policy/placing/rate_sharing.h"

#include "plantainhaven/policy/placing/rendezvous.h"

#include <algorithm>

namespace plantainhaven::placing {
namespace {

// Servers come and go while the VMs stay the same.
constexpr std::size_t kMaxCachedPositions = 4096;

} // namespace

RateSharing::RateSharing(std::string_view aSelf, std::string_view aRegion)
  : self{ StableHash(aSelf), std::string(aRegion) }
{
  this->SetVms({});
}

void
RateSharing::SetVms(const std::vector<PlacingPeer>& aVms)
{
  std::vector<Vm> next{ this->self };
  next.reserve(aVms.size() + 1);
  for (const PlacingPeer& vm : aVms) {
    const std::uint64_t hash = StableHash(vm.name);
    if (hash != this->self.hash) {
      next.push_back({ hash, vm.region });
    }
  }
  if (next == this->vms) {
    return;
  }
  this->vms = std::move(next);
  this->positions.clear();
  this->countByRegion.clear();
  for (const Vm& vm : this->vms) {
    ++this->countByRegion[vm.region];
  }
}

std::size_t
RateSharing::SenderCount(const std::string& aRegion, std::size_t aMaxSenders) const
{
  const auto local = this->countByRegion.find(aRegion);
  const std::size_t eligible =
    local == this->countByRegion.end() ? this->vms.size() : local->second;
  return std::min(eligible, aMaxSenders);
}

double
RateSharing::FractionOf(std::uint64_t aServer, const std::string& aRegion, std::size_t aMaxSenders)
{
  const std::size_t senders = this->SenderCount(aRegion, aMaxSenders);
  return this->PositionOf(aServer, aRegion) < senders ? 1.0 / static_cast<double>(senders) : 0;
}

std::size_t
RateSharing::PositionOf(std::uint64_t aServer, const std::string& aRegion)
{
  if (this->positions.size() >= kMaxCachedPositions) {
    this->positions.clear();
  }
  const auto [known, isNew] = this->positions.try_emplace(aServer, 0);
  if (isNew) {
    const bool isLocal = this->self.region == aRegion;
    const std::uint64_t ownRank = RendezvousRank(aServer, this->self.hash);
    known->second = static_cast<std::size_t>(
      std::count_if(this->vms.begin(), this->vms.end(), [&](const Vm& aVm) {
        const bool isVmLocal = aVm.region == aRegion;
        return isVmLocal == isLocal ? RendezvousRank(aServer, aVm.hash) > ownRank : isVmLocal;
      }));
  }
  return known->second;
}

} // namespace plantainhaven::placing
