#include "plantainhaven/platform/backend_standin.h"

#include "plantainhaven/common/time.h"
#include "plantainhaven/http/server.h"
#include "platform/backend_answer.h"
#include "platform/backend_faults.h"
#include "platform/backend_work.h"
#include "platform/execution_log.h"
#include "platform/json.h"
#include "platform/pause_gate.h"
#include "platform/standin_response.h"
#include "platform/url.h"

#include <algorithm>
#include <atomic>
#include <charconv>
#include <optional>
#include <string_view>
#include <utility>

namespace plantainhaven {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMostTrackedIds = 1'000'000;
constexpr std::size_t kMaxBody = 16U << 20U;
constexpr std::size_t kFreeThreads = 8;
constexpr std::size_t kThreadsPerSlot = 2;
constexpr std::size_t kSpareThreads = 46;
constexpr int kBadRequest = 400;
constexpr int kInternalError = 500;
constexpr int kServiceUnavailable = 503;
constexpr int kStatusGatewayTimeout = 504;
constexpr char kShedHeader[] = "Plantainhaven-Shed";
constexpr char kDrainingHeader[] = "Plantainhaven-Draining";
constexpr char kRequestIdHeader[] = "Plantainhaven-Request-Id";
constexpr char kDeadlineHeader[] = "Plantainhaven-Deadline-Ms";
constexpr char kForeignRequestIdHeader[] = "X-Request-Id";

// The options with the number of threads settled.
BackendStandinOptions
Settled(BackendStandinOptions aOptions)
{
  if (aOptions.threads == 0) {
    aOptions.threads = aOptions.slots * kThreadsPerSlot + kSpareThreads;
  }
  return aOptions;
}

std::size_t
MostHeld(const BackendStandinOptions& aOptions)
{
  return aOptions.threads > kFreeThreads ? aOptions.threads - kFreeThreads : 0;
}

HttpServerOptions
ServerOptions(const BackendStandinOptions& aOptions)
{
  HttpServerOptions options;
  options.address = aOptions.address;
  options.port = aOptions.port;
  options.threads = aOptions.threads;
  options.maxBody = kMaxBody;
  options.refusalHeaders.Add(kShedHeader, "true");
  return options;
}

HttpResponse
Refusal(const std::string& aServer, int aStatus, const char* aReason)
{
  BackendRefusal refusal;
  refusal.set_server(aServer);
  refusal.set_reason(aReason);
  return MessageResponse(refusal, aStatus);
}

std::string
ConnectionName(const HttpRequest& aRequest)
{
  return aRequest.remoteAddress + ":" + std::to_string(aRequest.remotePort);
}

std::optional<std::uint32_t>
ParseNumber(std::string_view aText)
{
  std::uint32_t number = 0;
  const char* end = aText.data() + aText.size();
  const auto [stop, failure] = std::from_chars(aText.data(), end, number);
  if (failure != std::errc() || stop != end) {
    return std::nullopt;
  }
  return number;
}

// Time left for a request; the longest there is when it has no deadline.
milliseconds
Deadline(const HttpRequest& aRequest)
{
  const auto left = ParseNumber(aRequest.headers.Get(kDeadlineHeader));
  return left ? milliseconds(*left) : milliseconds::max();
}

} // namespace

struct BackendStandin::Impl
{
  explicit Impl(BackendStandinOptions aOptions);

  using Method = HttpResponse (Impl::*)(const HttpRequest& aRequest);

  struct Route
  {
    const char* method;
    std::string_view path;
    Method answer;
  };

  static const Route kRoutes[];

  // Gives back a slot at its end.
  class SlotLease
  {
  public:
    explicit SlotLease(SlotPool& aPool)
      : pool(aPool)
    {
    }
    ~SlotLease() { this->pool.GiveBack(); }
    SlotLease(const SlotLease&) = delete;
    SlotLease& operator=(const SlotLease&) = delete;

  private:
    SlotPool& pool;
  };

  HttpResponse Handle(const HttpRequest& aRequest);
  HttpResponse Run(const HttpRequest& aRequest);
  HttpResponse GetLoad(const HttpRequest& aRequest);
  HttpResponse GetExecutions(const HttpRequest& aRequest);
  HttpResponse DeleteExecutions(const HttpRequest& aRequest);
  HttpResponse GetFault(const HttpRequest& aRequest);
  HttpResponse PutFault(const HttpRequest& aRequest);

