#include "programs/plantainctl/commands.h"

#include <algorithm>
#include <limits>
#include <sstream>

namespace plantainhaven::ctl {

namespace {

constexpr std::size_t kAnyNumber = std::numeric_limits<std::size_t>::max();
constexpr std::size_t kHelpColumn = 42;

std::vector<std::string>
SplitWords(const std::string& aText)
{
  std::istringstream input(aText);
  std::vector<std::string> words;
  for (std::string word; input >> word;) {
    words.push_back(word);
  }
  return words;
}

bool
StartsWith(const std::vector<std::string>& aWords, const std::vector<std::string>& aName)
{
  return aWords.size() >= aName.size() && std::equal(aName.begin(), aName.end(), aWords.begin());
}

ExitCode
UsageError(const std::string& aMessage)
{
  PrintError({ ErrorKind::kInvalid, aMessage, "see plantainctl --help" });
  return ExitCode::kUsage;
}

ExitCode
RunWith(const Command& aCommand, Session& aSession)
{
  const std::size_t count = aSession.arguments.size();
  if (count < aCommand.leastArguments || count > aCommand.mostArguments) {
    return UsageError(std::to_string(count) + " arguments, expected: " + aCommand.name + ' ' +
                      aCommand.arguments);
  }
  const bool needsToken = aCommand.run != ShowMetrics && aCommand.run != ShowBeliefs;
  if (needsToken && aSession.options.client.token.empty()) {
    PrintError(
      { ErrorKind::kInvalid, "no token given", "give it with --token or PLANTAINCTL_TOKEN" });
    return ExitCode::kUsage;
  }
  return aCommand.run(aSession);
}

} // namespace

const std::vector<Command>&
Commands()
{
  static const std::vector<Command> kCommands{
    { "get", "KIND NAME", 2, 2, "show one resource", GetResource },
    { "list", "KIND", 1, 1, "show all resources of a kind", ListResources },
    { "apply", "-f FILE...", 0, 0, "write the resources of files, all or none", ApplyFiles },
    { "delete", "KIND NAME", 2, 2, "delete a resource", DeleteResource },
    { "watch", "[KIND]", 0, 1, "print changes as they come", WatchChanges },
    { "key issue", "ACCOUNT", 1, 1, "issue a key, which is shown once", IssueKey },
    { "key withdraw", "NAME", 1, 1, "withdraw a key", WithdrawKey },
    { "drain", "SERVER", 1, 1, "give a backend server no new work", DrainServer },
    { "undrain", "SERVER", 1, 1, "give a backend server work again", UndrainServer },
    { "shift",
      "SERVICE REGION=PERCENT...",
      2,
      kAnyNumber,
      "move a service's traffic to a new split, under its cap",
      ShiftTraffic },
    { "status", "", 0, 0, "show the fleet as one VM sees it", ShowStatus },
    { "metrics", "", 0, 0, "show the metrics of one VM's plantain-controld", ShowMetrics },
    { "beliefs", "", 0, 0, "show what one VM's plantain-edged believes", ShowBeliefs },
  };
  return kCommands;
}

ExitCode
RunCommand(Session& aSession)
{
  const std::vector<std::string>& words = aSession.options.words;
  for (const Command& command : Commands()) {
    const std::vector<std::string> name = SplitWords(command.name);
    if (StartsWith(words, name)) {
      const auto first = words.begin() + static_cast<std::ptrdiff_t>(name.size());
      aSession.arguments.assign(first, words.end());
      return RunWith(command, aSession);
    }
  }
  return UsageError(words.empty() ? "no command given" : "no such command: " + words.front());
}

std::string
DescribeCommands()
{
  std::string text;
  for (const Command& command : Commands()) {
    std::string line = std::string("  ") + command.name + ' ' + command.arguments;
    line.resize(std::max(line.size() + 1, kHelpColumn), ' ');
    text += line + command.help + '\n';
  }
  return text;
}

} // namespace plantainhaven::ctl
