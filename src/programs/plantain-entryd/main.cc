#include "plantainhaven/common/program.h"
#include "plantainhaven/entry/entry_program.h"

#include "settings.pb.h"

int
main(int aArgc, char** aArgv)
{
  plantainhaven::StopSignal::Install();
  plantainhaven::EntrydSettings settings;
  return plantainhaven::RunDaemon(aArgc,
                                  aArgv,
                                  "plantain-entryd",
                                  "Serves callers: authenticates, admits, routes and forwards.",
                                  settings,
                                  [&] { return plantainhaven::RunEntry(settings); });
}
