#pragma once

#include "plantainhaven/common/time.h"
#include "plantainhaven/policy/request/retry_rule.h"
#include "plantainhaven/policy/request/server_chooser.h"
#include "plantainhaven/policy/request/shift_tracker.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace plantainhaven {

struct SteeringOptions
{
  std::string ownRegion;
  std::uint64_t seed = 0;
  ServerChooserOptions chooser = {};
  RetryBudgetOptions retries = {};
  std::chrono::nanoseconds startWait{ std::chrono::seconds(2) };
};

// Regions for one request in the order in which they are to be tried.
struct RegionPlan
{
  RegionChoice::Kind kind = RegionChoice::Kind::kNearest;
  std::vector<std::string> regions;
  // True when the drawn region is lost, so that its part of the traffic must wait for the
  // shift.
  bool lost = false;
};

// The steering decisions of one plantain-entryd: servers, regions, shifts and retry
// budgets behind one lock. Safe for several threads.
class Steering
{
public:
  explicit Steering(SteeringOptions aOptions);
  ~Steering();
  Steering(const Steering&) = delete;
  Steering& operator=(const Steering&) = delete;

  // --- From the control thread -----------------------------------------------

  void Update(const RequestTables& aTables, BootTime aNow);
  void OnPeerPositions(const std::vector<ServiceSplit>& aPositions, bool aPeers, BootTime aNow);
  // Moves the shifts; call it at least every few hundred milliseconds.
  void Advance(BootTime aNow);
  std::vector<ServiceSplit> Positions() const;

  // --- From the load poller --------------------------------------------------

  void OnReport(const std::string& aServer, const LoadReport& aReport, BootTime aAskedAt);
  void OnReportMissing(const std::string& aServer, BootTime aNow);
  void OnUnreachable(const std::string& aServer, BootTime aNow);

  // --- From traffic ----------------------------------------------------------

  // Regions for a new request of a service; counts it for the retry budget.
  RegionPlan Plan(const ServiceEntry& aService, BootTime aNow);
  // Chooses a server and counts the attempt as begun; null when there is none. Each
  // server given must be handed to End().
  std::shared_ptr<const ServerEntry> Begin(const std::string& aService,
                                           const std::string& aRegion,
                                           const AvoidedTargets& aAvoided,
                                           BootTime aNow);
  void End(const ServerEntry& aServer, AttemptOutcome aOutcome, BootTime aNow);
  // A whole answer took this long; and how long they take in the mean.
  void OnAnswerTime(const ServerEntry& aServer, std::chrono::nanoseconds aTime);
  std::chrono::nanoseconds UsualAnswerTime(const ServerEntry& aServer) const;
  void OnDraining(const ServerEntry& aServer, BootTime aNow);
  // True when the server may still be given new work.
  bool TakesNew(const ServerEntry& aServer, BootTime aNow) const;
  // Takes a retry from the service's budget.
  bool TryRetry(const std::string& aService, BootTime aNow);

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace plantainhaven
