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

// How one attempt at a server ended, as far as the choice of servers depends on it.
enum class AttemptOutcome
{
  kCompleted, // A whole answer came.
  kShed,      // The server refused before running.
  kFailed,    // No connection, or no whole answer.
  kNotSent,   // The attempt was given up before anything was sent.
};

// What a server said of itself.
struct LoadReport
{
  std::uint32_t inFlight = 0;
  bool draining = false;
  // Time since the server started; negative when it didn't say.
  std::chrono::nanoseconds uptime{ -1 };
};

struct ServerChooserOptions
{
  // Failures in a row after which a server is ejected.
  std::uint32_t ejectAfter = 3;
  // First ejection; doubled with each further failure up to the longest.
  std::chrono::nanoseconds ejection{ std::chrono::seconds(1) };
  std::chrono::nanoseconds longestEjection{ std::chrono::seconds(15) };
  // A server that shed gets nothing new for this long while others can take it.
  std::chrono::nanoseconds shedPause{ std::chrono::milliseconds(50) };
  // A report of this age counts for nothing; younger ones in proportion.
  std::chrono::nanoseconds reportLife{ std::chrono::seconds(2) };
  // A server that said it drains is asked again only after this long without word.
  std::chrono::nanoseconds drainMemory{ std::chrono::seconds(5) };
};

// What a retry should keep away from, if it can.
struct AvoidedTargets
{
  std::vector<std::string> servers;
  std::vector<std::string> failureDomains;
};

// Chooses among the servers of a service in a region: power of two choices over this
// VM's own requests in flight and the reported load discounted by its age, with slow
// start, ejection of failing servers and nothing for draining ones. Not thread-safe;
// reads no clock.
class ServerChooser
{
public:
  explicit ServerChooser(ServerChooserOptions aOptions = {});
  ~ServerChooser();
  ServerChooser(const ServerChooser&) = delete;
  ServerChooser& operator=(const ServerChooser&) = delete;

  // Takes the servers of a configuration; what is known of those that stay is kept. A
  // server that joins after the first call starts slowly.
  void Update(const RequestTables& aTables, BootTime aNow);

  // A server for one attempt, or null when none takes new requests. Never more than half
  // of the servers that don't drain are passed over because of ejection. A server to
  // be avoided is taken only when there is no other.
  std::shared_ptr<const ServerEntry> Choose(std::string_view aService,
                                            std::string_view aRegion,
                                            const AvoidedTargets& aAvoided,
                                            BootTime aNow,
                                            std::mt19937_64& aRandom) const;
  // An attempt begins; each is ended by one OnAttemptEnd.
  void OnAttemptStart(const std::string& aServer);
  void OnAttemptEnd(const std::string& aServer, AttemptOutcome aOutcome, BootTime aNow);
  // A whole answer took this long.
  void OnResponseTime(const std::string& aServer, std::chrono::nanoseconds aTime);
  // Recent mean of the answer times, zero when there was none.
  std::chrono::nanoseconds MeanResponseTime(const std::string& aServer) const;
  // The server told its load in answer to a question asked at `aAskedAt`.
  void OnReport(const std::string& aServer, const LoadReport& aReport, BootTime aAskedAt);
  // The server didn't tell its load: an ejected one stays ejected, for others nothing
  // changes.
  void OnReportMissing(const std::string& aServer, BootTime aNow);
  // A probe of the load found no connection at all: after several in a row the server is
  // ejected, before requests have to find out.
  void OnUnreachable(const std::string& aServer, BootTime aNow);
  // An answer said that the server drains.
  void OnDraining(const std::string& aServer, BootTime aNow);

  // True when every server of the service in the region is draining or ejected.
  bool IsRegionUnavailable(std::string_view aService,
                           std::string_view aRegion,
                           BootTime aNow) const;
  // True when the server may be given new requests now.
  bool AcceptsNewRequests(const std::string& aServer, BootTime aNow) const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace plantainhaven
