#pragma once

#include <functional>
#include <string>

#include <google/protobuf/message.h>

namespace plantainhaven {

// Exit statuses shared by all daemons.
constexpr int kExitOk = 0;
constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;

// The request to stop this process, set by SIGTERM and SIGINT.
class StopSignal
{
public:
  // Blocks SIGTERM and SIGINT in this thread and in all threads that it starts later,
  // and ignores SIGPIPE. Call first in main().
  static void Install();
  // Returns true once a stop signal has been received. Never blocks.
  static bool IsRequested();
  // Blocks until a stop signal has been received.
  static void Wait();
};

// Returns the path of the file from which RunDaemon() read the settings; empty before.
const std::string&
SettingsFileName();

// Implements the common part of a daemon's main(): the options --help, --version,
// --config FILE and --check. Reads and checks the settings into `aSettings`, starts
// the log and calls `aRun`, whose return value becomes the exit status. With --check,
// prints "settings: ok" after the check and returns without calling `aRun`. After a
// usage or settings error, prints a message to standard error and returns kExitUsage.
int
RunDaemon(int aArgc,
          char** aArgv,
          const std::string& aName,
          const std::string& aSummary,
          google::protobuf::Message& aSettings,
          const std::function<int()>& aRun);

} // namespace plantainhaven
