#pragma once

#include "api/fake_resource_service.h"
#include "plantainhaven/api/resource_api.h"

#include <string>

namespace plantainhaven {

constexpr const char* kToken = "operator-token";

// An API over a fake service, asked without a network.
struct ApiFixture
{
  HttpResponse Ask(const std::string& aMethod,
                   const std::string& aTarget,
                   const std::string& aBody = {},
                   std::vector<HttpHeader> aHeaders = {})
  {
    HttpRequest request;
    request.method = aMethod;
    request.target = aTarget;
    request.path = aTarget.substr(0, aTarget.find('?'));
    request.body = aBody;
    request.headers.Add("Authorization", std::string("Bearer ") + kToken);
    for (HttpHeader& header : aHeaders) {
      request.headers.Add(std::move(header.name), std::move(header.value));
    }
    return this->api.Handle(request);
  }

  Revision Applied() const
  {
    Revision revision = 0;
    this->service.Read(
      [&](const Configuration& aConfiguration) { revision = aConfiguration.AppliedRevision(); });
    return revision;
  }

  FakeResourceService service;
  Metrics metrics;
  ResourceApi api{ service, metrics, kToken, 2 };
};

inline ErrorAnswer
ErrorIn(const HttpResponse& aResponse)
{
  return FromJson<ErrorAnswer>(aResponse.body);
}

// A client account as the body of a put.
inline std::string
AccountBody(double aRate)
{
  return R"({"client_account": {"rate": )" + std::to_string(aRate) + R"(, "burst": 5}})";
}

} // namespace plantainhaven
