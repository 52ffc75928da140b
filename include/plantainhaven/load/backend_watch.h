#pragma once

#include "plantainhaven/load/analysis.h"
#include "plantainhaven/load/scenario.h"

#include <memory>
#include <vector>

#include "load.pb.h"

namespace plantainhaven {

// Reads the load of the backend servers again and again in a thread of its own, and
// drains one of them if the scenario says so. It sees the stand-ins' /load, so faults
// that make that endpoint lie also mislead this watch.
class BackendWatch
{
public:
  // `aScenario` must outlive the watch.
  explicit BackendWatch(const Scenario& aScenario);
  ~BackendWatch();
  BackendWatch(const BackendWatch&) = delete;
  BackendWatch& operator=(const BackendWatch&) = delete;

  // Begins to watch; the drain is timed from here.
  void Start();
  // Ends the thread.
  void Stop();
  // Adds the headroom of each region and the drain time to a report. Call after Stop().
  void Report(LoadReport& aReport) const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

// Reads the executions that the stand-ins counted and adds to the report how many
// requests that aren't idempotent ran more than once over all servers, and how many ran
// although their caller was told that they did not. Servers that don't answer are
// left out.
void
CompareExecutions(const Scenario& aScenario,
                  const std::vector<Sample>& aSamples,
                  LoadReport& aReport);

} // namespace plantainhaven
