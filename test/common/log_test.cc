#include "plantainhaven/common/log.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace plantainhaven {
namespace {

// Runs a function in a child process and returns the exit status of the child.
int
StatusOf(void (*aRun)())
{
  const pid_t child = ::fork();
  if (child == 0) {
    // Catch2's signal handler would report an abort as a failed test.
    std::signal(SIGABRT, SIG_DFL);
    ::dup2(::open("/dev/null", O_WRONLY), STDERR_FILENO);
    ::dup2(STDERR_FILENO, STDOUT_FILENO);
    aRun();
    std::exit(0);
  }
  int status = -1;
  ::waitpid(child, &status, 0);
  return status;
}

void
Flood()
{
  StartLog("log_test", "info");
  for (int i = 0; i < 1000; ++i) {
    Log(LogLevel::kInfo, "flood", { { "line", i } });
  }
}

// Guards against an abort at process exit when counts of suppressed lines hadn't been
// written yet; found in a soak test.
TEST_CASE("A process with suppressed log lines exits cleanly")
{
  struct Case
  {
    const char* name;
    void (*run)();
  };
  const Case cases[] = {
    { "log stopped first",
      [] {
        Flood();
        StopLog();
      } },
    { "log stopped twice",
      [] {
        Flood();
        StopLog();
        StopLog();
      } },
    { "log not stopped", Flood },
    { "lines after the stop",
      [] {
        Flood();
        StopLog();
        Log(LogLevel::kInfo, "late");
      } },
  };
  for (const Case& entry : cases) {
    CAPTURE(entry.name);
    CHECK(StatusOf(entry.run) == 0);
  }
}

} // namespace
} // namespace plantainhaven
