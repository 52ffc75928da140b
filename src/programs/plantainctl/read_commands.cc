#include "programs/plantainctl/commands.h"
#include "programs/plantainctl/output.h"

#include <functional>
#include <iostream>

namespace plantainhaven::ctl {

namespace {

// Fetches a target and prints its body as JSON, or as `aPrint` shows it.
template<typename Message>
ExitCode
FetchAndPrint(Session& aSession,
              const std::string& aTarget,
              const std::function<std::string(const Message&)>& aPrint)
{
  ExitCode exit = ExitCode::kFailure;
  const std::optional<HttpResponse> response = Fetch(aSession, aTarget, exit);
  if (!response) {
    return exit;
  }
  Message message;
  if (aSession.options.output == OutputFormat::kJson) {
    std::cout << response->body << '\n';
  } else if (ReadBody(*response, message)) {
    std::cout << aPrint(message);
  } else {
    PrintError({ ErrorKind::kInternal,
                 "the answer isn't a " + message.GetDescriptor()->name() + " in JSON",
                 "ask again with -o json to see it" });
    return ExitCode::kFailure;
  }
  return exit;
}

} // namespace

ExitCode
GetResource(Session& aSession)
{
  return FetchAndPrint<Resource>(
    aSession, "/v1/" + aSession.arguments[0] + '/' + aSession.arguments[1], ResourceText);
}

ExitCode
ListResources(Session& aSession)
{
  const std::string& kind = aSession.arguments[0];
  return FetchAndPrint<ResourceList>(
    aSession, "/v1/" + kind, [&](const ResourceList& aList) { return ResourceTable(kind, aList); });
}

ExitCode
ShowStatus(Session& aSession)
{
  return FetchAndPrint<FleetStatus>(aSession, "/v1/status", StatusText);
}

ExitCode
ShowMetrics(Session& aSession)
{
  ExitCode exit = ExitCode::kFailure;
  if (const std::optional<HttpResponse> response = Fetch(aSession, "/metrics", exit)) {
    std::cout << response->body;
  }
  return exit;
}

ExitCode
ShowBeliefs(Session& aSession)
{
  ExitCode exit = ExitCode::kFailure;
  if (const std::optional<HttpResponse> response = Fetch(aSession, "/state", exit)) {
    std::cout << response->body;
  }
  return exit;
}

} // namespace plantainhaven::ctl
