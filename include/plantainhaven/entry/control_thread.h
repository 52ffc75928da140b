#pragma once

#include "plantainhaven/entry/backend_pool.h"
#include "plantainhaven/entry/budget_service.h"
#include "plantainhaven/entry/steering.h"
#include "plantainhaven/entry/view_state.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>

#include "local.pb.h"

namespace plantainhaven {

// Asks plantain-controld and waits for its answer; nothing when none came.
using ControlAsk = std::function<std::optional<ViewAnswer>(const ViewAsk&)>;

// What the budgets need of the configuration and the view; BudgetService in the program.
struct BudgetUpdates
{
  std::function<void(const BudgetConfiguration&, BootTime)> configuration;
  std::function<void(const BudgetView&, BootTime)> view;
  std::function<bool(BootTime)> established;
};

// What the control thread keeps up to date; all of it outlives the thread.
struct ControlTargets
{
  ViewState& view;
  Steering& steering;
  BackendPool& pool;
  BudgetUpdates budgets;
};

// The one thread of plantain-entryd that holds control state: it follows the
// configuration and its freshness from plantain-controld, publishes tables for the
// traffic threads, feeds the budgets and moves the shifts. While plantain-controld is
// silent the last freshness stands and runs out by itself.
class ControlThread
{
public:
  ControlThread(ControlAsk aAsk, std::chrono::milliseconds aInterval, ControlTargets aTargets);
  // Stops.
  ~ControlThread();
  ControlThread(const ControlThread&) = delete;
  ControlThread& operator=(const ControlThread&) = delete;

  void Start();
  void Stop();
  // From now on plantain-controld is told that this process leaves.
  void SetLeaving();
  // One round: ask, apply, publish. For tests that don't call Start().
  void RunOnce(BootTime aNow);

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

// The budgets and members of a configuration.
BudgetConfiguration
BudgetsOf(const Configuration& aConfiguration);

} // namespace plantainhaven
