#include "api/api_fixture.h"
#include "plantainhaven/common/digest.h"

#include <catch2/catch.hpp>

namespace plantainhaven {

namespace {

constexpr const char* kIssuePath = "/v1/client_account/franchise/keys";
constexpr const char* kDrainPath = "/v1/backend_server/portal-1/drain";

const Error kConflict{ ErrorKind::kConflict, "raced", "again" };

bool
IsDraining(ApiFixture& aFixture)
{
  const HttpResponse response = aFixture.Ask("GET", "/v1/backend_server/portal-1");
  return FromJson<Resource>(response.body).backend_server().draining();
}

} // namespace

TEST_CASE("An issued key is shown once and only its digest is kept")
{
  ApiFixture fixture;
  const HttpResponse response = fixture.Ask("POST", kIssuePath);
  REQUIRE(response.status == 200);
  CHECK(response.headers.Get("Cache-Control") == "no-store");
  const auto issued = FromJson<IssuedKey>(response.body);
  CHECK(issued.key().size() == 64);
  CHECK(issued.name().rfind("franchise.", 0) == 0);
  CHECK(issued.outcome().accepted());
  const HttpResponse stored = fixture.Ask("GET", "/v1/key/" + issued.name());
  const auto key = FromJson<Resource>(stored.body).key();
  CHECK(key.digest() == Sha256Hex(issued.key()));
  CHECK(key.client_account() == "franchise");
  for (const char* target : { "/v1/key", "/v1/watch?after=0&wait=0", "/v1/status", "/metrics" }) {
    CAPTURE(target);
    CHECK(fixture.Ask("GET", target).body.find(issued.key()) == std::string::npos);
  }
  CHECK(FromJson<IssuedKey>(fixture.Ask("POST", kIssuePath).body).key() != issued.key());
}

TEST_CASE("A key whose outcome is unknown is not shown")
{
  ApiFixture fixture;
  fixture.service.failures = { { ErrorKind::kUnknown, "lost", "again" } };
  const HttpResponse response = fixture.Ask("POST", kIssuePath);
  CHECK(response.status == 504);
  CHECK(response.body.find("\"key\"") == std::string::npos);
}

TEST_CASE("Repeating an issue that took effect doesn't show a key that isn't in force")
{
  ApiFixture fixture;
  const std::vector<HttpHeader> id{ { "Plantainhaven-Change-Id", "issue-1" } };
  const auto first = FromJson<IssuedKey>(fixture.Ask("POST", kIssuePath, "", id).body);
  const HttpResponse second = fixture.Ask("POST", kIssuePath, "", id);
  CHECK(second.status == 409);
  CHECK(ErrorIn(second).message().find(first.name()) != std::string::npos);
  CHECK(fixture.Applied() == 2);
}

TEST_CASE("A key that can't be seen in its change is not shown")
{
  ApiFixture fixture;
  fixture.service.oldestKept = 100;
  const HttpResponse response =
    fixture.Ask("POST", kIssuePath, "", { { "Plantainhaven-Change-Id", "issue-1" } });
  CHECK(response.status == 504);
  CHECK(ErrorIn(response).remedy().find("franchise.") != std::string::npos);
  CHECK(response.body.find("\"key\"") == std::string::npos);
}

TEST_CASE("A withdrawn key is gone")
{
  ApiFixture fixture;
  CHECK(fixture.Ask("DELETE", "/v1/key/franchise.1").status == 200);
  CHECK(fixture.Ask("GET", "/v1/key/franchise.1").status == 404);
}

TEST_CASE("Drain and undrain set the server's state")
{
  ApiFixture fixture;
  CHECK(fixture.Ask("POST", kDrainPath).status == 200);
  CHECK(IsDraining(fixture));
  CHECK(fixture.Ask("POST", "/v1/backend_server/portal-1/undrain").status == 200);
  CHECK_FALSE(IsDraining(fixture));
}

TEST_CASE("A drain that lost a race is repeated on the newer state")
{
  ApiFixture fixture;
  // The write that comes first lands between the drain's own read and write.
  fixture.service.beforeWrite = [&] {
    auto server = FromJson<Resource>(fixture.Ask("GET", "/v1/backend_server/portal-1").body);
    server.mutable_backend_server()->set_slots(77);
    std::string body;
    google::protobuf::util::MessageToJsonString(server, &body);
    CHECK(fixture.Ask("PUT", "/v1/backend_server/portal-1", body).status == 200);
  };
  CHECK(fixture.Ask("POST", kDrainPath).status == 200);
  CHECK(IsDraining(fixture));
  const HttpResponse response = fixture.Ask("GET", "/v1/backend_server/portal-1");
  CHECK(FromJson<Resource>(response.body).backend_server().slots() == 77);
}

TEST_CASE("A drain that loses every race gives up with a conflict")
{
  ApiFixture fixture;
  fixture.service.failures = std::deque<Error>(100, kConflict);
  CHECK(fixture.Ask("POST", kDrainPath).status == 409);
  CHECK(fixture.service.changeIds.size() == 5);
  CHECK_FALSE(IsDraining(fixture));
}

} // namespace plantainhaven
