#include "plantainhaven/common/log.h"
#include "plantainhaven/common/program.h"
#include "plantainhaven/common/settings.h"
#include "plantainhaven/platform/backend_standin.h"

#include <chrono>
#include <thread>

#include <malloc.h>

#include "settings.pb.h"

namespace plantainhaven {

namespace {

// One heap per thread would make the idle process large.
constexpr int kMostHeaps = 2;

std::chrono::milliseconds
Milliseconds(const google::protobuf::Duration& aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(ToChrono(aDuration));
}

BackendStandinOptions
StandinOptions(const BackendStandinSettings::Server& aServer)
{
  BackendStandinOptions options;
  options.name = aServer.name();
  options.address = aServer.address();
  options.port = static_cast<std::uint16_t>(aServer.port());
  options.slots = aServer.slots();
  options.threads = aServer.threads();
  options.work = Milliseconds(aServer.work());
  options.coldWork = Milliseconds(aServer.cold_work());
  options.coldStart = Milliseconds(aServer.cold_start());
  options.answerBytes = aServer.answer_bytes();
  return options;
}

// Drains, serves on for the set time and stops; the exit status tells whether every
// request was finished.
int
StopGracefully(BackendStandin& aStandin, const BackendStandinSettings::Server& aServer)
{
  Log(LogLevel::kInfo, "draining", { { "server", aServer.name() } });
  aStandin.BeginDrain();
  std::this_thread::sleep_for(ToChrono(aServer.leave_wait()));
  const std::size_t cut = aStandin.Stop(Milliseconds(aServer.drain_timeout()));
  Log(LogLevel::kInfo, "stopped", { { "server", aServer.name() }, { "requests_cut", cut } });
  return cut == 0 ? kExitOk : kExitFailure;
}

int
Run(const BackendStandinSettings& aSettings)
{
  const BackendStandinSettings::Server& settings = aSettings.server();
  BackendStandin standin(StandinOptions(settings));
  if (const Result<Done> started = standin.Start(); !IsOk(started)) {
    const Error& error = ErrorOf(started);
    Log(
      LogLevel::kError, "start_failed", { { "error", error.message }, { "remedy", error.remedy } });
    return kExitFailure;
  }
  Log(LogLevel::kInfo,
      "started",
      { { "server", settings.name() },
        { "address", settings.address() },
        { "port", settings.port() } });
  StopSignal::Wait();
  return StopGracefully(standin, settings);
}

} // namespace

} // namespace plantainhaven

int
main(int aArgc, char** aArgv)
{
  ::mallopt(M_ARENA_MAX, plantainhaven::kMostHeaps);
  plantainhaven::StopSignal::Install();
  plantainhaven::BackendStandinSettings settings;
  return plantainhaven::RunDaemon(aArgc,
                                  aArgv,
                                  "plantain-backend-standin",
                                  "Stands in for a backend server.",
                                  settings,
                                  [&settings] { return plantainhaven::Run(settings); });
}
