#pragma once

#include "edge/caller_body.h"
#include "edge/caller_response.h"
#include "edge/caller_watch.h"
#include "edge/exchange.h"
#include "edge/names.h"
#include "edge/net.h"
#include "edge/server_attempt.h"
#include "edge/traffic_state.h"

#include <string>

namespace plantainhaven::edge {

// Handles one request that another VM, which has no path to the backend server, relays through
// this one. That VM has authenticated and admitted the request and has chosen the server; it also
// decides on retries. This VM makes one attempt over its own path, never through a third VM, and
// states in its response how the attempt ended.
class RelayRun
{
public:
  RelayRun(TrafficState& aState,
           beast::tcp_stream& aPeer,
           CallerWatch& aWatch,
           CallerRequest& aRequest,
           CallerBody& aBody);
  ~RelayRun();
  RelayRun(const RelayRun&) = delete;
  RelayRun& operator=(const RelayRun&) = delete;

  // Returns false when the connection must be closed.
  Task<bool> Run();

private:
  // Whether a server is likely to answer the request before this VM has stopped.
  bool FitsBeforeStop() const;
  // The reason to reject the request without an attempt; null when there is none.
  const char* RejectionReason() const;
  // Responds that nothing was sent.
  Task<bool> Reject(const char* aReason, SendOutcome aOutcome);
  Task<bool> Attempt(const BackendServer& aServer);
  // Responds with the outcome alone, without a response of the server.
  Task<bool> RespondOutcome(SendOutcome aOutcome);
  Task<bool> ForwardResponse(Exchange& aExchange);
  CallerResponse MakeResponse(SendOutcome aOutcome) const;
  bool KeepsAlive() const;
  std::chrono::milliseconds TimeLeft() const;
  bool HasPeerDisconnected() const
  {
    return this->watch.HasDisconnected() || this->body.HasFailed();
  }

  TrafficState& state;
  OpenRequest open;
  beast::tcp_stream& peer;
  CallerWatch& watch;
  CallerRequest& request;
  CallerBody& body;
  std::string requestId;
  std::string server;
  BootTime deadlineAt{};
};

} // namespace plantainhaven::edge
