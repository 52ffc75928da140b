#include "plantainhaven/common/log.h"
#include "plantainhaven/common/program.h"
#include "plantainhaven/common/settings.h"
#include "plantainhaven/platform/memory_platform.h"
#include "plantainhaven/platform/platform_server.h"

#include <chrono>

#include "settings.pb.h"

namespace plantainhaven {

namespace {

constexpr std::chrono::seconds kStopTimeout{ 5 };

std::chrono::milliseconds
Milliseconds(const google::protobuf::Duration& aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(ToChrono(aDuration));
}

PlatformServerOptions
ServerOptions(const PlatformStandinSettings::Listen& aListen)
{
  PlatformServerOptions options;
  options.address = aListen.address();
  options.port = static_cast<std::uint16_t>(aListen.port());
  options.threads = aListen.threads();
  options.answerDelay = Milliseconds(aListen.answer_delay());
  return options;
}

int
Run(const PlatformStandinSettings& aSettings)
{
  const PlatformStandinSettings::Listen& listen = aSettings.listen();
  MemoryPlatform platform;
  platform.SetVmListLag(Milliseconds(listen.vm_list_lag()));
  PlatformServer server(ServerOptions(listen), platform);
  if (const Result<Done> started = server.Start(); !IsOk(started)) {
    const Error& error = ErrorOf(started);
    Log(
      LogLevel::kError, "start_failed", { { "error", error.message }, { "remedy", error.remedy } });
    return kExitFailure;
  }
  Log(LogLevel::kInfo, "started", { { "address", listen.address() }, { "port", listen.port() } });
  StopSignal::Wait();
  server.Stop(kStopTimeout);
  Log(LogLevel::kInfo, "stopped");
  return kExitOk;
}

} // namespace

} // namespace plantainhaven

int
main(int aArgc, char** aArgv)
{
  plantainhaven::StopSignal::Install();
  plantainhaven::PlatformStandinSettings settings;
  return plantainhaven::RunDaemon(aArgc,
                                  aArgv,
                                  "plantain-platform-standin",
                                  "Stands in for the platform's table, object store and VM list.",
                                  settings,
                                  [&settings] { return plantainhaven::Run(settings); });
}
