#pragma once

#include "plantainhaven/common/time.h"
#include "plantainhaven/policy/placing/routing.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace plantainhaven::placing {

// The backend servers that may exist, according to their reports in the store. During an outage
// of the store reports expire although their servers are running. A server whose report is
// missing after an outage is therefore kept until it has had time to report again. The store may
// also be restored from an older copy; old reports in it don't bring back a server that drains
// or has left. Not thread-safe; reads no clock.
class ServerRegistry
{
public:
  // Running servers report again within two seconds after the store is available again.
  static constexpr std::chrono::milliseconds kReportGracePeriod{ 2100 };
  // Reports in an older copy of the store expire within three heartbeat intervals. The rest is
  // time for the next read.
  static constexpr std::chrono::milliseconds kStaleCopyPeriod{ 6000 };

  // Starts a full read of the reports. Reports that aren't passed to OnReport() afterwards are
  // missing.
  void BeginRead();
  void OnReport(const BackendServer& aServer);
  void OnRemoved(const std::string& aId);
  // Records that a server's report can't be parsed; the server is dropped.
  void OnUnreadable(const std::string& aId);
  // Records that the store responds to this VM again after an interruption.
  void OnStoreReachable(BootTime aNow);
  // Records that the store was restored from an older copy. For kStaleCopyPeriod, outdated
  // reports are held back: those of an earlier process, those from before a server's drain, and
  // those of a process that has left.
  void OnStoreRolledBack(BootTime aNow);

  // Returns the current report of a server; null if there is none.
  const BackendServer* Find(const std::string& aId) const;
  // Returns the servers if they have changed since the last call. `aStoreStayedUp` says that
  // another VM could reach the store throughout, so that no report expired in an outage.
  std::optional<std::vector<BackendServer>> TakeChanges(bool aStoreStayedUp, BootTime aNow);

private:
  // Identifies the newest report of a process that has left.
  struct Departure
  {
    std::chrono::sys_time<std::chrono::milliseconds> startedAt{};
    std::int64_t reportNumber = 0;
  };
  static constexpr std::size_t kMaxDepartures = 4096;

  bool IsOutdated(const BackendServer& aServer) const;
  void RecordDepartures();
  void AcceptHeldReports();

  std::map<std::string, BackendServer> reported;
  std::map<std::string, BackendServer> missing;
  std::map<std::string, Departure> departed;
  // Outdated reports, held back while the store may show an older copy.
  std::map<std::string, BackendServer> heldReports;
  BootTime staleCopyUntil{};
  bool isStaleCopy = false;
  BootTime keepMissingUntil{};
  bool isChanged = false;
};

} // namespace plantainhaven::placing
