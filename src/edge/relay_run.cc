#include "edge/relay_run.h"

#include "edge/crash_watch.h"
#include "edge/forwarding.h"
#include "plantainhaven/common/log.h"
#include "platform/names.h"

#include <algorithm>
#include <utility>

namespace plantainhaven::edge {
namespace {

// Requests of other VMs that this one handles at a time. Each may buffer a response of 256 KiB.
constexpr int kMaxRelayedRequests = 128;

} // namespace

RelayRun::RelayRun(TrafficState& aState,
                   beast::tcp_stream& aPeer,
                   CallerWatch& aWatch,
                   CallerRequest& aRequest,
                   CallerBody& aBody)
  : state(aState)
  , open(aState)
  , peer(aPeer)
  , watch(aWatch)
  , request(aRequest)
  , body(aBody)
{
  ++this->state.relayedRequests;
}

RelayRun::~RelayRun()
{
  --this->state.relayedRequests;
}

bool
RelayRun::KeepsAlive() const
{
  return this->request.keep_alive() && !this->state.IsLeaving() && this->body.IsWhole();
}

std::chrono::milliseconds
RelayRun::TimeLeft() const
{
  return std::max(ToMilliseconds(this->deadlineAt - BootClock::Now()),
                  std::chrono::milliseconds(1));
}

CallerResponse
RelayRun::MakeResponse(SendOutcome aOutcome) const
{
  return { this->peer,
           { .version = this->request.version(),
             .method = std::string(ToStd(this->request.method_string())),
             .keepsAlive = this->KeepsAlive(),
             .relayOutcome = ToString(aOutcome) } };
}

bool
RelayRun::FitsBeforeStop() const
{
  const RoutingPtr& routing = this->state.dispatcher.CurrentRouting();
  const auto target = ToStd(this->request.target());
  const Route* const route =
    routing == nullptr ? nullptr
                       : routing->FindRoute(NormalizeHost(this->request[http::field::host]),
                                            std::string(target.substr(0, target.find('?'))));
  // The other VM's configuration may name the route while this one's doesn't.
  return route == nullptr || this->state.FitsBeforeStop(this->state.UsualTime(*route));
}

const char*
RelayRun::RejectionReason() const
{
  if (this->state.IsRejecting()) {
    return "stopping";
  }
  if (!this->FitsBeforeStop()) {
    return "stopping";
  }
  if (this->state.relayedRequests > kMaxRelayedRequests) {
    return "too_many";
  }
  if (this->state.paths.IsLost(*this->state.dispatcher.FindServer(this->server))) {
    return "no_path";
  }
  return nullptr;
}

Task<bool>
RelayRun::Run()
{
  this->requestId = std::string(ToStd(this->request[platform::kRequestIdHeader]));
  this->server = std::string(ToStd(this->request[platform::kTargetHeader]));
  const auto left = ParseInteger(this->request[platform::kDeadlineHeader]);
  this->deadlineAt = BootClock::Now() + std::chrono::milliseconds(left.value_or(0));
  if (!this->state.dispatcher.AcceptsRequests(this->server) ||
      this->state.dispatcher.IsBackedOff(this->server)) {
    // This concerns the server, so the other VM must choose another one, not another relay.
    co_return co_await this->Reject("server_unknown_or_leaving", SendOutcome::kNoConnection);
  }
  if (const char* const reason = this->RejectionReason()) {
    co_return co_await this->Reject(reason, SendOutcome::kNotRelayed);
  }
  // While a body is still being received, its reader detects that the other VM disconnects.
  if (this->body.IsWhole()) {
    this->watch.Start();
  }
  const BackendServer target = *this->state.dispatcher.FindServer(this->server);
  const bool isOpen = co_await this->Attempt(target);
  this->watch.Stop();
  co_return isOpen;
}

Task<bool>
RelayRun::Reject(const char* aReason, SendOutcome aOutcome)
{
  this->state.metrics.Count("plantainhaven_relay_rejections_total", "reason", aReason);
  Log(LogLevel::kInfo,
      "relay_rejected",
      { { "request", this->requestId }, { "server", this->server }, { "reason", aReason } });
  co_return co_await this->RespondOutcome(aOutcome);
}

Task<bool>
RelayRun::Attempt(const BackendServer& aServer)
{
  const BootTime startedAt = BootClock::Now();
  this->state.dispatcher.BeginRelayed(aServer);
  const auto end = [&](SendOutcome aOutcome) {
    this->state.metrics.Count("plantainhaven_relayed_total", "outcome", ToString(aOutcome));
    this->state.dispatcher.EndRelayed(
      aServer, aOutcome, ToMilliseconds(BootClock::Now() - startedAt));
  };
  ServerAttempt attempt(this->state, aServer, ServerWay{});
  Exchange& exchange = attempt.HttpExchange();
  this->watch.OnDisconnect([&exchange] { exchange.Cancel(); });
  // The other VM's request may not be idempotent, so the stricter limit applies to all.
  const bool isConnected = co_await attempt.Connect(kMaxIdleNonIdempotent, this->TimeLeft());
  this->watch.CheckNow();
  if (this->HasPeerDisconnected()) {
    end(SendOutcome::kAbandoned);
    co_return false;
  }
  if (!isConnected) {
    end(SendOutcome::kNoConnection);
    const bool isPathLost = this->state.paths.IsLost(aServer);
    co_return co_await this->RespondOutcome(isPathLost ? SendOutcome::kNotRelayed
                                                       : SendOutcome::kNoConnection);
  }
  ServerRequestHead head = RelayedHead(this->request, this->TimeLeft());
  const auto timeout = this->TimeLeft() + kResponseTransitTime;
  const std::function<bool()> mayRepeat = [] { return false; };
  co_await attempt.Send(std::move(head), this->body, timeout, mayRepeat);
  attempt.ApplyStatements();
  if (this->HasPeerDisconnected() && !exchange.IsAnswered()) {
    end(SendOutcome::kAbandoned);
    co_return false;
  }
  const bool hasResponse =
    exchange.IsAnswered() && (exchange.IsWhole() || exchange.Outcome() == SendOutcome::kServed);
  if (!this->state.IsEnding() && exchange.Outcome() == SendOutcome::kBroken &&
      !exchange.IsAnswered()) {
    const auto digest =
      DigestOf(this->request, ToStd(this->request[platform::kAccountHeader]), this->body.First());
    co_await RecordBrokenAttempt(this->state, this->requestId, digest, aServer);
  }
  bool isOpen = false;
  if (hasResponse) {
    isOpen = co_await this->ForwardResponse(exchange);
    end(this->watch.HasDisconnected() ? SendOutcome::kAbandoned : exchange.Outcome());
  } else {
    end(attempt.Evidence());
    isOpen = co_await this->RespondOutcome(exchange.Outcome());
  }
  this->watch.OnDisconnect(nullptr);
  co_return isOpen;
}

Task<bool>
RelayRun::ForwardResponse(Exchange& aExchange)
{
  CallerResponse response = this->MakeResponse(aExchange.Outcome());
  const bool isWritten = co_await response.Forward(aExchange);
  if (!isWritten) {
    aExchange.Cancel();
    co_return false;
  }
  aExchange.Finish();
  co_return this->KeepsAlive() && !response.EndsWithConnection();
}

Task<bool>
RelayRun::RespondOutcome(SendOutcome aOutcome)
{
  CallerResponse response = this->MakeResponse(aOutcome);
  const Refusal refusal{ .status = 502, .reason = ToString(aOutcome) };
  const bool isWritten = co_await response.Refuse(refusal, this->requestId);
  co_return isWritten&& this->KeepsAlive();
}

} // namespace plantainhaven::edge
