#include "plantainhaven/policy/placing/relay_chooser.h"

#include <algorithm>
#include <utility>

namespace plantainhaven::placing {
namespace {

// A VM that rejects requests is at its limit or stops; both show in its next reports.
constexpr std::chrono::milliseconds kRejectionPause{ 500 };

} // namespace

RelayChooser::RelayChooser(std::string aRegion)
  : region(std::move(aRegion))
{
}

void
RelayChooser::SetRelays(std::vector<RelayVm> aRelays)
{
  this->relays = std::move(aRelays);
  std::erase_if(this->pausedUntil,
                [this](const auto& aEntry) { return !this->IsKnown(aEntry.first); });
}

int
RelayChooser::Preference(const RelayVm& aRelay, const RelayTarget& aTarget) const
{
  if (aRelay.region == this->region) {
    return 0;
  }
  return aRelay.region == aTarget.region ? 1 : 2;
}

unsigned
RelayChooser::LoadOf(const RelayVm& aRelay) const
{
  const auto own = this->inFlight.find(aRelay.name);
  return std::max(aRelay.requests, own == this->inFlight.end() ? 0U : own->second);
}

std::optional<RelayVm>
RelayChooser::Choose(const RelayTarget& aTarget,
                     const AllowedRegions& aAllowed,
                     std::mt19937_64& aRandom,
                     BootTime aNow) const
{
  std::vector<const RelayVm*> candidates;
  int best = 0;
  for (const RelayVm& relay : this->relays) {
    const auto paused = this->pausedUntil.find(relay.name);
    const bool isPaused = paused != this->pausedUntil.end() && aNow < paused->second;
    if (isPaused || !aAllowed.Allows(relay.region) ||
        relay.lostDomains.contains(aTarget.failureDomain)) {
      continue;
    }
    const int preference = this->Preference(relay, aTarget);
    if (candidates.empty() || preference < best) {
      candidates.clear();
      best = preference;
    }
    if (preference == best) {
      candidates.push_back(&relay);
    }
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  std::uniform_int_distribution<std::size_t> pick(0, candidates.size() - 1);
  const RelayVm& one = *candidates[pick(aRandom)];
  const RelayVm& other = *candidates[pick(aRandom)];
  return this->LoadOf(one) <= this->LoadOf(other) ? one : other;
}

bool
RelayChooser::HasPath(const std::string& aDomain) const
{
  return std::any_of(this->relays.begin(), this->relays.end(), [&aDomain](const RelayVm& aRelay) {
    return !aRelay.lostDomains.contains(aDomain);
  });
}

bool
RelayChooser::IsKnown(const std::string& aVm) const
{
  return std::any_of(this->relays.begin(), this->relays.end(), [&aVm](const RelayVm& aRelay) {
    return aRelay.name == aVm;
  });
}

void
RelayChooser::OnSent(const std::string& aVm)
{
  ++this->inFlight[aVm];
}

void
RelayChooser::OnEnded(const std::string& aVm)
{
  const auto found = this->inFlight.find(aVm);
  if (found != this->inFlight.end() && --found->second == 0) {
    this->inFlight.erase(found);
  }
}

void
RelayChooser::OnRejected(const std::string& aVm, BootTime aNow)
{
  this->pausedUntil[aVm] = aNow + kRejectionPause;
}

} // namespace plantainhaven::placing
