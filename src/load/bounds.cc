#include "plantainhaven/common/settings.h"
#include "plantainhaven/load/analysis.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace plantainhaven {

namespace {

double
Percent(std::uint64_t aPart, std::uint64_t aWhole)
{
  return aWhole == 0 ? 0 : 100.0 * static_cast<double>(aPart) / static_cast<double>(aWhole);
}

// Lists the bound when the measured value is above it.
void
CheckBound(const char* aName,
           double aMeasured,
           double aBound,
           const char* aUnit,
           LoadReport& aReport)
{
  if (aMeasured <= aBound) {
    return;
  }
  std::array<char, 160> text{};
  std::snprintf(text.data(),
                text.size(),
                "%s: expected at most %.3f %s, measured %.3f %s",
                aName,
                aBound,
                aUnit,
                aMeasured,
                aUnit);
  aReport.add_broken_bounds(text.data());
}

using Milliseconds = std::chrono::duration<double, std::milli>;

void
CheckTime(const char* aName,
          Milliseconds aMeasured,
          const google::protobuf::Duration& aBound,
          LoadReport& aReport)
{
  const Milliseconds bound = ToChrono(aBound);
  CheckBound(aName, aMeasured.count(), bound.count(), "ms", aReport);
}

void
CheckLatencies(const LoadScenario::Bounds& aBounds, LoadReport& aReport)
{
  const LatencySummary latency = aReport.latency();
  if (aBounds.has_p50()) {
    CheckTime("bounds.p50", Milliseconds(latency.p50_ms()), aBounds.p50(), aReport);
  }
  if (aBounds.has_p99()) {
    CheckTime("bounds.p99", Milliseconds(latency.p99_ms()), aBounds.p99(), aReport);
  }
  if (aBounds.has_p999()) {
    CheckTime("bounds.p999", Milliseconds(latency.p999_ms()), aBounds.p999(), aReport);
  }
}

void
CheckDrain(const Scenario& aScenario, LoadReport& aReport)
{
  const LoadScenario::Bounds& bounds = aScenario.settings.bounds();
  if (!bounds.has_drain() || aScenario.settings.drain().server().empty()) {
    return;
  }
  if (!aReport.drained()) {
    aReport.add_broken_bounds("bounds.drain: the server was not drained before the end");
    return;
  }
  CheckTime("bounds.drain", Milliseconds(aReport.drain_ms()), bounds.drain(), aReport);
}

void
CheckRegions(double aBound, LoadReport& aReport)
{
  if (aBound <= 0) {
    return;
  }
  const auto regions = aReport.regions();
  for (const RegionReport& region : regions) {
    const std::string name = "bounds.region_load_percent of " + region.region();
    const double load = 100.0 - region.least_headroom_percent();
    CheckBound(name.c_str(), load, aBound, "%", aReport);
  }
}

void
CheckExecutions(LoadReport& aReport)
{
  const ExecutionReport executions = aReport.executions();
  if (executions.more_than_once() > 0) {
    aReport.add_broken_bounds("executions: expected each request that isn't idempotent to run at "
                              "most once, found " +
                              std::to_string(executions.more_than_once()) + " that ran more often");
  }
  if (executions.ran_after_not_run() > 0) {
    aReport.add_broken_bounds("executions: expected no refused request to run, found " +
                              std::to_string(executions.ran_after_not_run()));
  }
}

} // namespace

void
CheckBounds(const Scenario& aScenario, LoadReport& aReport)
{
  const LoadScenario::Bounds& bounds = aScenario.settings.bounds();
  aReport.clear_broken_bounds();
  CheckLatencies(bounds, aReport);
  CheckBound("bounds.refused_wrongly_percent",
             Percent(aReport.refused_wrongly(), aReport.sent()),
             bounds.refused_wrongly_percent(),
             "%",
             aReport);
  CheckBound("bounds.failed_percent",
             Percent(aReport.failed(), aReport.sent()),
             bounds.failed_percent(),
             "%",
             aReport);
  if (bounds.worst_to_best() > 0) {
    CheckBound(
      "bounds.worst_to_best", aReport.worst_to_best(), bounds.worst_to_best(), "times", aReport);
  }
  CheckRegions(bounds.region_load_percent(), aReport);
  CheckDrain(aScenario, aReport);
  CheckExecutions(aReport);
}

} // namespace plantainhaven
