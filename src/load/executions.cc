#include "plantainhaven/load/backend_watch.h"

#include "plantainhaven/http/client.h"

#include <chrono>
#include <optional>
#include <string>
#include <unordered_map>

#include <google/protobuf/util/json_util.h>

#include "backend.pb.h"

namespace plantainhaven {

namespace {

constexpr std::chrono::milliseconds kReadTimeout{ 10000 };

std::optional<ExecutionList>
ReadExecutions(const WatchedServer& aServer)
{
  HttpClientOptions options;
  options.address = aServer.endpoint.address;
  options.port = aServer.endpoint.port;
  HttpConnection connection(options);
  HttpRequest request;
  request.method = "GET";
  request.path = "/executions";
  request.target = "/executions?over=0";
  const auto result = connection.Exchange(request, kReadTimeout);
  const auto* response = std::get_if<HttpResponse>(&result);
  ExecutionList list;
  if (response == nullptr ||
      !google::protobuf::util::JsonStringToMessage(response->body, &list).ok()) {
    return std::nullopt;
  }
  return list;
}

} // namespace

void
CompareExecutions(const Scenario& aScenario,
                  const std::vector<Sample>& aSamples,
                  LoadReport& aReport)
{
  std::unordered_map<std::string, std::uint64_t> counts;
  ExecutionReport& report = *aReport.mutable_executions();
  for (const WatchedServer& server : aScenario.servers) {
    const std::optional<ExecutionList> list = ReadExecutions(server);
    if (!list) {
      continue;
    }
    report.set_executions(report.executions() + list->total());
    for (const Execution& execution : list->executions()) {
      counts[execution.id()] += execution.count();
    }
  }
  for (const Sample& sample : aSamples) {
    const auto count = counts.find(sample.id);
    if (count == counts.end()) {
      continue;
    }
    if (aScenario.requests[sample.request].once && count->second > 1) {
      report.set_more_than_once(report.more_than_once() + 1);
    }
    if (sample.outcome == Outcome::kRefused) {
      report.set_ran_after_not_run(report.ran_after_not_run() + 1);
    }
  }
  aReport.set_executions_checked(true);
}

} // namespace plantainhaven
