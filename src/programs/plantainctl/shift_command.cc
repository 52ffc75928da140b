#include "api/answers.h"
#include "plantainhaven/common/settings.h"
#include "programs/plantainctl/commands.h"

#include <charconv>

namespace plantainhaven::ctl {

namespace {

// Adds the weight that REGION=PERCENT states.
Result<Done>
AddWeight(const std::string& aText, TrafficPolicy& aPolicy)
{
  const std::size_t equals = aText.find('=');
  const char* end = aText.data() + aText.size();
  double percent = 0;
  const char* begin = equals == std::string::npos ? end : aText.data() + equals + 1;
  const auto [stop, error] = std::from_chars(begin, end, percent);
  if (error != std::errc{} || stop != end || equals == 0) {
    return Error{ ErrorKind::kInvalid,
                  "\"" + aText + "\", expected REGION=PERCENT",
                  "write for example kochi=60 kozhikode=40" };
  }
  TrafficPolicy::Weight& weight = *aPolicy.add_weights();
  weight.set_region(aText.substr(0, equals));
  weight.set_percent(percent);
  return Done{};
}

// The service's policy as it is now; a new one without version when there is none.
std::optional<Resource>
CurrentPolicy(Session& aSession, const std::string& aService, ExitCode& aExit)
{
  const std::optional<HttpResponse> response = Fetch(aSession, "/v1/traffic_policy", aExit);
  ResourceList list;
  if (!response || !ReadBody(*response, list)) {
    return std::nullopt;
  }
  for (const Resource& resource : list.resources()) {
    if (resource.traffic_policy().service() == aService) {
      return resource;
    }
  }
  Resource created;
  created.set_name(aService);
  created.mutable_traffic_policy()->set_service(aService);
  return created;
}

// Puts the options' cap and interval into a policy; both are needed for a new one.
Result<Done>
SetCap(const Options& aOptions, TrafficPolicy& aPolicy)
{
  if (aOptions.cap) {
    aPolicy.set_cap_points(*aOptions.cap);
  }
  if (aOptions.interval) {
    *aPolicy.mutable_interval() = FromChrono(*aOptions.interval);
  }
  if (aPolicy.cap_points() > 0 && aPolicy.has_interval()) {
    return Done{};
  }
  return Error{ ErrorKind::kInvalid,
                "service \"" + aPolicy.service() + "\" has no traffic policy yet",
                "state its cap too, for example --cap 5 --interval 10s" };
}

Result<Done>
ChangePolicy(const Session& aSession, TrafficPolicy& aPolicy)
{
  aPolicy.clear_weights();
  for (std::size_t index = 1; index < aSession.arguments.size(); ++index) {
    if (Result<Done> added = AddWeight(aSession.arguments[index], aPolicy); !IsOk(added)) {
      return added;
    }
  }
  return SetCap(aSession.options, aPolicy);
}

} // namespace

ExitCode
ShiftTraffic(Session& aSession)
{
  ExitCode exit = ExitCode::kFailure;
  std::optional<Resource> policy = CurrentPolicy(aSession, aSession.arguments[0], exit);
  if (!policy) {
    return exit;
  }
  const Result<Done> changed = ChangePolicy(aSession, *policy->mutable_traffic_policy());
  if (!IsOk(changed)) {
    PrintError(ErrorOf(changed));
    return ExitCode::kUsage;
  }
  const std::string target = "/v1/traffic_policy/" + policy->name();
  HttpRequest request = MakeApiRequest("PUT", target, ToJson(*policy));
  if (policy->version() == 0) {
    request.headers.Add("If-None-Match", "*");
  }
  return WriteAndPrint(aSession, std::move(request));
}

} // namespace plantainhaven::ctl
