#pragma once

#include "edge/dispatcher.h"
#include "edge/net.h"
#include "edge/server_paths.h"
#include "edge/token_broker.h"
#include "edge/upstream_pool.h"
#include "plantainhaven/common/metrics.h"
#include "plantainhaven/policy/placing/crash_ledger.h"
#include "plantainhaven/policy/placing/stop_schedule.h"
#include "plantainhaven/policy/placing/usual_times.h"

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <utility>

namespace plantainhaven::edge {

// How far a planned stop has come. Each phase goes on with what the one before it began.
enum class StopPhase
{
  kServing,
  // Responses tell callers to close their connections, and other VMs send no callers any more.
  kLeaving,
  // New requests are rejected.
  kRejecting,
  // Requests are answered at once if no response of a server has begun to arrive.
  kEnding,
  // So are those of whose response nothing has been sent to the caller yet.
  kEndingBuffered,
};

// State that all requests on the traffic thread share.
struct TrafficState
{
  asio::io_context& context;
  Dispatcher& dispatcher;
  TokenBroker& tokens;
  // Connections to backend servers, and to VMs that relay requests.
  UpstreamPool& pool;
  UpstreamPool& relayPool;
  ServerPaths& paths;
  placing::CrashLedger& crashes;
  Metrics& metrics;
  std::mt19937_64& random;
  StopPhase stopPhase = StopPhase::kServing;
  // Set when the VM was told to stop.
  std::optional<placing::StopSchedule> stopSchedule{};
  // How long servers take for the requests of a route.
  placing::UsualTimes usualTimes{};
  // What to call when a phase begins; see StopNotice.
  std::multimap<StopPhase, std::function<void()>> stopActions{};
  // Other VMs have had a newer configuration in force for so long that this one's must not be used
  // any more.
  bool isConfigurationOutdated = false;
  // Requests of callers and of other VMs.
  int openRequests = 0;
  // Requests of other VMs.
  int relayedRequests = 0;

  bool IsLeaving() const { return this->stopPhase >= StopPhase::kLeaving; }
  bool IsRejecting() const { return this->stopPhase >= StopPhase::kRejecting; }
  bool IsEnding() const { return this->stopPhase >= StopPhase::kEnding; }
  // How long a request of the route is likely to take at a server.
  std::chrono::milliseconds UsualTime(const Route& aRoute) const
  {
    return this->usualTimes.Of(aRoute.name).value_or(aRoute.latencyObjective);
  }
  // Whether a server can be expected to answer a request that takes this time before the VM ends.
  bool FitsBeforeStop(std::chrono::milliseconds aUsualTime) const
  {
    return !this->stopSchedule || this->stopSchedule->Fits(aUsualTime, BootClock::Now());
  }
};

// Counts a request as open.
class OpenRequest
{
public:
  explicit OpenRequest(TrafficState& aState)
    : state(aState)
  {
    ++this->state.openRequests;
  }
  ~OpenRequest() { --this->state.openRequests; }
  OpenRequest(const OpenRequest&) = delete;
  OpenRequest& operator=(const OpenRequest&) = delete;

private:
  TrafficState& state;
};

// Calls an action when a phase of a planned stop begins, unless it is destroyed before. The action
// must not destroy a notice.
class StopNotice
{
public:
  StopNotice(TrafficState& aState, StopPhase aPhase, std::function<void()> aAction)
    : state(aState)
    , position(aState.stopActions.emplace(aPhase, std::move(aAction)))
  {
  }
  ~StopNotice() { this->state.stopActions.erase(this->position); }
  StopNotice(const StopNotice&) = delete;
  StopNotice& operator=(const StopNotice&) = delete;

private:
  TrafficState& state;
  std::multimap<StopPhase, std::function<void()>>::iterator position;
};

} // namespace plantainhaven::edge
