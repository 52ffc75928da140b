#pragma once

#include "programs/plantainctl/session.h"

#include <string>
#include <vector>

namespace plantainhaven::ctl {

// One command: the words that name it, its arguments as the help shows them, how
// many there may be, and what runs it.
struct Command
{
  const char* name;
  const char* arguments;
  std::size_t leastArguments;
  std::size_t mostArguments;
  const char* help;
  ExitCode (*run)(Session&);
};

// All commands in the order of the help.
const std::vector<Command>&
Commands();

// Finds the command that the command line's words name, checks the number of its arguments
// and runs it.
ExitCode
RunCommand(Session& aSession);

// One line for each command.
std::string
DescribeCommands();

// --- What the commands do ----------------------------------------------------

ExitCode
GetResource(Session& aSession);
ExitCode
ListResources(Session& aSession);
ExitCode
ShowStatus(Session& aSession);
ExitCode
ShowMetrics(Session& aSession);
ExitCode
ShowBeliefs(Session& aSession);
ExitCode
ApplyFiles(Session& aSession);
ExitCode
DeleteResource(Session& aSession);
ExitCode
IssueKey(Session& aSession);
ExitCode
WithdrawKey(Session& aSession);
ExitCode
DrainServer(Session& aSession);
ExitCode
UndrainServer(Session& aSession);
ExitCode
ShiftTraffic(Session& aSession);
ExitCode
WatchChanges(Session& aSession);

} // namespace plantainhaven::ctl
