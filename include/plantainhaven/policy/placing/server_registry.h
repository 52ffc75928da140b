#pragma once

#include "plantainhaven/common/time.h"
#include "plantainhaven/policy/placing/routing.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace plantainhaven::placing {

// The backend servers that may exist, from what they report to the store. Reports lapse
// while the store is away although their servers live, so a server whose report goes missing
// over such a time is kept until it had time to report again. The store may come back from an
// older copy; reports that it shows again don't bring back a server that drains or has left. Not
// thread-safe; reads no clock.
class ServerRegistry
{
public:
  // Servers that live report again within two seconds of the store's return.
  static constexpr std::chrono::milliseconds kReportGracePeriod{ 2100 };
  // Reports in an older copy of the store lapse within three usual heartbeats and some time
  // for the next read.
  static constexpr std::chrono::milliseconds kStaleCopyPeriod{ 6000 };

  // All reports are about to be told again; those that aren't have gone.
  void BeginRead();
  void OnReport(const BackendServer& aServer);
  void OnRemoved(const std::string& aId);
  // What stands there names no server to use.
  void OnUnreadable(const std::string& aId);
  // The store answers this VM again after a time without answers.
  void OnStoreReachable(BootTime aNow);
  // The store has come back from an older copy. For kStaleCopyPeriod a report that is older than
  // one of the same process is held back.
  void OnStoreRolledBack(BootTime aNow);

  // The report that is known of a server; null when there is none.
  const BackendServer* Find(const std::string& aId) const;
  // The servers, if they have changed since the last call. `aStoreStayedUp` tells that
  // another VM had answers from the store all along, so that no report lapsed.
  std::optional<std::vector<BackendServer>> TakeChanges(bool aStoreStayedUp, BootTime aNow);

private:
  // The newest report of a process that has left.
  struct Departure
  {
    std::chrono::sys_time<std::chrono::milliseconds> startedAt{};
    std::int64_t reportNumber = 0;
  };
  static constexpr std::size_t kMostDepartures = 4096;

  bool IsOutdated(const BackendServer& aServer) const;
  void RecordDepartures();
  void TrustCopy();

  std::map<std::string, BackendServer> reported;
  std::map<std::string, BackendServer> missing;
  std::map<std::string, Departure> departed;
  // Reports held back while the store's copy isn't trusted.
  std::map<std::string, BackendServer> held;
  BootTime copyUntil{};
  bool isCopy = false;
  BootTime keepMissingUntil{};
  bool isChanged = false;
};

} // namespace plantainhaven::placing
