#include "programs/plantainctl/commands.h"
#include "programs/plantainctl/exit_codes.h"
#include "programs/plantainctl/options.h"

#include <csignal>
#include <iostream>

namespace plantainhaven::ctl {

namespace {

void
PrintHelp()
{
  std::cout << "plantainctl: reads and changes the resources of a plantainhaven fleet\n\n"
               "Usage: plantainctl [OPTIONS] COMMAND [ARGUMENTS]\n\nCommands:\n"
            << DescribeCommands() << '\n'
            << DescribeOptions() << "\nExit statuses:\n"
            << DescribeExitCodes();
}

ExitCode
Run(int aArgc, const char* const* aArgv)
{
  const Result<Options> options = ParseOptions(aArgc, aArgv);
  if (!IsOk(options)) {
    PrintError(ErrorOf(options));
    return ExitCode::kUsage;
  }
  if (ValueOf(options).help) {
    PrintHelp();
    return ExitCode::kOk;
  }
  if (ValueOf(options).version) {
    std::cout << "plantainctl " << PH_VERSION << '\n';
    return ExitCode::kOk;
  }
  if (ValueOf(options).client.servers.empty()) {
    PrintError(
      { ErrorKind::kInvalid, "no server given", "name one with --server or PLANTAINCTL_SERVER" });
    return ExitCode::kUsage;
  }
  Session session(ValueOf(options));
  return RunCommand(session);
}

} // namespace

} // namespace plantainhaven::ctl

int
main(int aArgc, char** aArgv)
{
  std::signal(SIGPIPE, SIG_IGN);
  return static_cast<int>(plantainhaven::ctl::Run(aArgc, aArgv));
}
