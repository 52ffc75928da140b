#include "plantainhaven/policy/placing/path_monitor.h"

#include <algorithm>

namespace plantainhaven::placing {
namespace {

using Milliseconds = std::chrono::duration<double, std::milli>;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kFailedServers = 2;
// A server that refuses connections may have ended while its machine is reachable, so more of them
// must refuse; from the second one on, others are probed.
constexpr std::size_t kRefusingServers = 5;
// Time without a response after which requests in flight make a path doubtful: a multiple of the
// mean time between two responses, within these bounds.
constexpr double kQuietGaps = 6;
constexpr milliseconds kMinQuietTime{ 200 };
constexpr milliseconds kMaxQuietTime{ 2000 };
// Weight of the newest sample in the mean time between two responses.
constexpr double kGapWeight = 0.1;
// Interval between probes of a path that is lost or doubtful. It doubles with each probe, since a
// path that is doubtful but works often belongs to slow requests.
constexpr milliseconds kMinProbeInterval{ 250 };
constexpr milliseconds kMaxLostProbeInterval{ 1000 };
constexpr milliseconds kMaxProbeInterval{ 8000 };
// While another path is lost, a path without a sign of life for this long is probed.
constexpr milliseconds kSignOfLifeTime{ 300 };
// Losses of a path within this time of one another raise the number of connections that must
// succeed before it is used again.
constexpr seconds kLossMemory{ 30 };
constexpr int kMaxSuccessesNeeded = 8;

} // namespace

void
PathMonitor::OnConnected(const std::string& aDomain, BootTime aStartedAt, BootTime aNow)
{
  Path& path = this->paths[aDomain];
  path.connectedAt = std::max(path.connectedAt, aStartedAt);
  path.respondedAt = aNow;
  if (!path.isLost) {
    path.failed.clear();
    return;
  }
  if (aStartedAt < path.lostAt || ++path.successes < path.successesNeeded) {
    return;
  }
  path.isLost = false;
  path.isSilent = false;
  path.failed.clear();
  path.quietSince = aNow;
  path.probeInterval = kMinProbeInterval;
}

bool
PathMonitor::OnConnectFailed(const std::string& aDomain,
                             const std::string& aServer,
                             ConnectFailure aFailure,
                             std::size_t aServerCount,
                             BootTime aStartedAt,
                             BootTime aNow)
{
  Path& path = this->paths[aDomain];
  if (path.isLost) {
    // A server that has refused all along doesn't show that the path is still lost.
    if (path.failed.insert(aServer).second || aFailure == ConnectFailure::kSilent) {
      path.successes = 0;
    }
    path.isSilent = path.isSilent || aFailure == ConnectFailure::kSilent;
    return false;
  }
  if (aStartedAt < path.connectedAt) {
    return false;
  }
  path.failed.insert(aServer);
  const std::size_t needed =
    aFailure == ConnectFailure::kRefused ? kRefusingServers : kFailedServers;
  if (path.failed.size() < std::min(needed, aServerCount)) {
    return false;
  }
  const bool isRecurrence = path.lostAt != BootTime{} && aNow - path.lostAt < kLossMemory;
  path.successesNeeded = isRecurrence ? std::min(kMaxSuccessesNeeded, path.successesNeeded * 2) : 1;
  path.isLost = true;
  path.isSilent = aFailure == ConnectFailure::kSilent;
  path.lostAt = aNow;
  path.successes = 0;
  path.probeInterval = kMinProbeInterval;
  path.probedAt = aNow;
  return true;
}

void
PathMonitor::OnSent(const std::string& aDomain, BootTime aNow)
{
  Path& path = this->paths[aDomain];
  if (path.inFlight++ == 0) {
    path.quietSince = aNow;
  }
}

void
PathMonitor::OnResponse(const std::string& aDomain, BootTime aNow)
{
  Path& path = this->paths[aDomain];
  const double gap = std::clamp(
    Milliseconds(aNow - path.quietSince).count(), 0.0, Milliseconds(kMaxQuietTime).count());
  path.responseGap += (path.responseGap > 0 ? kGapWeight : 1.0) * (gap - path.responseGap);
  path.quietSince = aNow;
  path.respondedAt = aNow;
  if (!path.isLost) {
    path.probeInterval = kMinProbeInterval;
  }
}

void
PathMonitor::OnEnded(const std::string& aDomain)
{
  const auto found = this->paths.find(aDomain);
  if (found != this->paths.end()) {
    found->second.inFlight = std::max(0, found->second.inFlight - 1);
  }
}

bool
PathMonitor::IsLost(const std::string& aDomain) const
{
  const auto found = this->paths.find(aDomain);
  return found != this->paths.end() && found->second.isLost;
}

bool
PathMonitor::IsSilent(const std::string& aDomain) const
{
  const auto found = this->paths.find(aDomain);
  return found != this->paths.end() && found->second.isSilent;
}

bool
PathMonitor::IsDoubtful(const std::string& aDomain, BootTime aNow) const
{
  const auto found = this->paths.find(aDomain);
  return found != this->paths.end() && IsQuiet(found->second, aNow);
}

std::set<std::string>
PathMonitor::LostDomains() const
{
  std::set<std::string> lost;
  for (const auto& [domain, path] : this->paths) {
    if (path.isLost) {
      lost.insert(domain);
    }
  }
  return lost;
}

bool
PathMonitor::IsAnyLost() const
{
  return std::any_of(this->paths.begin(), this->paths.end(), [](const auto& aEntry) {
    return aEntry.second.isLost;
  });
}

bool
PathMonitor::IsQuiet(const Path& aPath, BootTime aNow)
{
  const Milliseconds patience = std::clamp(Milliseconds(aPath.responseGap * kQuietGaps),
                                           Milliseconds(kMinQuietTime),
                                           Milliseconds(kMaxQuietTime));
  return aPath.inFlight > 0 && aNow - aPath.quietSince > patience;
}

bool
PathMonitor::IsProbeDue(const Path& aPath, bool aIsAnyLost, BootTime aNow)
{
  if (aNow - aPath.probedAt < aPath.probeInterval) {
    return false;
  }
  const bool isUnconfirmed = aIsAnyLost && aNow - aPath.respondedAt > kSignOfLifeTime;
  return aPath.isLost || isUnconfirmed || IsQuiet(aPath, aNow) ||
         aPath.failed.size() >= kFailedServers;
}

std::vector<PathProbe>
PathMonitor::TakeDueProbes(BootTime aNow)
{
  std::vector<PathProbe> due;
  const bool isAnyLost = this->IsAnyLost();
  for (auto& [domain, path] : this->paths) {
    if (!IsProbeDue(path, isAnyLost, aNow)) {
      continue;
    }
    const bool isRefused = !path.isLost && path.failed.size() >= kFailedServers;
    due.push_back({ domain, path.isLost ? 1 : isRefused ? kRefusingServers : kFailedServers });
    path.probedAt = aNow;
    const milliseconds longest = path.isLost ? kMaxLostProbeInterval : kMaxProbeInterval;
    path.probeInterval = std::clamp(path.probeInterval * 2, kMinProbeInterval, longest);
  }
  return due;
}

void
PathMonitor::KeepOnly(const std::set<std::string>& aDomains)
{
  std::erase_if(this->paths,
                [&aDomains](const auto& aEntry) { return !aDomains.contains(aEntry.first); });
}

} // namespace plantainhaven::placing
