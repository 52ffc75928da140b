#include "plantainhaven/policy/placing/fleet_roster.h"

namespace plantainhaven::placing {

void
FleetRoster::OnListed(const std::string& aName, const std::string& aRegion, BootTime aNow)
{
  const auto [entry, isNew] = this->entries.try_emplace(aName);
  if (isNew) {
    entry->second.seenAt = aNow;
  }
  entry->second.region = aRegion;
}

void
FleetRoster::OnHeard(const std::string& aName, const std::string& aRegion, BootTime aNow)
{
  this->entries[aName] = { aRegion, aNow, true, false };
}

bool
FleetRoster::HearsMajority(BootTime aNow) const
{
  // This VM counts as one that is heard, but alone it can't tell a partition from the loss of the
  // others.
  std::size_t known = 1;
  std::size_t heard = 1;
  for (const auto& [name, entry] : this->entries) {
    if (entry.wasHeard && !entry.isRemoved) {
      ++known;
      heard += aNow - entry.seenAt < kHeardFor ? 1 : 0;
    }
  }
  return heard > 1 && 2 * heard > known;
}

std::vector<PlacingPeer>
FleetRoster::Members(BootTime aNow)
{
  const bool hearsMajority = this->HearsMajority(aNow);
  std::vector<PlacingPeer> members;
  for (auto& [name, entry] : this->entries) {
    const bool isSilent = aNow - entry.seenAt >= kRemovalDelay;
    entry.isRemoved = entry.isRemoved || (isSilent && hearsMajority);
    if (!entry.isRemoved) {
      members.push_back({ name, entry.region });
    }
  }
  return members;
}

} // namespace plantainhaven::placing
