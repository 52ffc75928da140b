#pragma once

#include "plantainhaven/policy/request/server_chooser.h"

#include <chrono>
#include <cstdint>
#include <memory>

namespace plantainhaven {

// State of one server. All `aOptions` arguments are the options of its ServerChooser.
class ServerState
{
public:
  // With `aWarming`, slow start begins at `aNow`.
  ServerState(bool aWarming, BootTime aNow);

  bool IsDraining(BootTime aNow) const;
  bool IsEjected(BootTime aNow) const { return aNow < this->ejectedUntil; }
  BootTime EjectedUntil() const { return this->ejectedUntil; }
  bool HasJustShed(BootTime aNow) const { return aNow < this->shedUntil; }
  // Returns the load relative to the capacity, including the request to be added. A
  // value above 1 exceeds the capacity.
  double Score(const ServerChooserOptions& aOptions, BootTime aNow) const;

  void OnAttemptEnd(AttemptOutcome aOutcome, const ServerChooserOptions& aOptions, BootTime aNow);
  void OnResponseTime(std::chrono::nanoseconds aTime);
  void OnReport(const LoadReport& aReport,
                const ServerChooserOptions& aOptions,
                BootTime aRequestedAt);
  void OnReportMissing(const ServerChooserOptions& aOptions, BootTime aNow);
  void OnUnreachable(const ServerChooserOptions& aOptions, BootTime aNow);
  void OnDraining(const ServerChooserOptions& aOptions, BootTime aNow);

  std::shared_ptr<const ServerEntry> entry;
  std::chrono::nanoseconds slowStart{ 0 };
  std::uint32_t inFlight = 0;
  std::chrono::nanoseconds meanResponseTime{ 0 };

private:
  double SlowStartFactor(BootTime aNow) const;
  void OnFailure(const ServerChooserOptions& aOptions, BootTime aNow);
  void OnResponse(const ServerChooserOptions& aOptions, BootTime aNow);

  bool warming;
  BootTime warmingSince;
  std::uint32_t failures = 0;
  // Consecutive probes that couldn't connect.
  std::uint32_t failedProbes = 0;
  BootTime ejectedUntil{};
  BootTime shedUntil{};
  BootTime drainingUntil{};
  LoadReport report;
  BootTime reportedAt{};
  bool reported = false;
};

} // namespace plantainhaven
