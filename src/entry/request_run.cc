#include "entry/request_run.h"

#include "entry/refusal_response.h"
#include "plantainhaven/common/digest.h"
#include "plantainhaven/policy/request/header_hygiene.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace plantainhaven {

namespace {

constexpr char kDeadlineHeader[] = "Plantainhaven-Deadline-Ms";
constexpr char kIdempotencyHeader[] = "Idempotency-Key";
constexpr std::size_t kLongestIdempotencyKey = 255;

// The time that the caller allows, if it says so.
std::optional<std::chrono::milliseconds>
CallersTime(const HttpRequest& aRequest)
{
  const std::string_view text = aRequest.headers.Get(kDeadlineHeader);
  std::int32_t value = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
  if (text.empty() || parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(value);
}

} // namespace

RequestRun::RequestRun(const RequestHandlerOptions& aOptions,
                       const RequestServices& aServices,
                       BudgetWaits& aWaits,
                       const HttpRequest& aRequest,
                       std::string aRequestId)
  : options(aOptions)
  , services(aServices)
  , waits(aWaits)
  , request(aRequest)
  , requestId(std::move(aRequestId))
  , arrivedAt(BootClock::Now())
{
}

HttpResponse
RequestRun::Run()
{
  static constexpr std::array<Step, 10> kSteps = {
    &RequestRun::Screen,       &RequestRun::CheckView,   &RequestRun::FindRoute,
    &RequestRun::Authenticate, &RequestRun::ScanForKeys, &RequestRun::PrepareHeaders,
    &RequestRun::AdmitAccount, &RequestRun::PlanRegions, &RequestRun::TakeClaim,
    &RequestRun::MakeAttempts,
  };
  std::optional<RefusalReason> reason;
  for (auto step = kSteps.begin(); step != kSteps.end() && !reason && !this->answer; ++step) {
    reason = (this->**step)();
  }
  this->SettleLink();
  this->slot.Release();
  return reason ? this->Refuse(*reason) : std::move(*this->answer);
}

std::optional<RefusalReason>
RequestRun::Screen()
{
  const Result<std::string> read = ReadPath(this->request.target);
  if (!IsOk(read)) {
    return RefusalReason::kMalformed;
  }
  this->path = ValueOf(read);
  return std::nullopt;
}

std::optional<RefusalReason>
RequestRun::CheckView()
{
  this->tables = this->services.view.Tables();
  if (this->tables == nullptr) {
    return RefusalReason::kNoConfiguration;
  }
  if (!this->services.view.IsFresh(this->arrivedAt)) {
    return RefusalReason::kStaleView;
  }
  return std::nullopt;
}

std::optional<RefusalReason>
RequestRun::FindRoute()
{
  this->route = this->tables->MatchRoute(this->request.method, this->path);
  if (this->route == nullptr) {
    return RefusalReason::kNoRoute;
  }
  this->service = this->tables->FindService(this->route->service);
  if (this->service == nullptr) {
    return RefusalReason::kNoServer;
  }
  std::chrono::nanoseconds allowed = this->service->timeout;
  if (const auto callers = CallersTime(this->request)) {
    allowed = std::min<std::chrono::nanoseconds>(allowed, *callers);
  }
  this->deadline = this->arrivedAt + allowed;
  return std::nullopt;
}

std::optional<RefusalReason>
RequestRun::Authenticate()
{
  const Result<std::optional<std::string>> read = ReadCallerKey(this->request.headers.All());
  if (!IsOk(read)) {
    return RefusalReason::kMalformed;
  }
  const std::optional<std::string>& shown = ValueOf(read);
  if (shown) {
    this->key = *shown;
  }
  if (this->route->open) {
    return std::nullopt;
  }
  if (!shown) {
    return RefusalReason::kNoKey;
  }
  this->keyDigest = Sha256Hex(this->key);
  const std::string* owner = this->tables->AccountOfDigest(this->keyDigest);
  if (owner == nullptr) {
    return RefusalReason::kUnknownKey;
  }
  this->account = *owner;
  return std::nullopt;
}

std::optional<RefusalReason>
RequestRun::ScanForKeys()
{
  const auto isKey = [this](std::string_view aWord) {
    return this->tables->AccountOfDigest(Sha256Hex(aWord)) != nullptr;
  };
  if (HasKeyOutsideAuthorization(this->request, this->key, isKey)) {
    return RefusalReason::kKeyOutsideAuthorization;
  }
  return std::nullopt;
}

std::optional<RefusalReason>
RequestRun::PrepareHeaders()
{
  Result<std::vector<HttpHeader>> made =
    HeadersForServer(this->request.headers.All(), { this->account, this->requestId });
  if (!IsOk(made)) {
    return RefusalReason::kMalformed;
  }
  this->headers = std::move(ValueOf(made));
  return std::nullopt;
}

std::optional<RefusalReason>
RequestRun::AdmitAccount()
{
  if (this->route->open) {
    return std::nullopt;
  }
  const std::chrono::nanoseconds wait = std::min(this->options.budgetWait, this->TimeLeft() / 4);
  const AcquireResult taken = this->waits.Take({ BudgetId::ACCOUNT_RATE, this->account }, wait);
  if (taken.Acquired()) {
    return std::nullopt;
  }
  this->retryAfter = taken.retryAfter;
  return taken.refusal == AcquireRefusal::kStaleView ? RefusalReason::kStaleView
                                                     : RefusalReason::kAccountRate;
}

std::optional<RefusalReason>
RequestRun::PlanRegions()
{
  this->plan = this->services.steering.Plan(*this->service, BootClock::Now());
  if (this->plan.kind == RegionChoice::Kind::kUnknown) {
    return RefusalReason::kShiftUnknown;
  }
  if (this->plan.lost) {
    return RefusalReason::kShiftCap;
  }
  return std::nullopt;
}

std::optional<RefusalReason>
RequestRun::TakeClaim()
{
  const std::size_t count = this->request.headers.CountOf(kIdempotencyHeader);
  if (this->route->idempotent || count == 0) {
    return std::nullopt;
  }
  const std::string value(this->request.headers.Get(kIdempotencyHeader));
  if (count > 1 || value.empty() || value.size() > kLongestIdempotencyKey) {
    return RefusalReason::kMalformed;
  }
  ClaimRequest wanted{ this->account,        value,
                       this->requestId,      this->request.method,
                       this->request.target, this->request.body };
  ClaimResult result = this->services.claims.Claim(wanted, this->deadline);
  switch (result.kind) {
    case ClaimResult::Kind::kMine:
      this->claim = std::move(wanted);
      return std::nullopt;
    case ClaimResult::Kind::kFinished:
      this->answer = std::move(result.answer);
      this->answer->headers.Add("Plantainhaven-Replayed", "true");
      return std::nullopt;
    case ClaimResult::Kind::kAnswerNotKept:
      return RefusalReason::kClaimAnswerNotKept;
    case ClaimResult::Kind::kInProgress:
      return RefusalReason::kClaimInProgress;
    case ClaimResult::Kind::kMismatch:
      return RefusalReason::kClaimMismatch;
    case ClaimResult::Kind::kStoreDown:
      return RefusalReason::kClaimStore;
  }
  return RefusalReason::kClaimStore;
}

HttpResponse
RequestRun::Refuse(RefusalReason aReason)
{
  RefusalDetails details{ this->requestId, this->retryAfter };
  if (this->claim && RuleOf(aReason).notRun) {
    this->services.claims.GiveBack(*this->claim);
    details.note = " If the same Idempotency-Key is then refused as in progress, use a new one: "
                   "this request wasn't run.";
  }
  this->services.metrics.Count("plantainhaven_refusals_total", "reason", RuleOf(aReason).name);
  return RefusalResponse(aReason, details);
}

} // namespace plantainhaven
