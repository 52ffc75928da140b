#pragma once

#include "plantainhaven/policy/request/server_chooser.h"

#include <chrono>
#include <cstdint>
#include <memory>

namespace plantainhaven {

// What is known of one server. The options are those of its chooser.
class ServerState
{
public:
  // A `aWarming` server starts slowly from `aNow` on.
  ServerState(bool aWarming, BootTime aNow);

  bool IsDraining(BootTime aNow) const;
  bool IsEjected(BootTime aNow) const { return aNow < this->ejectedUntil; }
  BootTime EjectedUntil() const { return this->ejectedUntil; }
  bool HasJustShed(BootTime aNow) const { return aNow < this->shedUntil; }
  // Load relative to what the server can take; a request to be added counts already.
  double Score(const ServerChooserOptions& aOptions, BootTime aNow) const;

  void OnAttemptEnd(AttemptOutcome aOutcome, const ServerChooserOptions& aOptions, BootTime aNow);
  void OnResponseTime(std::chrono::nanoseconds aTime);
  void OnReport(const LoadReport& aReport, const ServerChooserOptions& aOptions, BootTime aAskedAt);
  void OnReportMissing(const ServerChooserOptions& aOptions, BootTime aNow);
  void OnUnreachable(const ServerChooserOptions& aOptions, BootTime aNow);
  void OnDraining(const ServerChooserOptions& aOptions, BootTime aNow);

  std::shared_ptr<const ServerEntry> entry;
  std::chrono::nanoseconds slowStart{ 0 };
  std::uint32_t inFlight = 0;
  std::chrono::nanoseconds usualTime{ 0 };

private:
  double SlowStartFactor(BootTime aNow) const;
  void OnFailure(const ServerChooserOptions& aOptions, BootTime aNow);
  void OnAnswer(const ServerChooserOptions& aOptions, BootTime aNow);

  bool warming;
  BootTime warmingSince;
  std::uint32_t failures = 0;
  // Probes in a row that found no connection.
  std::uint32_t failedProbes = 0;
  BootTime ejectedUntil{};
  BootTime shedUntil{};
  BootTime drainingUntil{};
  LoadReport report;
  BootTime reportedAt{};
  bool reported = false;
};

} // namespace plantainhaven