  bool IsDraining(const BackendFault& aFault) const;
  BackendLoad TrueLoad() const;
  // Takes the time of one request, at most up to its deadline; false when that
  // didn't suffice. A slow fault overrides the deadline.
  bool Work(const HttpRequest& aRequest, const BackendFault& aFault);
  HttpResponse MakeAnswer(const HttpRequest& aRequest, const BackendFault& aFault);

  const BackendStandinOptions options;
  BootTime startedAt{};
  SlotPool slots;
  const ColdStart cold;
  std::atomic<bool> drains = false;
  ExecutionLog executions;
  BackendFaults faults;
  // Ends the waits of faults as soon as the server stops.
  PauseGate faultGate;
  // Ends the work of requests when a stop has waited long enough.
  PauseGate workGate;
  HttpServer server;
};

const BackendStandin::Impl::Route BackendStandin::Impl::kRoutes[] = {
  { "GET", "/executions", &Impl::GetExecutions },
  { "DELETE", "/executions", &Impl::DeleteExecutions },
  { "GET", "/fault", &Impl::GetFault },
  { "PUT", "/fault", &Impl::PutFault },
};

BackendStandin::Impl::Impl(BackendStandinOptions aOptions)
  : options(Settled(std::move(aOptions)))
  , slots(this->options.slots)
  , cold{ this->options.coldStart, this->options.coldWork }
  , executions(kMostTrackedIds)
  , faults(this->options.seed)
  , faultGate(MostHeld(this->options))
  , workGate(this->options.threads)
  , server(ServerOptions(this->options),
           [this](const HttpRequest& aRequest) { return this->Handle(aRequest); })
{
}

HttpResponse
BackendStandin::Impl::Handle(const HttpRequest& aRequest)
{
  const std::string_view path = EncodedPath(aRequest.target);
  for (const Route& route : kRoutes) {
    if (aRequest.method == route.method && path == route.path) {
      return (this->*route.answer)(aRequest);
    }
  }
  const std::string connection = ConnectionName(aRequest);
  if (this->faults.IsSilenced(connection)) {
    this->faultGate.HoldWhile([&] { return this->faults.IsSilenced(connection); });
    return NoResponse();
  }
  const bool load = aRequest.method == "GET" && path == "/load";
  return load ? this->GetLoad(aRequest) : this->Run(aRequest);
}

HttpResponse
BackendStandin::Impl::Run(const HttpRequest& aRequest)
{
  const BackendFault present = this->faults.Present();
  if (!HasValidRequestId(aRequest)) {
    return Refusal(this->options.name, kBadRequest, "malformed X-Request-Id");
  }
  if (this->faults.Hits(present.shed_percent()) || !this->slots.Take()) {
    HttpResponse response = Refusal(this->options.name, kServiceUnavailable, "shed");
    response.headers.Add(kShedHeader, "true");
    return response;
  }
  {
    const SlotLease lease(this->slots);
    this->executions.Note(OperationId(aRequest), aRequest.method);
    if (!this->Work(aRequest, present)) {
      return Refusal(this->options.name, kStatusGatewayTimeout, "deadline");
    }
  }
  this->faultGate.Pause(milliseconds(present.late_ms()));
  return this->MakeAnswer(aRequest, present);
}

HttpResponse
BackendStandin::Impl::GetLoad(const HttpRequest& /*aRequest*/)
{
  const BackendFault present = this->faults.Present();
  if (present.refuse_load()) {
    return Refusal(this->options.name, kServiceUnavailable, "load refused");
  }
  return MessageResponse(this->faults.Report(this->TrueLoad()));
}

HttpResponse
BackendStandin::Impl::GetExecutions(const HttpRequest& aRequest)
{
  return MessageResponse(this->executions.List(ParseNumber(aRequest.Query("over")).value_or(0)));
}

HttpResponse
BackendStandin::Impl::DeleteExecutions(const HttpRequest& /*aRequest*/)
{
  this->executions.Reset();
  return JsonResponse(200, "{}");
}

