#pragma once

#include "plantainhaven/common/time.h"

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace plantainhaven::placing {

// Attempts to open connections that are due to find out whether a path works.
struct PathProbe
{
  std::string failureDomain;
  // Number of servers to try.
  std::size_t count = 1;
};

// Why no connection to a backend server could be opened.
enum class ConnectFailure
{
  kRefused, // Something answered, so connections that are open may still work.
  kSilent,  // Nothing answered in time.
};

// Detects for each failure domain of backend servers whether this VM has a path to it. A server to
// which no connection can be opened may have ended. Two of them, while a connection to none of the
// domain's servers succeeds, mean that the path is lost. A path that works again is used after
// several connections have succeeded in a row; the number grows with the number of recent losses.
// Not thread-safe; reads no clock.
class PathMonitor
{
public:
  // Records that a connection whose opening began at `aStartedAt` was established.
  void OnConnected(const std::string& aDomain, BootTime aStartedAt, BootTime aNow);
  // Records that no connection to the server could be opened. `aServerCount` is the number of
  // servers that are known in the domain. Returns true when this shows that the path is lost.
  bool OnConnectFailed(const std::string& aDomain,
                       const std::string& aServer,
                       ConnectFailure aFailure,
                       std::size_t aServerCount,
                       BootTime aStartedAt,
                       BootTime aNow);
  // Records that a request was sent, that its response has arrived, and that its attempt has
  // ended, with or without a response.
  void OnSent(const std::string& aDomain, BootTime aNow);
  void OnResponse(const std::string& aDomain, BootTime aNow);
  void OnEnded(const std::string& aDomain);

  bool IsLost(const std::string& aDomain) const;
  // The path is lost, and connections that were open before carry nothing either.
  bool IsSilent(const std::string& aDomain) const;
  // Requests are in flight and have had no response for much longer than usual.
  bool IsDoubtful(const std::string& aDomain, BootTime aNow) const;
  std::set<std::string> LostDomains() const;
  // Returns the probes that are due, and records that they begin: in lost domains, in those where
  // requests get no response, and in those without a recent sign of life while another is lost.
  std::vector<PathProbe> TakeDueProbes(BootTime aNow);
  // Forgets all domains but these.
  void KeepOnly(const std::set<std::string>& aDomains);

private:
  struct Path
  {
    bool isLost = false;
    bool isSilent = false;
    // Servers to which no connection could be opened since the last one that could.
    std::set<std::string> failed;
    BootTime connectedAt{};
    BootTime lostAt{};
    // Connections opened since the loss, and those that end it.
    int successes = 0;
    int successesNeeded = 1;
    int inFlight = 0;
    BootTime respondedAt{};
    // Since then requests are in flight and no response has arrived.
    BootTime quietSince{};
    // Moving average of the time between two responses, in milliseconds.
    double responseGap = 0;
    BootTime probedAt{};
    std::chrono::milliseconds probeInterval{ 0 };
  };

  bool IsAnyLost() const;
  static bool IsQuiet(const Path& aPath, BootTime aNow);
  static bool IsProbeDue(const Path& aPath, bool aIsAnyLost, BootTime aNow);

  std::map<std::string, Path> paths;
};

} // namespace plantainhaven::placing
