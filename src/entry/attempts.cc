#include "entry/request_run.h"

#include "plantainhaven/policy/request/header_hygiene.h"

#include <algorithm>

namespace plantainhaven {

namespace {

constexpr char kShedHeader[] = "Plantainhaven-Shed";
constexpr char kDrainingHeader[] = "Plantainhaven-Draining";
constexpr char kRequestIdHeader[] = "Plantainhaven-Request-Id";
constexpr char kDeadlineHeader[] = "Plantainhaven-Deadline-Ms";
// Taken for the head of a request or answer.
constexpr std::size_t kHeadBytes = 512;
// So many times the usual time of a server is still not suspicious.
constexpr int kUsualTimes = 4;
// Servers of a region that are tried before the next region is.
constexpr std::size_t kTriesInRegion = 2;
constexpr int kServiceUnavailable = 503;

AttemptOutcome
OutcomeOf(AttemptEnd aEnd)
{
  switch (aEnd) {
    case AttemptEnd::kAnswer:
    case AttemptEnd::kTooLarge:
      return AttemptOutcome::kCompleted;
    case AttemptEnd::kShed:
      return AttemptOutcome::kShed;
    case AttemptEnd::kConnectionLimit:
    case AttemptEnd::kBarred:
      return AttemptOutcome::kNotSent;
    default:
      return AttemptOutcome::kFailed;
  }
}

HttpHeaders
ToHeaders(const std::vector<HttpHeader>& aFields)
{
  HttpHeaders headers;
  for (const HttpHeader& field : aFields) {
    headers.Add(field.name, field.value);
  }
  return headers;
}

// An answer whose body just ends with the connection may have been cut.
bool
TellsItsEnd(const std::string& aMethod, const HttpResponse& aResponse)
{
  const bool hasBody = aMethod != "HEAD" && aResponse.status != 204 && aResponse.status != 304;
  return !hasBody || aResponse.headers.CountOf("Content-Length") > 0 ||
         aResponse.headers.CountOf("Transfer-Encoding") > 0;
}

} // namespace

std::chrono::nanoseconds
RequestRun::TimeLeft() const
{
  return this->deadline - BootClock::Now();
}

std::optional<RefusalReason>
RequestRun::MakeAttempts()
{
  if (const auto reason = this->EnterRegion()) {
    return reason;
  }
  while (true) {
    const std::shared_ptr<const ServerEntry> server = this->ChooseServer();
    if (server == nullptr) {
      return this->mayHaveRun ? RefusalReason::kOutcomeUnknown : this->regionRefusal;
    }
    ++this->attempts;
    const AttemptEnd end = this->Attempt(*server);
    this->services.steering.End(*server, OutcomeOf(end), BootClock::Now());
    if (end == AttemptEnd::kAnswer) {
      return std::nullopt;
    }
    this->mayHaveRun = this->mayHaveRun || MayHaveRun(end);
    this->avoided.servers.push_back(server->name);
    this->avoided.failureDomains.push_back(server->failureDomain);
    if (!this->MayTryAgain(end)) {
      const bool isBarred = end == AttemptEnd::kBarred && !this->mayHaveRun;
      return isBarred ? *this->barred : ReasonOf(end, this->mayHaveRun);
    }
  }
}

bool
RequestRun::MayTryAgain(AttemptEnd aEnd)
{
  RetryContext facts;
  facts.end = aEnd;
  facts.idempotent = this->route->idempotent;
  facts.mayHaveRunBefore = this->mayHaveRun;
  facts.attempts = this->attempts;
  facts.maxAttempts = this->service->maxAttempts;
  facts.timeLeft = this->TimeLeft();
  const bool isFinal = aEnd == AttemptEnd::kBarred && this->barred != RefusalReason::kNoServer;
  if (isFinal || !MayRetry(facts)) {
    return false;
  }
  const bool costsNoServer = aEnd == AttemptEnd::kConnect || aEnd == AttemptEnd::kBarred;
  if (!costsNoServer && !this->services.steering.TryRetry(this->service->name, BootClock::Now())) {
    this->services.metrics.Count("plantainhaven_retries_denied_total", "reason", ToString(aEnd));
    return false;
  }
  this->services.metrics.Count("plantainhaven_retries_total", "reason", ToString(aEnd));
  return true;
}

// Takes a slot in the next region of the plan that has one.
std::optional<RefusalReason>
RequestRun::EnterRegion()
{
  while (this->nextRegion < this->plan.regions.size()) {
    const std::string& next = this->plan.regions[this->nextRegion++];
    const bool last = this->nextRegion == this->plan.regions.size();
    const std::optional<RefusalReason> refused = this->TakeRegion(next, last);
    if (!refused) {
      this->region = next;
      return std::nullopt;
    }
    this->regionRefusal = *refused;
  }
  return this->regionRefusal;
}

std::optional<RefusalReason>
RequestRun::TakeRegion(const std::string& aRegion, bool aLast)
{
  LedgerId id = RegionSlotsBudget(this->service->name, aRegion, 0, {}).id;
  const std::chrono::nanoseconds wait =
    aLast ? std::min(this->options.budgetWait, this->TimeLeft() / 4) : std::chrono::nanoseconds(0);
  const AcquireResult taken = this->waits.Take(id, wait);
  if (!taken.Acquired()) {
    this->retryAfter = taken.retryAfter;
    return taken.refusal == AcquireRefusal::kStaleView ? RefusalReason::kStaleView
                                                       : RefusalReason::kRegionSlots;
  }
  this->slot = HeldToken(this->services.budgets, std::move(id));
  return this->ChargeLink(aRegion);
}

std::optional<RefusalReason>
RequestRun::ChargeLink(const std::string& aRegion)
{
  auto result =
    this->services.links.Charge(*this->tables, this->service->name, aRegion, this->RequestBytes());
  if (const AcquireResult* refused = std::get_if<AcquireResult>(&result)) {
    this->slot.Release();
    this->retryAfter = refused->retryAfter;
    return RefusalReason::kLinkBandwidth;
  }
  this->SettleLink();
  this->charged = std::move(std::get<LinkCharges::Charged>(result));
  return std::nullopt;
}

void
RequestRun::SettleLink()
{
  if (this->charged) {
    this->services.links.Settle(*this->charged, this->sentBytes, this->answerBytes);
  }
  this->charged.reset();
  this->sentBytes = 0;
  this->answerBytes = 0;
}

std::int64_t
RequestRun::RequestBytes() const
{
  return static_cast<std::int64_t>(kHeadBytes + this->request.target.size() +
                                   this->request.body.size());
}

// A server of the region; after a failure rather one that hasn't been tried, if need be
// of the next region in the plan.
std::shared_ptr<const ServerEntry>
RequestRun::ChooseServer()
{
  while (true) {
    std::shared_ptr<const ServerEntry> server = this->services.steering.Begin(
      this->service->name, this->region, this->avoided, BootClock::Now());
    const auto& tried = this->avoided.servers;
    const bool isNew =
      server != nullptr && std::find(tried.begin(), tried.end(), server->name) == tried.end();
    const bool mayMove = this->nextRegion < this->plan.regions.size();
    if (isNew && !(mayMove && tried.size() >= kTriesInRegion)) {
      return server;
    }
    const std::string before = this->region;
    HeldToken heldBefore = std::move(this->slot);
    if (this->EnterRegion()) {
      // No other region has room: stay.
      this->region = before;
      this->slot = std::move(heldBefore);
      return server;
    }
    if (server != nullptr) {
      this->services.steering.End(*server, AttemptOutcome::kNotSent, BootClock::Now());
    }
  }
}

AttemptEnd
RequestRun::Attempt(const ServerEntry& aServer)
{
  auto acquired = this->services.pool.Acquire(aServer, ReuseRule::kProven, BootClock::Now());
  if (const AttemptEnd* end = std::get_if<AttemptEnd>(&acquired)) {
    return *end;
  }
  ConnectionPointer connection = std::move(std::get<ConnectionPointer>(acquired));
  this->barred = this->CheckBeforeSending(aServer);
  if (this->barred) {
    const BootTime aliveAt = connection->aliveAt;
    this->services.pool.Return(std::move(connection), aliveAt);
    return AttemptEnd::kBarred;
  }
  return this->Exchange(aServer, std::move(connection));
}

// The last look before the first byte: the process may have been paused, the key
// withdrawn or the server drained since the request came.
std::optional<RefusalReason>
RequestRun::CheckBeforeSending(const ServerEntry& aServer) const
{
  const std::shared_ptr<const RequestTables> newest = this->services.view.Tables();
  const RouteEntry* routeNow = newest->MatchRoute(this->request.method, this->path);
  const bool sameRoute = routeNow != nullptr && routeNow->service == this->route->service &&
                         routeNow->open == this->route->open;
  if (!sameRoute) {
    return RefusalReason::kNoRoute;
  }
  const std::string* owner =
    this->route->open ? &this->account : newest->AccountOfDigest(this->keyDigest);
  if (owner == nullptr || *owner != this->account) {
    return RefusalReason::kUnknownKey;
  }
  const BootTime now = BootClock::Now();
  if (!this->services.steering.TakesNew(aServer, now)) {
    return RefusalReason::kNoServer;
  }
  if (now >= this->deadline) {
    return RefusalReason::kDeadline;
  }
  if (!this->services.view.IsFresh(now)) {
    return RefusalReason::kStaleView;
  }
  return std::nullopt;
}

AttemptEnd
RequestRun::Exchange(const ServerEntry& aServer, ConnectionPointer aConnection)
{
  const BootTime sentAt = BootClock::Now();
  const auto left = std::chrono::ceil<std::chrono::milliseconds>(this->deadline - sentAt);
  const std::chrono::milliseconds wait = this->LongestWait(aServer, *aConnection, left);
  HttpRequest forwarded;
  forwarded.method = this->request.method;
  forwarded.target = this->request.target;
  forwarded.path = this->request.path;
  forwarded.headers = ToHeaders(this->headers);
  forwarded.headers.Remove(kDeadlineHeader);
  forwarded.headers.Add(kDeadlineHeader, std::to_string(left.count()));
  forwarded.body = this->request.body;
  this->sentBytes += this->RequestBytes();
  auto result = aConnection->connection.Exchange(forwarded, wait);
  if (const ExchangeFailure* failure = std::get_if<ExchangeFailure>(&result)) {
    this->services.pool.Discard(std::move(aConnection), sentAt);
    return ToAttemptEnd(*failure);
  }
  HttpResponse& response = std::get<HttpResponse>(result);
  const BootTime answeredAt = BootClock::Now();
  this->answerBytes += static_cast<std::int64_t>(kHeadBytes + response.body.size());
  const AttemptEnd end = this->Judge(aServer, response);
  if (end == AttemptEnd::kCrossed || end == AttemptEnd::kTruncated) {
    this->services.pool.Discard(std::move(aConnection), sentAt);
    return end;
  }
  this->services.pool.Return(std::move(aConnection), answeredAt);
  this->services.steering.OnAnswerTime(aServer, answeredAt - sentAt);
  if (end == AttemptEnd::kAnswer) {
    this->TakeAnswer(aServer, std::move(response));
  }
  return end;
}

// A kept connection may have gone silent since it last answered: an idempotent request
// waits for it no longer than is usual, and then goes over a new one.
std::chrono::milliseconds
RequestRun::LongestWait(const ServerEntry& aServer,
                        const PooledConnection& aConnection,
                        std::chrono::milliseconds aLeft) const
{
  if (!aConnection.reused || !this->route->idempotent) {
    return aLeft;
  }
  const std::chrono::nanoseconds usual = this->services.steering.UsualAnswerTime(aServer);
  const std::chrono::nanoseconds bound = this->options.silenceWait + usual * kUsualTimes;
  return std::min(aLeft, std::chrono::ceil<std::chrono::milliseconds>(bound));
}

AttemptEnd
RequestRun::Judge(const ServerEntry& aServer, HttpResponse& aResponse)
{
  const std::string_view echoed = aResponse.headers.Get(kRequestIdHeader);
  if (!echoed.empty() && echoed != this->requestId) {
    return AttemptEnd::kCrossed;
  }
  if (!TellsItsEnd(this->request.method, aResponse)) {
    return AttemptEnd::kTruncated;
  }
  if (aResponse.headers.Get(kDrainingHeader) == "true") {
    this->services.steering.OnDraining(aServer, BootClock::Now());
  }
  const bool shed =
    aResponse.status == kServiceUnavailable && aResponse.headers.Get(kShedHeader) == "true";
  return shed ? AttemptEnd::kShed : AttemptEnd::kAnswer;
}

void
RequestRun::TakeAnswer(const ServerEntry& aServer, HttpResponse aResponse)
{
  HttpResponse kept;
  kept.status = aResponse.status;
  kept.headers = ToHeaders(HeadersForCaller(aResponse.headers.All()));
  kept.body = std::move(aResponse.body);
  if (this->claim) {
    this->services.claims.Finish(*this->claim, kept);
  }
  kept.headers.Add(kRequestIdHeader, this->requestId);
  kept.headers.Add("Plantainhaven-Region", aServer.region);
  this->answer = std::move(kept);
}

} // namespace plantainhaven
