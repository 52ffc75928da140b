#pragma once

#include "plantainhaven/load/analysis.h"
#include "plantainhaven/load/scenario.h"

#include <functional>
#include <optional>
#include <vector>

#include "load.pb.h"

namespace plantainhaven {

struct RunOptions
{
  // Send everything to this endpoint instead of asking for look-ups.
  std::optional<Endpoint> direct;
  // Called once a second with what happened since the last call.
  std::function<void(const SecondReport&)> progress;
  // Polled many times a second; true ends the run early.
  std::function<bool()> stop;
};

// Plays a scenario to its end and returns the report, bounds checked.
LoadReport
RunScenario(const Scenario& aScenario, const RunOptions& aOptions);

} // namespace plantainhaven
