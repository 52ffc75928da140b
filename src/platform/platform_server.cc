#include "plantainhaven/platform/platform_server.h"

#include "plantainhaven/http/server.h"
#include "platform/json.h"
#include "platform/pause_gate.h"
#include "platform/standin_response.h"
#include "platform/url.h"

#include <charconv>
#include <mutex>
#include <optional>
#include <string_view>
#include <utility>

namespace plantainhaven {

namespace {

constexpr std::size_t kMaxBody = 64U << 20U;
constexpr std::size_t kFreeThreads = 8;

Error
BadCall(const std::string& aExpected, const std::string& aActual)
{
  return Error{ ErrorKind::kInvalid,
                "expected " + aExpected + ", got \"" + aActual + "\"",
                "see the calls of the platform stand-in" };
}

std::optional<std::size_t>
ParseLimit(const std::string& aText)
{
  std::size_t limit = 0;
  const char* end = aText.data() + aText.size();
  const auto [stop, failure] = std::from_chars(aText.data(), end, limit);
  if (failure != std::errc() || stop != end || aText.empty()) {
    return std::nullopt;
  }
  return limit;
}

template<typename Message>
HttpResponse
Answer(const Result<Message>& aResult)
{
  return IsOk(aResult) ? MessageResponse(ValueOf(aResult)) : ErrorResponse(ErrorOf(aResult));
}

HttpResponse
AnswerDone(const Result<Done>& aResult)
{
  return IsOk(aResult) ? JsonResponse(200, "{}") : ErrorResponse(ErrorOf(aResult));
}

HttpServerOptions
ServerOptions(const PlatformServerOptions& aOptions)
{
  HttpServerOptions options;
  options.address = aOptions.address;
  options.port = aOptions.port;
  options.threads = aOptions.threads;
  options.maxBody = kMaxBody;
  return options;
}

std::size_t
MostHeld(const PlatformServerOptions& aOptions)
{
  return aOptions.threads > kFreeThreads ? aOptions.threads - kFreeThreads : 0;
}

} // namespace

struct PlatformServer::Impl
{
  Impl(PlatformServerOptions aOptions, MemoryPlatform& aPlatform);

  // Answers one call; `aName` is the decoded rest of the path after the route's.
  using Method = HttpResponse (Impl::*)(const HttpRequest& aRequest, const std::string& aName);

  struct Route
  {
    const char* method;
    std::string_view path;
    // True when a name follows the path.
    bool named;
    // True when faults apply.
    bool faulty;
    Method answer;
  };

  static const Route kRoutes[];

  HttpResponse Handle(const HttpRequest& aRequest);
  HttpResponse HandleFaulty(const Route& aRoute,
                            const HttpRequest& aRequest,
                            const std::string& aName);

  HttpResponse Commit(const HttpRequest& aRequest, const std::string& aName);
  HttpResponse ReadRow(const HttpRequest& aRequest, const std::string& aName);
  HttpResponse ReadRows(const HttpRequest& aRequest, const std::string& aName);
  HttpResponse PutObject(const HttpRequest& aRequest, const std::string& aName);
  HttpResponse GetObject(const HttpRequest& aRequest, const std::string& aName);
  HttpResponse DeleteObject(const HttpRequest& aRequest, const std::string& aName);
  HttpResponse ListVms(const HttpRequest& aRequest, const std::string& aName);
  HttpResponse PutVm(const HttpRequest& aRequest, const std::string& aName);
  HttpResponse DeleteVm(const HttpRequest& aRequest, const std::string& aName);
  HttpResponse GetFault(const HttpRequest& aRequest, const std::string& aName);
  HttpResponse PutFault(const HttpRequest& aRequest, const std::string& aName);
  HttpResponse GetStats(const HttpRequest& aRequest, const std::string& aName);
  HttpResponse ResetStats(const HttpRequest& aRequest, const std::string& aName);

  // Adds to the counter that has the field number in the statistics.
  void Count(int aField, std::uint64_t aAmount = 1);

