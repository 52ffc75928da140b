#include "plantainhaven/common/log.h"
#include "plantainhaven/common/metrics.h"
#include "plantainhaven/common/program.h"
#include "plantainhaven/common/settings.h"
#include "plantainhaven/http/server.h"
#include "programs/plantain-lookupd/lookup_handler.h"
#include "programs/plantain-lookupd/view_thread.h"

#include <chrono>

#include "settings.pb.h"

namespace plantainhaven {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kConnectionQueue = 1024;
// Lookup requests have no body.
constexpr std::size_t kMaxBody = 1024;
constexpr milliseconds kSocketTimeout{ 1000 };
constexpr milliseconds kDrainTimeout{ 5000 };

HttpServerOptions
ServerOptions(const LookupdSettings& aSettings)
{
  HttpServerOptions options;
  options.address = aSettings.vm().address();
  options.port = static_cast<std::uint16_t>(aSettings.lookup().port());
  options.threads = aSettings.lookup().threads();
  options.queue = kConnectionQueue;
  options.maxBody = kMaxBody;
  options.readTimeout = kSocketTimeout;
  options.writeTimeout = kSocketTimeout;
  options.keepAlive = kSocketTimeout;
  options.refusalHeaders.Add("Plantainhaven-Not-Run", "true");
  options.refusalHeaders.Add("Plantainhaven-Reason", "overload");
  options.refusalHeaders.Add("Retry-After", "1");
  return options;
}

ViewThreadOptions
FollowOptions(const LookupdSettings& aSettings)
{
  using std::chrono::duration_cast;
  ViewThreadOptions options;
  options.address = aSettings.control().address();
  options.port = static_cast<std::uint16_t>(aSettings.control().port());
  options.interval = duration_cast<milliseconds>(ToChrono(aSettings.control().interval()));
  options.lookup.vm = aSettings.vm().name();
  options.lookup.region = aSettings.vm().region();
  options.lookup.ttl = duration_cast<std::chrono::seconds>(ToChrono(aSettings.lookup().ttl()));
  options.lookup.targets = aSettings.lookup().targets();
  return options;
}

int
Serve(const LookupdSettings& aSettings)
{
  Metrics metrics;
  PublishedPolicy policy;
  const LookupHandler handler(policy, metrics);
  HttpServer server(ServerOptions(aSettings),
                    [&](const HttpRequest& aRequest) { return handler.Handle(aRequest); });
  const Result<Done> started = server.Start();
  if (!IsOk(started)) {
    const Error& error = ErrorOf(started);
    Log(
      LogLevel::kError, "start_failed", { { "error", error.message }, { "remedy", error.remedy } });
    return kExitFailure;
  }
  const ViewThread follower(FollowOptions(aSettings), policy, metrics);
  Log(LogLevel::kInfo,
      "started",
      { { "vm", aSettings.vm().name() }, { "port", aSettings.lookup().port() } });
  StopSignal::Wait();
  Log(LogLevel::kInfo, "stopping");
  server.BeginDrain();
  const std::size_t left = server.Stop(kDrainTimeout);
  Log(LogLevel::kInfo, "stopped", { { "requests_cut", left } });
  return left == 0 ? kExitOk : kExitFailure;
}

} // namespace
} // namespace plantainhaven

int
main(int aArgc, char** aArgv)
{
  plantainhaven::StopSignal::Install();
  plantainhaven::LookupdSettings settings;
  return plantainhaven::RunDaemon(
    aArgc, aArgv, "plantain-lookupd", "Tells callers which entry VMs to use.", settings, [&] {
      return plantainhaven::Serve(settings);
    });
}
