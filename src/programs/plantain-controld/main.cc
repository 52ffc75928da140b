#include "plantainhaven/api/resource_api.h"
#include "plantainhaven/common/log.h"
#include "plantainhaven/common/metrics.h"
#include "plantainhaven/common/program.h"
#include "plantainhaven/common/settings.h"
#include "plantainhaven/control/controller.h"
#include "plantainhaven/http/server.h"
#include "plantainhaven/platform/http_platform.h"

#include <chrono>

namespace plantainhaven {

namespace {

// Number of threads of the resource API; each open watch occupies one.
constexpr std::size_t kApiThreads = 64;
// Maximum size of a request body in bytes; fits an apply of many client blocks.
constexpr std::size_t kApiMaxBody = 64 << 20;
constexpr std::chrono::seconds kApiDrain{ 5 };

HttpPlatformOptions
PlatformOptions(const PlatformSettings& aSettings)
{
  HttpPlatformOptions options;
  options.address = aSettings.address();
  options.port = static_cast<std::uint16_t>(aSettings.port());
  options.timeout =
    std::chrono::duration_cast<std::chrono::milliseconds>(ToChrono(aSettings.timeout()));
  return options;
}

HttpServerOptions
ApiOptions(const ControldSettings& aSettings)
{
  HttpServerOptions options;
  options.address = aSettings.vm().address();
  options.port = static_cast<std::uint16_t>(aSettings.api().port());
  options.threads = kApiThreads;
  options.maxBody = kApiMaxBody;
  return options;
}

int
Fail(const char* aEvent, const Error& aError)
{
  Log(LogLevel::kError, aEvent, { { "error", aError.message }, { "remedy", aError.remedy } });
  return kExitFailure;
}

int
Run(const ControldSettings& aSettings)
{
  Metrics metrics;
  HttpPlatform platform(PlatformOptions(aSettings.platform()));
  Controller controller(aSettings, platform, platform, platform, metrics);
  const Result<Done> started = controller.Start();
  if (!IsOk(started)) {
    return Fail("start_failed", ErrorOf(started));
  }
  ResourceApi api(controller, metrics, aSettings.api().operator_token());
  HttpServer server(ApiOptions(aSettings),
                    [&api](const HttpRequest& aRequest) { return api.Handle(aRequest); });
  const Result<Done> listening = server.Start();
  if (!IsOk(listening)) {
    return Fail("listen_failed", ErrorOf(listening));
  }
  Log(LogLevel::kInfo, "started", { { "api_port", aSettings.api().port() } });
  StopSignal::Wait();
  Log(LogLevel::kInfo, "stopping");
  server.BeginDrain();
  api.EndWatches();
  controller.Stop();
  server.Stop(kApiDrain);
  Log(LogLevel::kInfo, "stopped");
  return kExitOk;
}

} // namespace

} // namespace plantainhaven

int
main(int aArgc, char** aArgv)
{
  plantainhaven::StopSignal::Install();
  plantainhaven::ControldSettings settings;
  return plantainhaven::RunDaemon(
    aArgc,
    aArgv,
    "plantain-controld",
    "Holds the configuration and membership of one entry VM and serves the resource API.",
    settings,
    [&settings] { return plantainhaven::Run(settings); });
}
