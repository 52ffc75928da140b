#include "edge/server_attempt.h"

#include <algorithm>
#include <utility>

namespace plantainhaven::edge {
namespace {

// Timeout for a new connection to a backend server: several round trips between the two most
// distant regions.
constexpr std::chrono::milliseconds kConnectTimeout{ 400 };
// A shorter timeout, due to the caller's deadline, doesn't show that nothing answers.
constexpr std::chrono::milliseconds kMinConclusiveTimeout{ 250 };

} // namespace

ServerAttempt::ServerAttempt(TrafficState& aState, const BackendServer& aServer, ServerWay aWay)
  : state(aState)
  , server(aServer)
  , way(std::move(aWay))
  , exchange(aState.context,
             this->IsRelayed() ? aState.relayPool : aState.pool,
             this->IsRelayed() ? RelayedTarget(this->way.relay.endpoint) : DirectTarget(aServer))
  , ending(aState,
           StopPhase::kEnding,
           [this] {
             if (!this->exchange.HasHead()) {
               this->exchange.Cancel();
             }
           })
  , endingBuffered(aState, StopPhase::kEndingBuffered, [this] {
    if (!this->exchange.IsAnswered()) {
      this->exchange.Cancel();
    }
  })
{
}

Task<bool>
ServerAttempt::Connect(std::chrono::milliseconds aMaxIdle, std::chrono::milliseconds aTimeLeft)
{
  const BootTime startedAt = BootClock::Now();
  const auto timeout = std::min(aTimeLeft, kConnectTimeout);
  this->isConnected =
    co_await this->exchange.Connect(aMaxIdle, std::chrono::steady_clock::now() + timeout);
  const char* const metric = this->IsRelayed() ? "plantainhaven_relay_connects_total"
                                               : "plantainhaven_server_connects_total";
  this->state.metrics.Count(metric, "result", this->exchange.ConnectResult());
  if (this->IsRelayed()) {
    if (!this->isConnected) {
      this->state.paths.OnRelayRejected(this->way.relay);
    }
  } else if (this->isConnected && !this->exchange.IsReused()) {
    this->state.paths.OnConnected(this->server, startedAt);
  } else if (!this->isConnected &&
             (!this->exchange.IsConnectTimeout() || timeout >= kMinConclusiveTimeout)) {
    this->state.paths.OnConnectFailed(this->server,
                                      this->exchange.IsConnectTimeout()
                                        ? placing::ConnectFailure::kSilent
                                        : placing::ConnectFailure::kRefused,
                                      startedAt);
  }
  co_return this->isConnected;
}

Task<void>
ServerAttempt::Send(ServerRequestHead aHead,
                    CallerBody& aBody,
                    std::chrono::milliseconds aTimeout,
                    std::function<bool()> aMayRepeat)
{
  const auto onLost = [this, mayRepeat = std::move(aMayRepeat)] {
    if (mayRepeat && mayRepeat()) {
      this->isWayLost = true;
      this->exchange.Cancel();
    }
  };
  ServerPaths::Pending pending(this->state.paths, this->server, this->way, onLost);
  co_await this->exchange.Send(
    std::move(aHead), aBody, std::chrono::steady_clock::now() + aTimeout);
  if (this->exchange.IsAnswered()) {
    pending.OnResponse();
  }
  if (this->IsRelayed() && this->exchange.Outcome() == SendOutcome::kNotRelayed) {
    this->state.paths.OnRelayRejected(this->way.relay);
  }
}

void
ServerAttempt::ApplyStatements()
{
  Dispatcher& dispatcher = this->state.dispatcher;
  if (this->exchange.Load()) {
    dispatcher.OnLoad(this->server.id, *this->exchange.Load());
  }
  if (this->exchange.Limit()) {
    dispatcher.OnLimit(this->server.id, this->exchange.Limit()->rate);
  }
  if (this->exchange.IsServerLeaving()) {
    dispatcher.OnLeaving(this->server.id);
  }
  if (this->exchange.BackOff()) {
    dispatcher.OnBackOff(this->server.id, *this->exchange.BackOff());
  }
}

bool
ServerAttempt::WasNotSent() const
{
  const SendOutcome outcome = this->exchange.Outcome();
  return !this->isConnected || outcome == SendOutcome::kNoConnection ||
         outcome == SendOutcome::kNotRelayed;
}

SendOutcome
ServerAttempt::Evidence() const
{
  const SendOutcome outcome = this->exchange.Outcome();
  if (this->IsRelayed()) {
    return this->exchange.IsAnswered() ? outcome : SendOutcome::kNotRelayed;
  }
  const bool isInterrupted = outcome == SendOutcome::kBroken || outcome == SendOutcome::kTimeout;
  const bool isOwnPath = isInterrupted && this->state.paths.IsLost(this->server);
  return this->isWayLost || isOwnPath ? SendOutcome::kAbandoned : outcome;
}

} // namespace plantainhaven::edge
