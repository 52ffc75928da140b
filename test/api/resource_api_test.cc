#include "api/api_fixture.h"

#include <catch2/catch.hpp>

namespace plantainhaven {

TEST_CASE("Only the operator's token opens the API")
{
  struct AuthCase
  {
    std::vector<std::string> authorizations;
    int status;
  };
  const std::string good = std::string("Bearer ") + kToken;
  const AuthCase cases[] = {
    { {}, 401 },
    { { "Bearer " }, 401 },
    { { "Bearer wrong" }, 401 },
    { { good + "x" }, 401 },
    { { std::string("Basic ") + kToken }, 401 },
    { { kToken }, 401 },
    { { good, good }, 401 },
    { { "Bearer wrong", good }, 401 },
    { { good }, 200 },
    { { std::string("bearer ") + kToken }, 200 },
  };
  ApiFixture fixture;
  for (const AuthCase& authCase : cases) {
    HttpRequest request;
    request.method = "GET";
    request.path = "/v1/status";
    for (const std::string& authorization : authCase.authorizations) {
      INFO(authorization);
      request.headers.Add("Authorization", authorization);
    }
    const HttpResponse response = fixture.api.Handle(request);
    CHECK(response.status == authCase.status);
    const bool refused = response.status == 401;
    CHECK(response.headers.Get("WWW-Authenticate") == (refused ? "Bearer" : ""));
  }
}

TEST_CASE("A write without the token changes nothing")
{
  ApiFixture fixture;
  HttpRequest request;
  request.method = "DELETE";
  request.path = "/v1/key/franchise.1";
  CHECK(fixture.api.Handle(request).status == 401);
  CHECK(fixture.Applied() == 1);
}

TEST_CASE("An API without a token lets nobody in")
{
  FakeResourceService service;
  Metrics metrics;
  ResourceApi api(service, metrics, "");
  HttpRequest request;
  request.method = "GET";
  request.path = "/v1/status";
  request.headers.Add("Authorization", "Bearer ");
  CHECK(api.Handle(request).status == 401);
}

TEST_CASE("Metrics are open and count answers")
{
  ApiFixture fixture;
  fixture.Ask("GET", "/v1/nosuch");
  HttpRequest request;
  request.method = "GET";
  request.path = "/metrics";
  const HttpResponse response = fixture.api.Handle(request);
  CHECK(response.status == 200);
  CHECK(response.body.find("plantainhaven_api_answers") != std::string::npos);
  CHECK(fixture.metrics.Counter("plantainhaven_api_answers", "status", "404") == 1);
}

TEST_CASE("Paths and methods")
{
  struct PathCase
  {
    const char* method;
    const char* target;
    int status;
    const char* allow;
  };
  const PathCase cases[] = {
    { "GET", "/v1/status", 200, "" },
    { "GET", "/v1/region", 200, "" },
    { "GET", "/v1/region/kochi", 200, "" },
    { "GET", "/v1/client_block/10.1.2.0_24", 200, "" },
    { "GET", "/v1/region/nosuch", 404, "" },
    { "GET", "/v1/nosuchkind", 404, "" },
    { "GET", "/v1/nosuchkind/x", 404, "" },
    { "GET", "/v1/region/kochi/x", 404, "" },
    { "GET", "/v2/region", 404, "" },
    { "GET", "/", 404, "" },
    { "GET", "/v1/region/", 404, "" },
    { "POST", "/v1/status", 405, "GET" },
    { "POST", "/v1/region/kochi", 405, "GET, PUT, DELETE" },
    { "GET", "/v1/apply", 405, "POST" },
    { "POST", "/v1/region/kochi/keys", 404, "" },
    { "POST", "/v1/region/kochi/drain", 404, "" },
    { "POST", "/v1/client_account/nosuch/keys", 404, "" },
    { "POST", "/v1/backend_server/nosuch/drain", 404, "" },
    { "DELETE", "/v1/region/nosuch", 404, "" },
  };
  ApiFixture fixture;
  for (const PathCase& pathCase : cases) {
    CAPTURE(pathCase.method, pathCase.target);
    const HttpResponse response = fixture.Ask(pathCase.method, pathCase.target);
    CHECK(response.status == pathCase.status);
    CHECK(response.headers.Get("Allow") == pathCase.allow);
  }
  CHECK(fixture.Applied() == 1);
}

TEST_CASE("Reads tell the revision and the version")
{
  ApiFixture fixture;
  const HttpResponse one = fixture.Ask("GET", "/v1/service/portal");
  CHECK(one.headers.Get("Plantainhaven-Revision") == "1");
  CHECK(one.headers.Get("ETag") == "\"1\"");
  CHECK(FromJson<Resource>(one.body).service().max_attempts() == 3);
  CHECK(one.body.find("max_attempts") != std::string::npos);
  const HttpResponse list = fixture.Ask("GET", "/v1/region");
  CHECK(list.headers.Get("Plantainhaven-Revision") == "1");
  const auto regions = FromJson<ResourceList>(list.body);
  REQUIRE(regions.resources_size() == 3);
  CHECK(regions.resources(0).name() == "kochi");
  CHECK(regions.resources(2).name() == "unused");
}

TEST_CASE("The service's result decides the status")
{
  struct StatusCase
  {
    ErrorKind kind;
    int status;
    const char* error;
    bool namesChangeId;
  };
  const StatusCase cases[] = {
    { ErrorKind::kInvalid, 400, "invalid", false },
    { ErrorKind::kNotFound, 404, "not_found", false },
    { ErrorKind::kConflict, 409, "conflict", false },
    { ErrorKind::kUnavailable, 503, "unavailable", false },
    { ErrorKind::kUnknown, 504, "unknown", true },
    { ErrorKind::kTimeout, 504, "timeout", true },
    { ErrorKind::kInternal, 500, "internal", false },
  };
  for (const StatusCase& statusCase : cases) {
    CAPTURE(statusCase.error);
    ApiFixture fixture;
    fixture.service.failures = { { statusCase.kind, "message", "remedy", "field" } };
    const HttpResponse response = fixture.Ask("PUT",
                                              "/v1/client_account/franchise",
                                              AccountBody(1),
                                              { { "Plantainhaven-Change-Id", "id-7" } });
    CHECK(response.status == statusCase.status);
    CHECK(response.headers.Get("Plantainhaven-Change-Id") == "id-7");
    const ErrorAnswer answer = ErrorIn(response);
    CHECK(answer.error() == statusCase.error);
    CHECK(answer.message().find("message") != std::string::npos);
    CHECK((answer.message().find("id-7") != std::string::npos) == statusCase.namesChangeId);
    CHECK((answer.remedy().find("id-7") != std::string::npos) == statusCase.namesChangeId);
    CHECK_FALSE(answer.remedy().empty());
  }
}

TEST_CASE("A write that isn't accepted in time is answered 202 with the missing VMs")
{
  ApiFixture fixture;
  fixture.service.accepts = GENERATE(true, false);
  const HttpResponse response = fixture.Ask("PUT", "/v1/client_account/new", AccountBody(1));
  CHECK(response.status == (fixture.service.accepts ? 200 : 202));
  CHECK(response.headers.Get("Plantainhaven-Revision") == "2");
  const auto outcome = FromJson<WriteOutcome>(response.body);
  CHECK(outcome.accepted() == fixture.service.accepts);
  CHECK(outcome.missing_vms_size() == (fixture.service.accepts ? 0 : 1));
  CHECK(outcome.change_id() == response.headers.Get("Plantainhaven-Change-Id"));
}

TEST_CASE("Of two writes with one version exactly one wins")
{
  ApiFixture fixture;
  const std::vector<HttpHeader> match{ { "If-Match", "\"1\"" } };
  const auto put = [&](double aRate) {
    return fixture.Ask("PUT", "/v1/client_account/franchise", AccountBody(aRate), match);
  };
  CHECK(put(11).status == 200);
  const HttpResponse lost = put(12);
  CHECK(lost.status == 409);
  const ErrorAnswer answer = ErrorIn(lost);
  CHECK(answer.current().version() == 2);
  CHECK(answer.current().client_account().rate() == 11);
  CHECK(fixture.Applied() == 2);
}

TEST_CASE("Versions demanded by headers and bodies")
{
  struct VersionCase
  {
    const char* method;
    const char* name;
    std::vector<HttpHeader> headers;
    const char* version;
    int status;
  };
  const VersionCase cases[] = {
    { "PUT", "franchise", { { "If-Match", "1" } }, "0", 200 },
    { "PUT", "franchise", { { "If-Match", "\"1\"" } }, "1", 200 },
    { "PUT", "franchise", {}, "1", 200 },
    { "PUT", "franchise", {}, "7", 409 },
    { "PUT", "franchise", { { "If-Match", "7" } }, "0", 409 },
    { "PUT", "franchise", { { "If-Match", "1" } }, "7", 400 },
    { "PUT", "franchise", { { "If-Match", "x" } }, "0", 400 },
    { "PUT", "franchise", { { "If-Match", "-1" } }, "0", 400 },
    { "PUT", "franchise", { { "If-None-Match", "*" } }, "0", 409 },
    { "PUT", "franchise", { { "If-None-Match", "1" } }, "0", 400 },
    { "PUT", "franchise", { { "If-Match", "1" }, { "If-None-Match", "*" } }, "0", 400 },
    { "PUT", "new", { { "If-None-Match", "*" } }, "0", 200 },
    { "PUT", "new", { { "If-Match", "1" } }, "0", 409 },
    { "DELETE", "idle", { { "If-Match", "\"1\"" } }, "", 200 },
    { "DELETE", "idle", { { "If-Match", "\"2\"" } }, "", 409 },
    { "DELETE", "idle", {}, "", 200 },
    { "DELETE", "franchise", {}, "", 400 },
  };
  for (const VersionCase& versionCase : cases) {
    ApiFixture fixture;
    CAPTURE(versionCase.method, versionCase.name, versionCase.version);
    const bool deletes = versionCase.method == std::string("DELETE");
    const std::string name = deletes && versionCase.name == std::string("idle")
                               ? "region/unused"
                               : std::string("client_account/") + versionCase.name;
    const std::string body = R"({"version": ")" + std::string(versionCase.version) +
                             R"(", "client_account": {"rate": 1, "burst": 1}})";
    const HttpResponse response =
      fixture.Ask(versionCase.method, "/v1/" + name, deletes ? "" : body, versionCase.headers);
    INFO(response.body);
    CHECK(response.status == versionCase.status);
    CHECK(fixture.Applied() == (versionCase.status == 200 ? 2 : 1));
  }
}

