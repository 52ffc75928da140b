#pragma once

#include "edge/caller_body.h"
#include "edge/caller_response.h"
#include "edge/caller_watch.h"
#include "edge/exchange.h"
#include "edge/names.h"
#include "edge/net.h"
#include "edge/server_attempt.h"
#include "edge/traffic_state.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace plantainhaven::edge {

class ReservedSlot;

// Handles one request of a caller, from its head to the last byte of its response.
class RequestRun
{
public:
  RequestRun(TrafficState& aState,
             beast::tcp_stream& aCaller,
             CallerWatch& aWatch,
             CallerRequest& aRequest,
             CallerBody& aBody);
  RequestRun(const RequestRun&) = delete;
  RequestRun& operator=(const RequestRun&) = delete;

  // Returns false when the caller's connection must be closed.
  Task<bool> Run();
  // Rejects a request that couldn't be parsed, without routing it. Returns false when the caller's
  // connection must be closed.
  Task<bool> Reject(unsigned aStatus, std::string_view aReason);

private:
  // What follows an attempt.
  enum class Next
  {
    kDone,
    kRetry,
    kClose,
  };

  // Looks up the route and the account. Returns false when the request was rejected, and sets
  // `refusal` in that case.
  bool Admit();
  // Acquires a token of the account. Returns false when the request was rejected, and sets
  // `refusal` in that case.
  Task<bool> AcquireToken();
  // The request's digest for the ledger of requests that end servers.
  const placing::RequestDigest& Digest();
  // What the ledger says of this request.
  placing::CrashVerdict Verdict();
  // Refuses the request if it must not be sent because servers ended under it. Returns true, and
  // sets `refusal`, in that case.
  bool RefuseQuarantined();
  // Records whether a server has answered the attempt or ended under it.
  Task<void> RecordAttempt(const BackendServer& aServer, ServerAttempt& aAttempt);
  void Refuse(unsigned aStatus, std::string_view aReason, std::chrono::milliseconds aRetryAfter);
  void PrepareDispatch();
  std::string PickService();
  Task<Next> Attempt(const BackendServer& aServer);
  // Sends the request over the attempt's connection and handles the response.
  Task<Next> Send(const BackendServer& aServer, ServerAttempt& aAttempt, ReservedSlot& aSlot);
  // Handles an attempt that got a response that can be forwarded.
  Task<Next> AfterServed(const BackendServer& aServer,
                         ServerAttempt& aAttempt,
                         ReservedSlot& aSlot);
  // Records how long the attempt has taken, for the usual time of its route.
  void RecordTime(const ReservedSlot& aSlot);
  Next AfterFailure(const Exchange& aExchange);
  // Handles an attempt that sent nothing to the server.
  Next AfterNotSent(const BackendServer& aServer, const ServerAttempt& aAttempt);
  // How long a connection to the server may have been idle for the request to use it.
  std::chrono::milliseconds MaxIdle(const BackendServer& aServer) const;
  // Whether the request may be sent once more although an earlier attempt may still run. Uses up
  // a token of the retry budget if so.
  bool MayRepeat();
  bool MayRetry();
  Task<Next> ForwardResponse(Exchange& aExchange);
  Task<bool> WriteRefusal();
  // Returns false when the connection must be closed after the response.
  bool KeepsAlive() const;
  CallerResponse MakeResponse() const;
  bool HasCallerDisconnected() const
  {
    return this->watch.HasDisconnected() || this->body.HasFailed();
  }
  std::chrono::milliseconds TimeLeft() const;
  void LogFailure(const BackendServer& aServer, ServerAttempt& aAttempt) const;
  // Logs that the caller's connection ended within the response, and at which end it broke.
  void LogCut(const BackendServer& aServer, ServerAttempt& aAttempt) const;
  // Logs how long a served request spent waiting for its token, for a slot and for the server.
  void LogServed(const BackendServer& aServer, ServerAttempt& aAttempt, BootTime aSentAt) const;

  TrafficState& state;
  OpenRequest open;
  beast::tcp_stream& caller;
  CallerWatch& watch;
  CallerRequest& request;
  CallerBody& body;
  RoutingPtr routing;
  const Route* route = nullptr;
  const Account* account = nullptr;
  std::string requestId;
  BootTime arrivedAt{};
  // When the account's token was acquired.
  BootTime admittedAt{};
  // When a slot on a backend server was reserved.
  BootTime dispatchedAt{};
  BootTime deadlineAt{};
  DispatchRequest dispatchRequest;
  placing::RequestDigest digest;
  int attempts = 0;
  int connectFailures = 0;
  bool mayHaveExecuted = false;
  // The response to the caller when no server's response is forwarded.
  std::optional<Refusal> refusal;
};

} // namespace plantainhaven::edge
