#include "plantainhaven/common/program.h"

#include "plantainhaven/common/log.h"
#include "plantainhaven/common/settings.h"
#include "plantainhaven/common/version.h"

#include <atomic>
#include <csignal>
#include <iostream>

#include <boost/program_options.hpp>

namespace plantainhaven {

namespace {

namespace options = boost::program_options;
using google::protobuf::Message;

// Interval at which Wait() checks whether another thread has received the signal.
constexpr std::chrono::milliseconds kSignalPollInterval{ 200 };
constexpr long kNanosecondsPerMillisecond = 1'000'000;

std::atomic<bool> sStopRequested = false;

sigset_t
StopSignals()
{
  sigset_t signals;
  ::sigemptyset(&signals);
  ::sigaddset(&signals, SIGTERM);
  ::sigaddset(&signals, SIGINT);
  return signals;
}

// Waits at most `aTimeout` for a stop signal. Returns true when this or any other thread has
// received one.
bool
WaitForStopSignal(std::chrono::milliseconds aTimeout)
{
  const sigset_t signals = StopSignals();
  const timespec timeout{ 0, static_cast<long>(aTimeout.count()) * kNanosecondsPerMillisecond };
  if (::sigtimedwait(&signals, nullptr, &timeout) > 0) {
    sStopRequested.store(true);
  }
  return sStopRequested.load();
}

options::options_description
CommandLineOptions()
{
  options::options_description description("Options");
  auto add = description.add_options();
  add("help,h", "print this help");
  add("version", "print the version");
  add("config,c", options::value<std::string>(), "INI file with the settings");
  add("check", "check the settings, then exit");
  return description;
}

int
UsageError(const std::string& aName, const std::string& aMessage, const std::string& aRemedy)
{
  std::cerr << aName << ": " << aMessage << ". " << aRemedy << '\n';
  return kExitUsage;
}

void
PrintHelp(const std::string& aName, const std::string& aSummary, const Message& aSettings)
{
  std::cout << "Usage: " << aName << " --config FILE [--check]\n"
            << aSummary << "\n\n"
            << CommandLineOptions() << "\nSettings:\n"
            << DescribeSettings(aSettings);
}

std::string
LogLevelOf(const Message& aSettings)
{
  const auto* logField = aSettings.GetDescriptor()->FindFieldByName("log");
  if (logField == nullptr || logField->message_type() == nullptr) {
    return "info";
  }
  const auto* level = logField->message_type()->FindFieldByName("level");
  const Message& section = aSettings.GetReflection()->GetMessage(aSettings, logField);
  return level == nullptr ? "info" : section.GetReflection()->GetString(section, level);
}

std::string&
SharedFileName()
{
  static std::string sFileName;
  return sFileName;
}

int
RunWithSettings(const std::string& aName,
                const options::variables_map& aGiven,
                Message& aSettings,
                const std::function<int()>& aRun)
{
  if (aGiven.count("config") == 0) {
    return UsageError(aName, "expected --config FILE, found none", "Try --help.");
  }
  const auto result = ReadSettingsFile(aGiven["config"].as<std::string>(), aSettings);
  if (!IsOk(result)) {
    return UsageError(aName, ErrorOf(result).message, ErrorOf(result).remedy);
  }
  if (aGiven.count("check") != 0) {
    std::cout << "settings: ok\n";
    return kExitOk;
  }
  SharedFileName() = aGiven["config"].as<std::string>();
  StartLog(aName, LogLevelOf(aSettings));
  const int status = aRun();
  StopLog();
  return status;
}

} // namespace

const std::string&
SettingsFileName()
{
  return SharedFileName();
}

void
StopSignal::Install()
{
  const sigset_t signals = StopSignals();
  ::pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

bool
StopSignal::IsRequested()
{
  return sStopRequested.load() || WaitForStopSignal(std::chrono::milliseconds::zero());
}

void
StopSignal::Wait()
{
  while (!sStopRequested.load() && !WaitForStopSignal(kSignalPollInterval)) {
  }
}

int
RunDaemon(int aArgc,
          char** aArgv,
          const std::string& aName,
          const std::string& aSummary,
          Message& aSettings,
          const std::function<int()>& aRun)
{
  options::variables_map given;
  try {
    // The parser stores pointers to both objects, so they must outlive it.
    const options::options_description known = CommandLineOptions();
    const options::positional_options_description noPositions;
    options::command_line_parser parser(aArgc, aArgv);
    parser.options(known).positional(noPositions);
    options::store(parser.run(), given);
  } catch (const options::error& error) {
    return UsageError(aName, error.what(), "Try --help.");
  }
  if (given.count("help") != 0) {
    PrintHelp(aName, aSummary, aSettings);
    return kExitOk;
  }
  if (given.count("version") != 0) {
    std::cout << aName << ' ' << kVersion << '\n';
    return kExitOk;
  }
  return RunWithSettings(aName, given, aSettings, aRun);
}

} // namespace plantainhaven