HttpResponse
BackendStandin::Impl::GetFault(const HttpRequest& /*aRequest*/)
{
  return MessageResponse(this->faults.Present());
}

HttpResponse
BackendStandin::Impl::PutFault(const HttpRequest& aRequest)
{
  BackendFault wanted;
  if (const Result<Done> parsed = ReadJson(aRequest.body, wanted); !IsOk(parsed)) {
    return ErrorResponse(ErrorOf(parsed));
  }
  this->faults.Set(wanted, this->TrueLoad());
  return MessageResponse(wanted);
}

bool
BackendStandin::Impl::IsDraining(const BackendFault& aFault) const
{
  return aFault.draining() || this->drains.load();
}

BackendLoad
BackendStandin::Impl::TrueLoad() const
{
  const bool draining = this->IsDraining(this->faults.Present());
  BackendLoad load;
  load.set_in_flight(static_cast<std::uint32_t>(this->slots.Taken()));
  load.set_slots(static_cast<std::uint32_t>(this->options.slots));
  load.set_draining(draining);
  load.set_ready(!draining);
  return load;
}

bool
BackendStandin::Impl::Work(const HttpRequest& aRequest, const BackendFault& aFault)
{
  const milliseconds wanted =
    this->options.work + this->cold.ExtraAt(BootClock::Now() - this->startedAt);
  const milliseconds time = std::min(wanted, Deadline(aRequest));
  this->workGate.Pause(time + milliseconds(aFault.slow_ms()));
  return time == wanted;
}

HttpResponse
BackendStandin::Impl::MakeAnswer(const HttpRequest& aRequest, const BackendFault& aFault)
{
  const std::string id = this->faults.AnswerId(std::string(aRequest.headers.Get(kRequestIdHeader)));
  const bool draining = this->IsDraining(this->faults.Present());
  HttpResponse response;
  response.status = this->faults.Hits(aFault.fail_percent()) ? kInternalError : 200;
  response.close = draining;
  response.headers.Add("Content-Type", "application/json");
  if (draining) {
    response.headers.Add(kDrainingHeader, "true");
  }
  if (!id.empty()) {
    response.headers.Add(kRequestIdHeader, id);
  }
  if (const auto foreign = aRequest.headers.Get(kForeignRequestIdHeader); !foreign.empty()) {
    response.headers.Add(kForeignRequestIdHeader, std::string(foreign));
  }
  const std::size_t size = this->options.answerBytes + aFault.over_long_bytes();
  response.body = AnswerBody(this->options.name, aRequest, id, size);
  const BodyDelivery delivery{ this->faults.Hits(aFault.truncate_percent()),
                               milliseconds(aFault.drip_ms()) };
  Deliver(delivery, this->faultGate, response);
  return response;
}

BackendStandin::BackendStandin(BackendStandinOptions aOptions)
  : impl(std::make_unique<Impl>(std::move(aOptions)))
{
}

BackendStandin::~BackendStandin()
{
  this->impl->faultGate.Close();
  this->impl->workGate.Close();
}

Result<Done>
BackendStandin::Start()
{
  this->impl->startedAt = BootClock::Now();
  return this->impl->server.Start();
}

void
BackendStandin::BeginDrain()
{
  this->impl->drains.store(true);
  this->impl->server.BeginDrain();
}

std::size_t
BackendStandin::Stop(std::chrono::milliseconds aLongest)
{
  this->BeginDrain();
  this->impl->faultGate.Close();
  const std::size_t left = this->impl->server.Stop(aLongest);
  this->impl->workGate.Close();
  return left;
}

void
BackendStandin::SetFault(const BackendFault& aFault)
{
  this->impl->faults.Set(aFault, this->impl->TrueLoad());
}

BackendFault
BackendStandin::Fault() const
{
  return this->impl->faults.Present();
}

BackendLoad
BackendStandin::Load() const
{
  return this->impl->TrueLoad();
}

ExecutionList
BackendStandin::Executions(std::uint32_t aOver) const
{
  return this->impl->executions.List(aOver);
}

void
BackendStandin::ResetExecutions()
{
  this->impl->executions.Reset();
}

} // namespace plantainhaven
