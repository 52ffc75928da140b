#include "plantainhaven/common/program.h"
#include "plantainhaven/edge/edge_program.h"

#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include "edge.pb.h"

namespace {

// Environment variable in which the platform passes the path of the settings file.
constexpr const char* kSettingsVariable = "PLANTAINHAVEN_SETTINGS";

} // namespace

int
main(int aArgc, char** aArgv)
{
  plantainhaven::PrepareEdge();
  // The platform collects logs from standard output.
  std::clog.rdbuf(std::cout.rdbuf());
  std::vector<char*> arguments(aArgv, aArgv + aArgc);
  std::string option = "--config";
  const char* const file = std::getenv(kSettingsVariable);
  std::string path = file == nullptr ? "" : file;
  if (aArgc == 1 && file != nullptr) {
    arguments.push_back(option.data());
    arguments.push_back(path.data());
  }
  plantainhaven::EdgedSettings settings;
  return plantainhaven::RunDaemon(static_cast<int>(arguments.size()),
                                  arguments.data(),
                                  "plantain-edged",
                                  "Serves callers, look-ups and requests of one VM.",
                                  settings,
                                  [&settings] { return plantainhaven::RunEdge(settings); });
}
