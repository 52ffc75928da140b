#pragma once

#include "plantainhaven/common/metrics.h"
#include "plantainhaven/entry/backend_pool.h"
#include "plantainhaven/entry/budget_gate.h"
#include "plantainhaven/entry/claim_store.h"
#include "plantainhaven/entry/link_charges.h"
#include "plantainhaven/entry/steering.h"
#include "plantainhaven/entry/view_state.h"
#include "plantainhaven/http/message.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace plantainhaven {

struct RequestHandlerOptions
{
  std::string vm;
  std::string ownRegion;
  // Longest wait of a request for a token of a budget.
  std::chrono::nanoseconds budgetWait{ std::chrono::milliseconds(250) };
  // Requests that may wait for tokens at once.
  std::size_t mostWaiting = 32;
  // Longest wait for an answer over a kept connection before an idempotent request is
  // sent over a new one, beyond four times the server's usual time.
  std::chrono::nanoseconds silenceWait{ std::chrono::milliseconds(300) };
  // Called before the metrics are written, to bring gauges up to date.
  std::function<void()> onMetrics = {};
};

// What the handler works with; all of it outlives the handler.
struct RequestServices
{
  const ViewState& view;
  Steering& steering;
  BackendPool& pool;
  BudgetGate& budgets;
  LinkCharges& links;
  ClaimStore& claims;
  Metrics& metrics;
};

// Serves callers' requests: screens, authenticates, admits, routes, forwards and retries
// each of them, and answers at once when it gives up. A refusal says "not run"
// (Plantainhaven-Not-Run: true) only if no byte of the request reached a backend server
// or the server itself said that it didn't run it; every other failure says that the
// outcome is unknown (Plantainhaven-Outcome: unknown). Paths below /.plantainhaven/
// belong to the module: metrics and health. Safe for several threads.
class RequestHandler
{
public:
  RequestHandler(RequestHandlerOptions aOptions, RequestServices aServices);
  ~RequestHandler();
  RequestHandler(const RequestHandler&) = delete;
  RequestHandler& operator=(const RequestHandler&) = delete;

  HttpResponse Handle(const HttpRequest& aRequest);

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

// The headers that mark a refusal as "not run" for a reason; the HTTP server adds them
// to the refusals that it gives by itself.
HttpHeaders
NotRunHeaders(std::string aReason);

} // namespace plantainhaven
