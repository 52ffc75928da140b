#include "plantainhaven/entry/request_handler.h"

#include "entry/request_run.h"
#include "plantainhaven/common/digest.h"

#include <atomic>
#include <cstdint>

namespace plantainhaven {

namespace {

constexpr std::string_view kOwnPrefix = "/.plantainhaven/";
constexpr char kMetricsPath[] = "/.plantainhaven/metrics";
constexpr char kHealthPath[] = "/.plantainhaven/health";

} // namespace

struct RequestHandler::Impl
{
  Impl(RequestHandlerOptions aOptions, RequestServices aServices)
    : options(std::move(aOptions))
    , services(aServices)
  {
  }

  HttpResponse OwnPath(const HttpRequest& aRequest) const;
  std::string NextRequestId();

  RequestHandlerOptions options;
  RequestServices services;
  BudgetWaits waits{ { this->options.mostWaiting }, this->services.budgets };
  // Makes request ids unique over processes.
  std::string idPrefix = RandomId();
  std::atomic<std::uint64_t> lastId{ 0 };
};

std::string
RequestHandler::Impl::NextRequestId()
{
  return this->idPrefix + "-" + std::to_string(++this->lastId);
}

HttpResponse
RequestHandler::Impl::OwnPath(const HttpRequest& aRequest) const
{
  HttpResponse response;
  response.headers.Add("Content-Type", "text/plain; charset=utf-8");
  if (aRequest.path == kMetricsPath) {
    if (this->options.onMetrics) {
      this->options.onMetrics();
    }
    response.body = this->services.metrics.Text();
    return response;
  }
  if (aRequest.path == kHealthPath) {
    const bool fresh = this->services.view.IsFresh(BootClock::Now());
    response.status = fresh ? 200 : 503;
    response.body = fresh ? "fresh\n" : "stale\n";
    return response;
  }
  response.status = 404;
  response.body = "not found\n";
  return response;
}

RequestHandler::RequestHandler(RequestHandlerOptions aOptions, RequestServices aServices)
  : impl(std::make_unique<Impl>(std::move(aOptions), aServices))
{
}

RequestHandler::~RequestHandler() = default;

HttpResponse
RequestHandler::Handle(const HttpRequest& aRequest)
{
  if (aRequest.path.starts_with(kOwnPrefix)) {
    return this->impl->OwnPath(aRequest);
  }
  Metrics& metrics = this->impl->services.metrics;
  metrics.Count("plantainhaven_requests_total");
  const BootTime begun = BootClock::Now();
  RequestRun run(this->impl->options,
                 this->impl->services,
                 this->impl->waits,
                 aRequest,
                 this->impl->NextRequestId());
  HttpResponse response = run.Run();
  metrics.Observe("plantainhaven_request_seconds", BootClock::Now() - begun);
  return response;
}

} // namespace plantainhaven
