#pragma once

#include <functional>
#include <string>

#include <google/protobuf/message.h>

namespace plantainhaven {

// Exit statuses shared by all daemons.
constexpr int kExitOk = 0;
constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;

// Set by SIGTERM and SIGINT. Wait() returns when a stop was asked for.
class StopSignal
{
public:
  // Blocks SIGTERM and SIGINT in this thread and all threads started later, and
  // ignores SIGPIPE. Call first in main().
  static void Install();
  // True once a stop was asked for. Never blocks.
  static bool IsRequested();
  // Waits until a stop is asked for.
  static void Wait();
};

// The file from which RunDaemon() read the settings; empty before.
const std::string&
SettingsFileName();

// The common frame of a daemon's main: --help, --version, --config FILE, --check.
// Reads and checks the settings into `aSettings`, starts the log and calls `aRun`,
// whose return value becomes the exit status. With --check it stops after the
// check and prints "settings: ok". A usage or settings error prints a message on
// standard error and returns kExitUsage.
int
RunDaemon(int aArgc,
          char** aArgv,
          const std::string& aName,
          const std::string& aSummary,
          google::protobuf::Message& aSettings,
          const std::function<int()>& aRun);

} // namespace plantainhaven
