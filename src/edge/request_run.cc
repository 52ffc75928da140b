#include "edge/request_run.h"

#include "edge/crash_watch.h"
#include "edge/forwarding.h"
#include "edge/reserved_slot.h"
#include "plantainhaven/common/log.h"
#include "plantainhaven/policy/placing/rendezvous.h"
#include "platform/decode.h"
#include "platform/names.h"

#include <algorithm>
#include <array>
#include <utility>

namespace plantainhaven::edge {
namespace {

// Failed connection attempts after which the request is rejected; bounds the time spent on servers
// that are down.
constexpr int kMaxConnectFailures = 3;
constexpr std::chrono::milliseconds kMaxIdle{ 60000 };
constexpr std::chrono::milliseconds kDefaultTimeout{ 10000 };
constexpr std::chrono::milliseconds kUnconfiguredRetryAfter{ 300 };
constexpr std::chrono::milliseconds kNotExecutedRetryAfter{ 200 };
constexpr std::chrono::milliseconds kStoppingRetryAfter{ 50 };
// Time until the attempt of a suspected request that runs is likely to have ended.
constexpr std::chrono::milliseconds kSuspectedRetryAfter{ 500 };

} // namespace

RequestRun::RequestRun(TrafficState& aState,
                       beast::tcp_stream& aCaller,
                       CallerWatch& aWatch,
                       CallerRequest& aRequest,
                       CallerBody& aBody)
  : state(aState)
  , open(aState)
  , caller(aCaller)
  , watch(aWatch)
  , request(aRequest)
  , body(aBody)
  , arrivedAt(BootClock::Now())
{
}

void
RequestRun::Refuse(unsigned aStatus,
                   std::string_view aReason,
                   std::chrono::milliseconds aRetryAfter)
{
  this->refusal = Refusal{ aStatus, std::string(aReason), aRetryAfter };
}

bool
RequestRun::KeepsAlive() const
{
  return this->request.keep_alive() && !this->state.IsLeaving() && this->body.IsWhole();
}

CallerResponse
RequestRun::MakeResponse() const
{
  return { this->caller,
           { .version = this->request.version(),
             .method = std::string(ToStd(this->request.method_string())),
             .keepsAlive = this->KeepsAlive() } };
}

bool
RequestRun::Admit()
{
  this->routing = this->state.dispatcher.CurrentRouting();
  if (this->state.IsRejecting()) {
    this->Refuse(503, "stopping", kStoppingRetryAfter);
    return false;
  }
  if (this->routing == nullptr) {
    this->Refuse(503, "no_configuration", kUnconfiguredRetryAfter);
    return false;
  }
  if (this->state.isConfigurationOutdated) {
    this->Refuse(503, "configuration_outdated", kUnconfiguredRetryAfter);
    return false;
  }
  const std::string target(ToStd(this->request.target()));
  const std::string path = target.substr(0, target.find('?'));
  this->route = this->routing->FindRoute(NormalizeHost(this->request[http::field::host]), path);
  if (this->route == nullptr) {
    this->Refuse(404, "no_route", {});
    return false;
  }
  if (this->routing->HasAccounts()) {
    const auto key = platform::DecodeKey(ToStd(this->request[http::field::authorization]));
    this->account = key ? this->routing->FindAccount(*key) : nullptr;
  }
  if (this->account == nullptr && this->routing->HasAccounts() && !this->route->isPublic) {
    this->Refuse(401, "unknown_key", {});
    return false;
  }
  if (!this->state.FitsBeforeStop(this->state.UsualTime(*this->route))) {
    this->Refuse(503, "stopping", kStoppingRetryAfter);
    return false;
  }
  return true;
}

Task<bool>
RequestRun::AcquireToken()
{
  if (this->account == nullptr) {
    co_return true;
  }
  const TokenAcquisition acquisition = co_await this->state.tokens.Acquire(this->account->name);
  if (!acquisition.acquired) {
    this->Refuse(429, "account_rate", std::max(acquisition.retryAfter, kNotExecutedRetryAfter));
  }
  co_return acquisition.acquired;
}

const placing::RequestDigest&
RequestRun::Digest()
{
  if (this->digest.empty()) {
    const bool hasAccount = this->account != nullptr;
    this->digest = DigestOf(this->request,
                            hasAccount ? std::string_view(this->account->name) : std::string_view(),
                            this->body.First());
  }
  return this->digest;
}

placing::CrashVerdict
RequestRun::Verdict()
{
  if (this->state.crashes.IsEmpty()) {
    return placing::CrashVerdict::kUnsuspected;
  }
  return this->state.crashes.VerdictOn(this->Digest(), BootClock::Now());
}

bool
RequestRun::RefuseQuarantined()
{
  const placing::CrashVerdict verdict = this->Verdict();
  const unsigned status = this->mayHaveExecuted ? 502 : 503;
  if (verdict == placing::CrashVerdict::kQuarantined) {
    const auto left = this->state.crashes.TimeLeft(this->Digest(), BootClock::Now());
    this->Refuse(status, "crashes_servers", left);
    return true;
  }
  if (verdict == placing::CrashVerdict::kSuspected &&
      this->state.crashes.IsRunning(this->Digest())) {
    this->Refuse(status, "may_crash_servers", kSuspectedRetryAfter);
    return true;
  }
  return false;
}

Task<void>
RequestRun::RecordAttempt(const BackendServer& aServer, ServerAttempt& aAttempt)
{
  const Exchange& exchange = aAttempt.HttpExchange();
  if (exchange.IsAnswered() && !exchange.IsNotExecuted() && !this->state.crashes.IsEmpty() &&
      exchange.Head().find(platform::kSignatureHeader) != exchange.Head().end()) {
    RecordAnswer(this->state, this->Digest());
  }
  // A relaying VM records what it has seen itself.
  if (!this->state.IsEnding() && !aAttempt.IsRelayed() && !aAttempt.IsWayLost() &&
      exchange.Outcome() == SendOutcome::kBroken && !exchange.IsAnswered()) {
    co_await RecordBrokenAttempt(this->state, this->requestId, this->Digest(), aServer);
  }
}

std::string
RequestRun::PickService()
{
  const std::vector<RouteTarget>& targets = this->route->targets;
  std::vector<double> weights;
  weights.reserve(targets.size());
  for (const RouteTarget& target : targets) {
    weights.push_back(target.weight);
  }
  std::discrete_distribution<std::size_t> pick(weights.begin(), weights.end());
  return targets[pick(this->state.random)].service;
}

void
RequestRun::PrepareDispatch()
{
  std::chrono::milliseconds timeout = this->route->timeout;
  if (timeout.count() <= 0) {
    timeout = kDefaultTimeout;
  }
  if (const auto left = ParseInteger(this->request[platform::kDeadlineHeader])) {
    timeout = std::min(timeout, std::chrono::milliseconds(std::max<std::int64_t>(0, *left)));
  }
  this->deadlineAt = this->arrivedAt + timeout;
  this->dispatchRequest.service = this->PickService();
  this->dispatchRequest.route = this->route->name;
  const auto object = ToStd(this->request[platform::kAffinityKeyHeader]);
  this->dispatchRequest.object =
    object.empty() ? this->state.random()
                   : StableHash(std::string(this->route->prefix) + std::string(object));
  static const std::vector<std::string> kEverywhere;
  const bool hasAccount = this->account != nullptr;
  const auto& accountRegions = hasAccount ? this->account->allowedRegions : kEverywhere;
  this->dispatchRequest.allowed = IntersectRegions(this->route->allowedRegions, accountRegions);
  this->dispatchRequest.priority = this->route->priority;
  if (hasAccount && this->account->priority) {
    this->dispatchRequest.priority = *this->account->priority;
  }
  this->dispatchRequest.objectiveAt = this->arrivedAt + this->route->latencyObjective;
  this->dispatchRequest.deadlineAt = this->deadlineAt;
  this->dispatchRequest.usualTime = this->state.UsualTime(*this->route);
}

std::chrono::milliseconds
RequestRun::TimeLeft() const
{
  return ToMilliseconds(this->deadlineAt - BootClock::Now());
}

Task<bool>
RequestRun::Run()
{
  this->requestId = std::string(ToStd(this->request[platform::kRequestIdHeader]));
  if (!this->Admit() || this->RefuseQuarantined()) {
    co_return co_await this->WriteRefusal();
  }
  const bool hasToken = co_await this->AcquireToken();
  if (!hasToken) {
    co_return co_await this->WriteRefusal();
  }
  this->admittedAt = BootClock::Now();
  this->PrepareDispatch();
  // While a body is still being received, its reader detects that the caller disconnects.
  if (this->body.IsWhole()) {
    this->watch.Start();
  }
  while (true) {
    std::uint64_t waiter = 0;
    this->watch.OnDisconnect([this, &waiter] { this->state.dispatcher.CancelWait(waiter); });
    const DispatchResult result =
      co_await this->state.dispatcher.Acquire(this->dispatchRequest, waiter);
    this->watch.OnDisconnect(nullptr);
    if (const DispatchFailure* const failure = std::get_if<DispatchFailure>(&result)) {
      if (failure->reason == DispatchFailureReason::kCallerDisconnected ||
          this->HasCallerDisconnected()) {
        this->state.metrics.Count("plantainhaven_caller_left_total", "while", "waiting");
        co_return false;
      }
      const bool isNotExecuted = !this->mayHaveExecuted;
      this->Refuse(isNotExecuted ? 503 : 502, ToString(failure->reason), failure->retryAfter);
      break;
    }
    this->dispatchedAt = BootClock::Now();
    const Next next = co_await this->Attempt(std::get<BackendServer>(result));
    if (next == Next::kClose) {
      co_return false;
    }
    if (next == Next::kDone) {
      break;
    }
  }
  this->watch.Stop();
  if (this->refusal) {
    co_return co_await this->WriteRefusal();
  }
  co_return this->KeepsAlive();
}

Task<RequestRun::Next>
RequestRun::Attempt(const BackendServer& aServer)
{
  ReservedSlot slot(this->state.dispatcher, aServer);
  const std::chrono::milliseconds left = this->TimeLeft();
  ServerWay way = this->state.paths.WayTo(aServer, this->dispatchRequest.allowed);
  this->dispatchRequest.excluded.push_back(aServer.id);
  // Other VMs may have seen servers end under the request while it waited.
  if (this->RefuseQuarantined()) {
    slot.End(SendOutcome::kAbandoned);
    co_return Next::kDone;
  }
  if (this->state.IsEnding()) {
    slot.End(SendOutcome::kAbandoned);
    this->Refuse(this->mayHaveExecuted ? 502 : 503, "stopping", kStoppingRetryAfter);
    co_return Next::kDone;
  }
  std::optional<RunningRequest> running;
  if (this->Verdict() == placing::CrashVerdict::kSuspected) {
    running.emplace(this->state.crashes, this->Digest());
  }
  if (left.count() <= 0) {
    slot.End(SendOutcome::kAbandoned);
    this->Refuse(this->mayHaveExecuted ? 504 : 503, "deadline", kNotExecutedRetryAfter);
    co_return Next::kDone;
  }
  if (way.kind == ServerWay::Kind::kNone) {
    slot.End(SendOutcome::kNotRelayed);
    this->Refuse(this->mayHaveExecuted ? 502 : 503, "no_path", kNotExecutedRetryAfter);
    co_return Next::kDone;
  }
  ServerAttempt attempt(this->state, aServer, std::move(way));
  Exchange& exchange = attempt.HttpExchange();
  this->watch.OnDisconnect([&exchange] { exchange.Cancel(); });
  const bool isConnected = co_await attempt.Connect(this->MaxIdle(aServer), left);
  this->watch.CheckNow();
  if (this->watch.HasDisconnected()) {
    slot.End(SendOutcome::kAbandoned);
    this->state.metrics.Count("plantainhaven_caller_left_total", "while", "connecting");
    co_return Next::kClose;
  }
  if (!isConnected) {
    slot.End(attempt.Evidence());
    this->LogFailure(aServer, attempt);
    co_return this->AfterNotSent(aServer, attempt);
  }
  const bool stillAccepts = this->state.dispatcher.AcceptsRequests(aServer.id) &&
                            !this->state.dispatcher.IsBackedOff(aServer.id);
  if (!stillAccepts) {
    // The server has begun to leave while the connection was opened.
    slot.End(SendOutcome::kAbandoned);
    co_return Next::kRetry;
  }
  ++this->attempts;
  if (this->attempts == 1) {
    this->state.dispatcher.OnFirstAttempt(this->dispatchRequest.service);
  }
  const Next next = co_await this->Send(aServer, attempt, slot);
  this->watch.OnDisconnect(nullptr);
  co_return next;
}

Task<RequestRun::Next>
RequestRun::Send(const BackendServer& aServer, ServerAttempt& aAttempt, ReservedSlot& aSlot)
{
  Exchange& exchange = aAttempt.HttpExchange();
  const auto left = std::max(this->TimeLeft(), std::chrono::milliseconds(1));
  ServerRequestHead head = ForwardedHead(this->request, aServer, this->account, left);
  const std::function<bool()> mayRepeat = [this, &aSlot] {
    // What the server still runs of this VM's requests doesn't tell whether it is busy.
    aSlot.End(SendOutcome::kAbandoned);
    return this->MayRepeat();
  };
  co_await aAttempt.Send(std::move(head), this->body, left + kResponseTransitTime, mayRepeat);
  aAttempt.ApplyStatements();
  if (this->body.Fault() == http::error::body_limit) {
    aSlot.End(SendOutcome::kAbandoned);
    exchange.Cancel();
    this->Refuse(413, "body_too_large", {});
    co_return Next::kDone;
  }
  if (this->watch.HasDisconnected() || (this->body.HasFailed() && !exchange.IsAnswered())) {
    aSlot.End(SendOutcome::kAbandoned);
    this->state.metrics.Count("plantainhaven_caller_left_total", "while", "running");
    co_return Next::kClose;
  }
  co_await this->RecordAttempt(aServer, aAttempt);
  if (aAttempt.IsWayLost()) {
    aSlot.End(aAttempt.Evidence());
    this->mayHaveExecuted = true;
    this->state.metrics.Count("plantainhaven_repeats_total", "reason", "path_lost");
    co_return Next::kRetry;
  }
  if (exchange.Outcome() == SendOutcome::kServed) {
    co_return co_await this->AfterServed(aServer, aAttempt, aSlot);
  }
  this->LogFailure(aServer, aAttempt);
  if (aAttempt.WasNotSent()) {
    --this->attempts;
    aSlot.End(aAttempt.Evidence());
    exchange.Finish();
    co_return this->AfterNotSent(aServer, aAttempt);
  }
  if (exchange.Outcome() == SendOutcome::kTimeout) {
    this->RecordTime(aSlot);
  }
  const Next next = this->AfterFailure(exchange);
  aSlot.End(aAttempt.Evidence());
  // An error response of the server itself is forwarded when the request can't be retried.
  const bool isServerResponse =
    exchange.Outcome() == SendOutcome::kFailed && exchange.Status() >= 500 &&
    exchange.Head().find(platform::kSignatureHeader) != exchange.Head().end();
  if (next == Next::kDone && isServerResponse && exchange.IsWhole()) {
    this->refusal.reset();
    co_return co_await this->ForwardResponse(exchange);
  }
  exchange.Finish();
  co_return next;
}

Task<RequestRun::Next>
RequestRun::AfterServed(const BackendServer& aServer, ServerAttempt& aAttempt, ReservedSlot& aSlot)
{
  Exchange& exchange = aAttempt.HttpExchange();
  if (exchange.IsWhole()) {
    aSlot.End(SendOutcome::kServed);
    this->LogServed(aServer, aAttempt, aSlot.StartedAt());
    this->state.dispatcher.OnResponseBytes(this->route->name, exchange.BodyBytes());
    this->RecordTime(aSlot);
    co_return co_await this->ForwardResponse(exchange);
  }
  const Next next = co_await this->ForwardResponse(exchange);
  this->RecordTime(aSlot);
  if (next == Next::kClose) {
    this->LogCut(aServer, aAttempt);
  } else {
    this->LogServed(aServer, aAttempt, aSlot.StartedAt());
  }
  const bool hasDisconnected = this->watch.HasDisconnected();
  this->watch.OnDisconnect(nullptr);
  aSlot.End(hasDisconnected ? SendOutcome::kAbandoned : aAttempt.Evidence());
  co_return next;
}

void
RequestRun::RecordTime(const ReservedSlot& aSlot)
{
  const auto took = ToMilliseconds(BootClock::Now() - aSlot.StartedAt());
  this->state.usualTimes.OnAnswered(this->route->name, took);
}

RequestRun::Next
RequestRun::AfterNotSent(const BackendServer& aServer, const ServerAttempt& aAttempt)
{
  ++this->connectFailures;
  this->state.metrics.Count("plantainhaven_send_failures_total", "outcome", "no_connection");
  if (aAttempt.Evidence() == SendOutcome::kNotRelayed) {
    // Nothing is known against the server: another VM may relay the request to it.
    std::erase(this->dispatchRequest.excluded, aServer.id);
  }
  if (this->connectFailures<kMaxConnectFailures&& this->TimeLeft().count()> 0 &&
      !this->body.IsConsumed()) {
    return Next::kRetry;
  }
  this->Refuse(this->mayHaveExecuted ? 502 : 503, "no_connection", kNotExecutedRetryAfter);
  return Next::kDone;
}

std::chrono::milliseconds
RequestRun::MaxIdle(const BackendServer& aServer) const
{
  if (this->state.paths.IsDoubtful(aServer)) {
    return std::chrono::milliseconds(0);
  }
  return this->route->isIdempotent ? kMaxIdle : kMaxIdleNonIdempotent;
}

bool
RequestRun::MayRepeat()
{
  return this->route->isIdempotent && !this->body.IsConsumed() && this->MayRetry();
}

bool
RequestRun::MayRetry()
{
  const bool hasTime =
    this->TimeLeft() > this->state.dispatcher.MeanResponseTime(this->dispatchRequest.service) / 4;
  return hasTime && this->attempts < this->route->maxAttempts &&
         this->state.FitsBeforeStop(this->dispatchRequest.usualTime) &&
         this->Verdict() == placing::CrashVerdict::kUnsuspected &&
         this->state.dispatcher.TryAcquireRetry(this->dispatchRequest.service);
}

RequestRun::Next
RequestRun::AfterFailure(const Exchange& aExchange)
{
  const SendOutcome outcome = aExchange.Outcome();
  this->state.metrics.Count("plantainhaven_send_failures_total", "outcome", ToString(outcome));
  this->mayHaveExecuted = this->mayHaveExecuted || !aExchange.IsNotExecuted();
  const bool isRetryable =
    (aExchange.IsNotExecuted() || this->route->isIdempotent) && !this->body.IsConsumed();
  if (outcome != SendOutcome::kTimeout && isRetryable && this->MayRetry()) {
    this->state.metrics.Count("plantainhaven_repeats_total", "reason", ToString(outcome));
    return Next::kRetry;
  }
  if (outcome == SendOutcome::kTimeout) {
    this->Refuse(504, "timeout", {});
  } else if (this->mayHaveExecuted) {
    this->Refuse(502, ToString(outcome), {});
  } else {
    this->Refuse(503, ToString(outcome), kNotExecutedRetryAfter);
  }
  return Next::kDone;
}

Task<RequestRun::Next>
RequestRun::ForwardResponse(Exchange& aExchange)
{
  CallerResponse response = this->MakeResponse();
  const bool isWritten = co_await response.Forward(aExchange);
  if (!isWritten) {
    aExchange.Cancel();
    co_return Next::kClose;
  }
  if (response.EndsWithConnection()) {
    this->request.keep_alive(false);
  }
  aExchange.Finish();
  co_return Next::kDone;
}

Task<bool>
RequestRun::WriteRefusal()
{
  this->state.metrics.Count("plantainhaven_refusals_total", "reason", this->refusal->reason);
  Log(LogLevel::kInfo,
      "refused",
      { { "request", this->requestId },
        { "status", this->refusal->status },
        { "reason", this->refusal->reason },
        { "route", this->route == nullptr ? std::string_view() : this->route->name },
        { "account", this->account == nullptr ? std::string_view() : this->account->name },
        { "service", this->dispatchRequest.service },
        { "sends", this->attempts },
        { "retry_after_ms", this->refusal->retryAfter.count() },
        { "held_ms", ToMilliseconds(BootClock::Now() - this->arrivedAt).count() },
        { "configuration", this->routing == nullptr ? 0 : this->routing->version } });
  if (this->refusal->retryAfter.count() > 0) {
    // Jitter keeps callers that were rejected together from retrying together.
    std::uniform_int_distribution<std::int64_t> spread(0, this->refusal->retryAfter.count() / 2);
    this->refusal->retryAfter += std::chrono::milliseconds(spread(this->state.random));
  }
  CallerResponse response = this->MakeResponse();
  const bool isWritten = co_await response.Refuse(*this->refusal, this->requestId);
  co_return isWritten&& this->KeepsAlive();
}

Task<bool>
RequestRun::Reject(unsigned aStatus, std::string_view aReason)
{
  this->request.keep_alive(false);
  this->Refuse(aStatus, aReason, {});
  co_return co_await this->WriteRefusal();
}

void
RequestRun::LogServed(const BackendServer& aServer, ServerAttempt& aAttempt, BootTime aSentAt) const
{
  const BootTime now = BootClock::Now();
  const ServerLoad load = aAttempt.HttpExchange().Load().value_or(ServerLoad());
  Log(LogLevel::kInfo,
      "served",
      { { "request", this->requestId },
        { "route", this->route->name },
        { "account", this->account == nullptr ? std::string_view() : this->account->name },
        { "object", this->dispatchRequest.object },
        { "service", aServer.service },
        { "server", aServer.id },
        { "region", aServer.region },
        { "relayed", aAttempt.IsRelayed() },
        { "sends", this->attempts },
        { "token_ms", ToMilliseconds(this->admittedAt - this->arrivedAt).count() },
        { "room_ms", ToMilliseconds(this->dispatchedAt - this->admittedAt).count() },
        { "server_ms", ToMilliseconds(now - aSentAt).count() },
        { "running", load.running },
        { "waiting", load.waiting },
        { "limited", this->state.dispatcher.LimitOf(aServer.id).has_value() },
        { "late", now > this->dispatchRequest.objectiveAt } });
}

void
RequestRun::LogCut(const BackendServer& aServer, ServerAttempt& aAttempt) const
{
  const Exchange& exchange = aAttempt.HttpExchange();
  const bool isByServer = exchange.Outcome() != SendOutcome::kServed;
  this->state.metrics.Count(
    "plantainhaven_responses_cut_total", "by", isByServer ? "server" : "caller");
  Log(LogLevel::kInfo,
      "response_cut",
      { { "request", this->requestId },
        { "route", this->route->name },
        { "server", aServer.id },
        { "service", aServer.service },
        { "region", aServer.region },
        { "relayed", aAttempt.IsRelayed() },
        { "by", isByServer ? "server" : "caller" },
        { "outcome", ToString(exchange.Outcome()) },
        { "fault", exchange.Fault() },
        { "held_ms", ToMilliseconds(BootClock::Now() - this->arrivedAt).count() },
        { "left_ms", this->TimeLeft().count() } });
}

void
RequestRun::LogFailure(const BackendServer& aServer, ServerAttempt& aAttempt) const
{
  const Exchange& exchange = aAttempt.HttpExchange();
  Log(LogLevel::kInfo,
      "send_failed",
      { { "request", this->requestId },
        { "route", this->route->name },
        { "account", this->account == nullptr ? std::string_view() : this->account->name },
        { "object", this->dispatchRequest.object },
        { "target", ToStd(this->request.target()) },
        { "server", aServer.id },
        { "service", aServer.service },
        { "region", aServer.region },
        { "relayed", aAttempt.IsRelayed() },
        { "reused", exchange.IsReused() },
        { "sent_ms", ToMilliseconds(BootClock::Now() - this->dispatchedAt).count() },
        { "outcome", ToString(exchange.Outcome()) },
        { "fault", exchange.Fault() },
        { "not_run", exchange.IsNotExecuted() },
        { "sends", this->attempts },
        { "left_ms", this->TimeLeft().count() } });
}

} // namespace plantainhaven::edge