TEST_CASE("A body that isn't the resource of the path is refused with its field")
{
  struct BodyCase
  {
    const char* body;
    const char* field;
    const char* message;
  };
  const BodyCase cases[] = {
    { "", "", "Resource" },
    { "{", "", "Resource" },
    { R"({"client_account": {"rate": 1, "burst": 1, "zone": "x"}})", "zone", "zone" },
    { R"({"client_account": {"rate": 1, "burst": 1}, "extra": 1})", "extra", "extra" },
    { R"({"client_account": {"rate": "fast", "burst": 1}})", "", "fast" },
    { R"({"name": "y", "client_account": {"rate": 1, "burst": 1}})", "name", "\"x\" as in" },
    { R"({"region": {"failure_domains": ["a"]}})", "client_account", "\"region\"" },
    { R"({"client_account": {"rate": 1}})", "client_account.burst", "burst is 0" },
  };
  for (const BodyCase& bodyCase : cases) {
    ApiFixture fixture;
    INFO(bodyCase.body);
    const HttpResponse response = fixture.Ask("PUT", "/v1/client_account/x", bodyCase.body);
    INFO(response.body);
    CHECK(response.status == 400);
    CHECK(ErrorIn(response).field() == bodyCase.field);
    CHECK(ErrorIn(response).message().find(bodyCase.message) != std::string::npos);
    CHECK_FALSE(ErrorIn(response).remedy().empty());
    CHECK(fixture.Applied() == 1);
  }
}