  const PlatformServerOptions options;
  MemoryPlatform& platform;
  PauseGate gate;
  mutable std::mutex mutex;
  // Guarded by the mutex.
  StandinStats stats;
  HttpServer server;
};

// clang-format off
const PlatformServer::Impl::Route PlatformServer::Impl::kRoutes[] = {
  { "POST",   "/table/commit", false, true,  &Impl::Commit },
  { "GET",    "/table/row",    false, true,  &Impl::ReadRow },
  { "GET",    "/table/rows",   false, true,  &Impl::ReadRows },
  { "PUT",    "/objects/",     true,  true,  &Impl::PutObject },
  { "GET",    "/objects/",     true,  true,  &Impl::GetObject },
  { "DELETE", "/objects/",     true,  true,  &Impl::DeleteObject },
  { "GET",    "/vms",          false, true,  &Impl::ListVms },
  { "PUT",    "/vms/",         true,  false, &Impl::PutVm },
  { "DELETE", "/vms/",         true,  false, &Impl::DeleteVm },
  { "GET",    "/fault",        false, false, &Impl::GetFault },
  { "PUT",    "/fault",        false, false, &Impl::PutFault },
  { "GET",    "/stats",        false, false, &Impl::GetStats },
  { "DELETE", "/stats",        false, false, &Impl::ResetStats },
};
// clang-format on

PlatformServer::Impl::Impl(PlatformServerOptions aOptions, MemoryPlatform& aPlatform)
  : options(std::move(aOptions))
  , platform(aPlatform)
  , gate(MostHeld(this->options))
  , server(ServerOptions(this->options),
           [this](const HttpRequest& aRequest) { return this->Handle(aRequest); })
{
}

HttpResponse
PlatformServer::Impl::Handle(const HttpRequest& aRequest)
{
  const std::string_view path = EncodedPath(aRequest.target);
  for (const Route& route : kRoutes) {
    const bool pathFits =
      route.named ? path.substr(0, route.path.size()) == route.path : path == route.path;
    if (!pathFits || aRequest.method != route.method) {
      continue;
    }
    const std::optional<std::string> name = PercentDecode(path.substr(route.path.size()));
    if (!name) {
      return ErrorResponse(BadCall("%XX escapes in the path", aRequest.target));
    }
    return route.faulty ? this->HandleFaulty(route, aRequest, *name)
                        : (this->*route.answer)(aRequest, *name);
  }
  return ErrorResponse(
    Error{ ErrorKind::kNotFound,
           "expected a call of the platform, got " + aRequest.method + " " + aRequest.target,
           "see the calls of the platform stand-in" });
}

HttpResponse
PlatformServer::Impl::HandleFaulty(const Route& aRoute,
                                   const HttpRequest& aRequest,
                                   const std::string& aName)
{
  const PlatformFault fault = this->platform.Fault();
  this->Count(StandinStats::kBytesReceivedFieldNumber, aRequest.body.size());
  if (fault.down() || fault.silent()) {
    this->Count(StandinStats::kFaultedFieldNumber);
  }
  if (fault.silent()) {
    this->gate.HoldWhile([this] { return this->platform.Fault().silent(); });
    return NoResponse();
  }
  HttpResponse response = (this->*aRoute.answer)(aRequest, aName);
  this->gate.Pause(this->options.answerDelay + std::chrono::milliseconds(fault.delay_ms()));
  this->Count(StandinStats::kBytesSentFieldNumber, response.body.size());
  return response;
}

HttpResponse
PlatformServer::Impl::Commit(const HttpRequest& aRequest, const std::string& /*aName*/)
{
  TableTransaction transaction;
  if (const Result<Done> parsed = ReadJson(aRequest.body, transaction); !IsOk(parsed)) {
    return ErrorResponse(ErrorOf(parsed));
  }
  this->gate.Pause(this->platform.TakeCommitDelay());
  this->Count(StandinStats::kCommitsFieldNumber);
  const Result<TableCommitAnswer> result = this->platform.Commit(transaction);
  if (!IsOk(result) && ErrorOf(result).kind == ErrorKind::kUnknown) {
    this->Count(StandinStats::kFaultedFieldNumber);
    return NoResponse();
  }
  if (IsOk(result) && !ValueOf(result).committed()) {
    this->Count(StandinStats::kConflictsFieldNumber);
  }
  return Answer(result);
}

HttpResponse
PlatformServer::Impl::ReadRow(const HttpRequest& aRequest, const std::string& /*aName*/)
{
  this->Count(StandinStats::kReadsFieldNumber);
  const Result<TableRow> result = this->platform.Read(aRequest.Query("key"));
  this->Count(StandinStats::kRowsReadFieldNumber, IsOk(result) ? 1 : 0);
  return Answer(result);
}

HttpResponse
PlatformServer::Impl::ReadRows(const HttpRequest& aRequest, const std::string& /*aName*/)
{
  const std::string limitText = aRequest.Query("limit");
  const std::optional<std::size_t> limit = ParseLimit(limitText);
  if (!limit) {
    return ErrorResponse(BadCall("a number as limit", limitText));
  }
  this->Count(StandinStats::kReadsFieldNumber);
  const Result<TableReadAnswer> result =
    this->platform.ReadPrefix(aRequest.Query("prefix"), aRequest.Query("after"), *limit);
  const int rows = IsOk(result) ? ValueOf(result).rows_size() : 0;
  this->Count(StandinStats::kRowsReadFieldNumber, static_cast<std::uint64_t>(rows));
  return Answer(result);
}

HttpResponse
PlatformServer::Impl::PutObject(const HttpRequest& aRequest, const std::string& aName)
{
  this->Count(StandinStats::kObjectPutsFieldNumber);
  return AnswerDone(this->platform.Put(aName, aRequest.body));
}

HttpResponse
PlatformServer::Impl::GetObject(const HttpRequest& /*aRequest*/, const std::string& aName)
{
  this->Count(StandinStats::kObjectGetsFieldNumber);
  Result<std::string> result = this->platform.Get(aName);
  if (!IsOk(result)) {
    return ErrorResponse(ErrorOf(result));
  }
  HttpResponse response;
  response.headers.Add("Content-Type", "application/octet-stream");
  response.body = std::move(ValueOf(result));
  return response;
}

HttpResponse
PlatformServer::Impl::DeleteObject(const HttpRequest& /*aRequest*/, const std::string& aName)
{
  this->Count(StandinStats::kObjectDeletesFieldNumber);
  return AnswerDone(this->platform.Delete(aName));
}

HttpResponse
PlatformServer::Impl::ListVms(const HttpRequest& /*aRequest*/, const std::string& /*aName*/)
{
  this->Count(StandinStats::kVmListsFieldNumber);
  return Answer(this->platform.List());
}

HttpResponse
PlatformServer::Impl::PutVm(const HttpRequest& aRequest, const std::string& aName)
{
  VmListEntry vm;
  if (const Result<Done> parsed = ReadJson(aRequest.body, vm); !IsOk(parsed)) {
    return ErrorResponse(ErrorOf(parsed));
  }
  vm.set_name(aName);
  this->platform.SetVm(vm);
  return MessageResponse(vm);
}

HttpResponse
PlatformServer::Impl::DeleteVm(const HttpRequest& /*aRequest*/, const std::string& aName)
{
  this->platform.RemoveVm(aName);
  return JsonResponse(200, "{}");
}

HttpResponse
PlatformServer::Impl::GetFault(const HttpRequest& /*aRequest*/, const std::string& /*aName*/)
{
  return MessageResponse(this->platform.Fault());
}

HttpResponse
PlatformServer::Impl::PutFault(const HttpRequest& aRequest, const std::string& /*aName*/)
{
  PlatformFault fault;
  if (const Result<Done> parsed = ReadJson(aRequest.body, fault); !IsOk(parsed)) {
    return ErrorResponse(ErrorOf(parsed));
  }
  this->platform.SetFault(fault);
  return MessageResponse(fault);
}

HttpResponse
PlatformServer::Impl::GetStats(const HttpRequest& /*aRequest*/, const std::string& /*aName*/)
{
  const std::lock_guard lock(this->mutex);
  return MessageResponse(this->stats);
}

HttpResponse
PlatformServer::Impl::ResetStats(const HttpRequest& /*aRequest*/, const std::string& /*aName*/)
{
  const std::lock_guard lock(this->mutex);
  this->stats.Clear();
  return MessageResponse(this->stats);
}

void
PlatformServer::Impl::Count(int aField, std::uint64_t aAmount)
{
  const std::lock_guard lock(this->mutex);
  const auto* field = StandinStats::descriptor()->FindFieldByNumber(aField);
  const auto* reflection = this->stats.GetReflection();
  reflection->SetUInt64(&this->stats, field, reflection->GetUInt64(this->stats, field) + aAmount);
}

PlatformServer::PlatformServer(PlatformServerOptions aOptions, MemoryPlatform& aPlatform)
  : impl(std::make_unique<Impl>(std::move(aOptions), aPlatform))
{
}

PlatformServer::~PlatformServer()
{
  this->impl->gate.Close();
}

Result<Done>
PlatformServer::Start()
{
  return this->impl->server.Start();
}

void
PlatformServer::Stop(std::chrono::milliseconds aLongest)
{
  this->impl->gate.Close();
  this->impl->server.Stop(aLongest);
}

StandinStats
PlatformServer::Stats() const
{
  const std::lock_guard lock(this->impl->mutex);
  return this->impl->stats;
}

} // namespace plantainhaven
