#pragma once

#include "edge/caller_body.h"
#include "edge/caller_response.h"
#include "edge/caller_watch.h"
#include "edge/dispatcher.h"
#include "edge/exchange.h"
#include "edge/names.h"
#include "edge/net.h"
#include "edge/token_broker.h"
#include "plantainhaven/common/metrics.h"

#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>

namespace plantainhaven::edge {

// What requests share on the traffic thread.
struct TrafficState
{
  asio::io_context& context;
  Dispatcher& dispatcher;
  TokenBroker& tokens;
  UpstreamPool& pool;
  Metrics& metrics;
  std::mt19937_64& random;
  // SIGTERM came: answers ask callers to close their connections.
  bool isStopping = false;
  // The process is about to end: what arrives now is refused.
  bool isClosing = false;
  int openRequests = 0;
};

// Runs one request of a caller, from its head to the last byte of its response.
class RequestRun
{
public:
  RequestRun(TrafficState& aState,
             beast::tcp_stream& aCaller,
             CallerWatch& aWatch,
             CallerRequest& aRequest,
             CallerBody& aBody);
  ~RequestRun();
  RequestRun(const RequestRun&) = delete;
  RequestRun& operator=(const RequestRun&) = delete;

  // False when the connection must be closed.
  Task<bool> Run();
  // Answers without routing: the head couldn't be used.
  Task<bool> Reject(unsigned aStatus, std::string_view aReason);

private:
  // What an attempt left to do.
  enum class Next
  {
    kDone,
    kRepeat,
    kClose,
  };

  // Finds route and account. False when the request was refused; `refusal` says how.
  bool Admit();
  // Takes a token of the account; false when the request was refused.
  Task<bool> TakeToken();
  void Refuse(unsigned aStatus, std::string_view aReason, std::chrono::milliseconds aRetryAfter);
  void PrepareWish();
  std::string PickService();
  Task<Next> Attempt(const BackendServer& aServer);
  Next AfterFailure(const Exchange& aExchange);
  Next AfterNoConnection();
  bool MayRepeat();
  Task<Next> PassOn(Exchange& aExchange);
  Task<bool> WriteRefusal();
  // False when the connection must be closed after the answer.
  bool KeepsAlive() const;
  CallerResponse Answer() const;
  bool HasCallerLeft() const { return this->watch.HasLeft() || this->body.HasBroken(); }
  std::chrono::milliseconds Left() const;
  void LogFailure(const BackendServer& aServer, const Exchange& aExchange) const;
  // Tells where the time of a served request went.
  void LogServed(const BackendServer& aServer, const Exchange& aExchange, BootTime aSentAt) const;

  TrafficState& state;
  beast::tcp_stream& caller;
  CallerWatch& watch;
  CallerRequest& request;
  CallerBody& body;
  RoutingPtr routing;
  const Route* route = nullptr;
  const Account* account = nullptr;
  std::string requestId;
  BootTime arrivedAt{};
  // When the account's token was had, and when a server had room.
  BootTime admittedAt{};
  BootTime grantedAt{};
  BootTime deadlineAt{};
  SendWish wish;
  int sends = 0;
  int connectFailures = 0;
  bool mayHaveRun = false;
  // What the caller gets when no server's response is passed on.
  std::optional<Refusal> refusal;
};

} // namespace plantainhaven::edge
