#pragma once

#include "edge/exchange.h"
#include "edge/forwarding.h"
#include "edge/server_paths.h"
#include "edge/traffic_state.h"

#include <chrono>
#include <functional>

namespace plantainhaven::edge {

// A request that isn't idempotent reuses only a connection that was used this recently, because the
// server may be closing one that has been idle for longer, and the request can't be retried.
inline constexpr std::chrono::milliseconds kMaxIdleNonIdempotent{ 1500 };
// A server may respond as late as the deadline that it was given. This is the extra time for its
// response to arrive.
inline constexpr std::chrono::milliseconds kResponseTransitTime{ 80 };

// One attempt of a request at a backend server, over this VM's own path or through another VM. It
// tells ServerPaths what its end shows about the way.
class ServerAttempt
{
public:
  // `aWay` must be kDirect or kRelayed.
  ServerAttempt(TrafficState& aState, const BackendServer& aServer, ServerWay aWay);

  // The attempt's HTTP exchange, for its response.
  Exchange& HttpExchange() { return this->exchange; }
  bool IsRelayed() const { return this->way.kind == ServerWay::Kind::kRelayed; }
  // Reuses or opens a connection; see Exchange::Connect().
  Task<bool> Connect(std::chrono::milliseconds aMaxIdle, std::chrono::milliseconds aTimeLeft);
  // Sends the request and reads the response; see Exchange::Send(). `aMayRepeat` is asked when the
  // way is lost before the response arrives; if it returns true, the attempt ends at once. It may
  // be null.
  Task<void> Send(ServerRequestHead aHead,
                  CallerBody& aBody,
                  std::chrono::milliseconds aTimeout,
                  std::function<bool()> aMayRepeat);
  // Tells the dispatcher what the response states about the server: load, rate limit, departure.
  void ApplyStatements();
  // The attempt ended because its way was lost.
  bool IsWayLost() const { return this->isWayLost; }
  // Nothing was sent to the server.
  bool WasNotSent() const;
  // What the end of the attempt shows about the server: kAbandoned when only the way failed.
  SendOutcome Evidence() const;

private:
  TrafficState& state;
  BackendServer server;
  ServerWay way;
  Exchange exchange;
  StopNotice ending;
  StopNotice endingBuffered;
  bool isConnected = false;
  bool isWayLost = false;
};

} // namespace plantainhaven::edge