TEST_CASE("An apply writes all or nothing")
{
  ApiFixture fixture;
  const std::string good = R"({"name": "new", "client_account": {"rate": 1, "burst": 1}})";
  const std::string faulty = R"({"name": "k", "key": {"client_account": "nosuch", "digest": "0"}})";
  const HttpResponse refused =
    fixture.Ask("POST", "/v1/apply", R"({"resources": [)" + good + "," + faulty + "]}");
  CHECK(refused.status == 400);
  CHECK(ErrorIn(refused).field() == "key.client_account");
  CHECK(fixture.Ask("GET", "/v1/client_account/new").status == 404);
  CHECK(fixture.Ask("POST", "/v1/apply", "{}").status == 400);
  CHECK(fixture.Applied() == 1);
  const HttpResponse applied = fixture.Ask(
    "POST",
    "/v1/apply",
    R"({"resources": [)" + good + R"(], "deletes": [{"kind": "region", "name": "unused"}]})");
  CHECK(applied.status == 200);
  CHECK(fixture.Applied() == 2);
}

TEST_CASE("A change id is passed on, and a faulty one refused")
{
  struct IdCase
  {
    std::string id;
    int status;
  };
  const IdCase cases[] = {
    { "a-1_B.c", 200 },
    { std::string(128, 'a'), 200 },
    { std::string(129, 'a'), 400 },
    { "a b", 400 },
    { "a/b", 400 },
  };
  for (const IdCase& idCase : cases) {
    CAPTURE(idCase.id);
    ApiFixture fixture;
    const HttpResponse response = fixture.Ask("PUT",
                                              "/v1/client_account/new",
                                              AccountBody(1),
                                              { { "Plantainhaven-Change-Id", idCase.id } });
    CHECK(response.status == idCase.status);
    const bool accepted = idCase.status == 200;
    CHECK(fixture.service.changeIds.size() == (accepted ? 1 : 0));
    CHECK((!accepted || fixture.service.changeIds.front() == idCase.id));
  }
}

} // namespace plantainhaven
