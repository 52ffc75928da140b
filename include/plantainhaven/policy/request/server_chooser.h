#pragma once

#include "plantainhaven/common/time.h"
#include "plantainhaven/policy/request/request_tables.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace plantainhaven {

// Result of one attempt at a server, as far as it affects the choice of servers.
enum class AttemptOutcome
{
  kCompleted, // The server sent a complete response.
  kShed,      // The server refused the request without running it.
  kFailed,    // No connection, or no complete response.
  kNotSent,   // The attempt was abandoned before anything was sent.
};

// Load that a server reports about itself.
struct LoadReport
{
  std::uint32_t inFlight = 0;
  bool draining = false;
  // Time since the server started; negative when the report doesn't contain it.
  std::chrono::nanoseconds uptime{ -1 };
};

struct ServerChooserOptions
{
  // Number of consecutive failures after which a server is ejected.
  std::uint32_t ejectAfter = 3;
  // Duration of the first ejection; doubled with each further failure up to the maximum.
  std::chrono::nanoseconds baseEjection{ std::chrono::seconds(1) };
  std::chrono::nanoseconds maxEjection{ std::chrono::seconds(15) };
  // For this long after shedding a request, a server is avoided while others are available.
  std::chrono::nanoseconds shedPause{ std::chrono::milliseconds(50) };
  // The weight of a load report falls linearly with its age and is zero from this age on.
  std::chrono::nanoseconds reportMaxAge{ std::chrono::seconds(2) };
  // How long a server counts as draining after it last reported that it drains.
  std::chrono::nanoseconds drainHold{ std::chrono::seconds(5) };
};

// Servers and failure domains of earlier attempts, which a retry avoids if possible.
struct AvoidedTargets
{
  std::vector<std::string> servers;
  std::vector<std::string> failureDomains;
};

// Chooses among the servers of a service in a region by the power of two choices. The load
// of a server is this VM's own requests in flight plus the reported load, weighted by the
// report's age. Supports slow start, ejects failing servers and skips draining ones. Not
// thread-safe; reads no clock.
class ServerChooser
{
public:
  explicit ServerChooser(ServerChooserOptions aOptions = {});
  ~ServerChooser();
  ServerChooser(const ServerChooser&) = delete;
  ServerChooser& operator=(const ServerChooser&) = delete;

  // Replaces the servers by those of a configuration and keeps the state of servers that
  // remain. A server that is added after the first call goes through slow start.
  void Update(const RequestTables& aTables, BootTime aNow);

  // Returns a server for one attempt, or null when none accepts new requests. Ejection
  // excludes at most half of the servers that aren't draining. A server in `aAvoided` is
  // returned only when there is no other.
  std::shared_ptr<const ServerEntry> Choose(std::string_view aService,
                                            std::string_view aRegion,
                                            const AvoidedTargets& aAvoided,
                                            BootTime aNow,
                                            std::mt19937_64& aRandom) const;
  // Records the start of an attempt. Each call must be followed by one OnAttemptEnd().
  void OnAttemptStart(const std::string& aServer);
  void OnAttemptEnd(const std::string& aServer, AttemptOutcome aOutcome, BootTime aNow);
  // Records the time until a complete response.
  void OnResponseTime(const std::string& aServer, std::chrono::nanoseconds aTime);
  // Returns the moving average of the response times, or zero before the first response.
  std::chrono::nanoseconds MeanResponseTime(const std::string& aServer) const;
  // Records a load report that was requested from the server at `aRequestedAt`.
  void OnReport(const std::string& aServer, const LoadReport& aReport, BootTime aRequestedAt);
  // Records that a load report is missing. Extends the ejection of an ejected server and has no
  // effect on others.
  void OnReportMissing(const std::string& aServer, BootTime aNow);
  // Records that a load probe couldn't connect. After several consecutive failures the
  // server is ejected, so that no request has to fail first.
  void OnUnreachable(const std::string& aServer, BootTime aNow);
  // Records a response that marks the server as draining.
  void OnDraining(const std::string& aServer, BootTime aNow);

  // Returns true when every server of the service in the region is draining or ejected.
  bool IsRegionUnavailable(std::string_view aService,
                           std::string_view aRegion,
                           BootTime aNow) const;
  // Returns true when the server is known and isn't draining.
  bool AcceptsNewRequests(const std::string& aServer, BootTime aNow) const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace plantainhaven
