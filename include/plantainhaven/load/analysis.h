#pragma once

#include "plantainhaven/load/scenario.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "load.pb.h"

namespace plantainhaven {

// How one request ended, as its caller sees it.
enum class Outcome
{
  kAnswered, // The route's own answer, whatever its status.
  kRefused,  // Refused with the statement that it did not run.
  kFailed,   // Anything else: no answer, a broken one, or an error of unknown outcome.
};

// One request that a caller made, retries included.
struct Sample
{
  // Intended start, counted from the start of the run.
  std::chrono::nanoseconds start{ 0 };
  // When it was really sent, on the same scale.
  std::chrono::nanoseconds sent{ 0 };
  // From the intended start to the end.
  std::chrono::nanoseconds latency{ 0 };
  std::size_t account = 0;
  std::size_t request = 0;
  Outcome outcome = Outcome::kFailed;
  // Why it was refused or failed, for example "rate"; empty when answered.
  std::string reason = {};
  // Connections that ended below this request while it was in flight.
  std::uint32_t cuts = 0;
  // Id given to the request; the executions of backend stand-ins are counted by it.
  std::string id = {};
};

// Value at a quantile of sorted latencies, 0 when there are none. Takes the nearest
// rank, so that the result is one of the samples.
std::chrono::nanoseconds
Quantile(const std::vector<std::chrono::nanoseconds>& aSorted, double aQuantile);

// Summary of latencies in any order.
LatencySummary
Summarize(std::vector<std::chrono::nanoseconds> aLatencies);

// For each sample, true when a token bucket of its account's rate and burst, fed with
// every request that the account sent, admits it. `aSamples` is in order of sending.
std::vector<bool>
FindInside(const Scenario& aScenario, const std::vector<Sample>& aSamples);

// Turns the samples of a run into its report: counts, latencies, accounts, reasons and
// timeline. Samples that start within the warm-up are left out of all but the token
// buckets and the timeline. Regions, drain, executions and bounds are added by others.
LoadReport
Analyze(const Scenario& aScenario, std::vector<Sample> aSamples);

// Compares the report with the scenario's bounds and lists those that did not hold.
void
CheckBounds(const Scenario& aScenario, LoadReport& aReport);

} // namespace plantainhaven
