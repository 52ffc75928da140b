#include "api/answers.h"
#include "plantainhaven/policy/config/configuration.h"
#include "programs/plantainctl/commands.h"

#include <iostream>
#include <sstream>
#include <thread>

namespace plantainhaven::ctl {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kPoll{ 20 };
constexpr milliseconds kPause{ 500 };
// Rounds through all servers without an answer before the watch is given up.
constexpr int kMostFailures = 60;

// Where a watch has come to.
struct Progress
{
  std::optional<std::uint64_t> after;
  std::uint64_t seen = 0;
  int failures = 0;
};

std::string
TargetOf(const Session& aSession, const Progress& aProgress)
{
  std::string target = "/v1/watch?wait=" + std::to_string(kPoll.count());
  if (aProgress.after) {
    target += "&after=" + std::to_string(*aProgress.after);
  }
  if (!aSession.arguments.empty()) {
    target += "&kind=" + aSession.arguments[0];
  }
  return target;
}

void
PrintEvent(const WatchEvent& aEvent)
{
  const std::string revision = std::to_string(aEvent.revision());
  for (const Resource& put : aEvent.puts()) {
    std::cout << revision << " put " << KindOf(put) << ' ' << put.name() << '\n';
  }
  for (const ResourceId& id : aEvent.deletes()) {
    std::cout << revision << " delete " << id.kind() << ' ' << id.name() << '\n';
  }
}

bool
IsFinished(const Session& aSession, const Progress& aProgress)
{
  return aSession.options.count && aProgress.seen >= *aSession.options.count;
}

// Prints the events of one answer and moves on past them.
void
PrintEvents(const Session& aSession, const HttpResponse& aResponse, Progress& aProgress)
{
  std::istringstream lines(aResponse.body);
  for (std::string line; std::getline(lines, line) && !IsFinished(aSession, aProgress);) {
    HttpResponse part;
    part.body = line;
    WatchEvent event;
    if (line.empty() || !ReadBody(part, event)) {
      continue;
    }
    aProgress.after = event.revision();
    const bool empty = event.puts().empty() && event.deletes().empty();
    if (empty) {
      continue;
    }
    ++aProgress.seen;
    if (aSession.options.output == OutputFormat::kJson) {
      std::cout << line << '\n';
    } else {
      PrintEvent(event);
    }
  }
  std::cout.flush();
  if (!aProgress.after) {
    const std::string revision(aResponse.headers.Get(kRevisionHeader));
    aProgress.after = std::strtoull(revision.c_str(), nullptr, 10);
  }
}

} // namespace

ExitCode
WatchChanges(Session& aSession)
{
  Progress progress{ aSession.options.after };
  while (!IsFinished(aSession, progress)) {
    const milliseconds timeout = kPoll + aSession.options.client.timeout;
    const Result<HttpResponse> answer =
      aSession.client.Send(MakeApiRequest("GET", TargetOf(aSession, progress)), timeout);
    const bool reached =
      IsOk(answer) && ExitCodeOf(ValueOf(answer).status) != ExitCode::kUnavailable;
    progress.failures = reached ? 0 : progress.failures + 1;
    if (!reached && progress.failures < kMostFailures) {
      std::this_thread::sleep_for(kPause);
      continue;
    }
    ExitCode exit = ExitCode::kFailure;
    const std::optional<HttpResponse> response = Succeeded(answer, exit);
    if (!response) {
      return exit;
    }
    PrintEvents(aSession, *response, progress);
  }
  return ExitCode::kOk;
}

} // namespace plantainhaven::ctl
