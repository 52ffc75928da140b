#include "api/api_fixture.h"
#include "plantainhaven/api/client.h"
#include "plantainhaven/http/server.h"

#include <atomic>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>

namespace plantainhaven {

namespace {

// A port that nothing listens on now.
std::uint16_t
FreePort()
{
  const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  bind(descriptor, reinterpret_cast<sockaddr*>(&address), size);
  getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
  close(descriptor);
  return ntohs(address.sin_port);
}

HttpServerOptions
ServerOptions()
{
  HttpServerOptions options;
  options.address = "127.0.0.1";
  options.port = FreePort();
  options.threads = 2;
  return options;
}

// One VM's API. `spoil` may change an answer after the call took effect.
struct ApiVm
{
  explicit ApiVm(ResourceApi& aApi)
    : options(ServerOptions())
    , server(this->options, [this, &aApi](const HttpRequest& aRequest) {
      ++this->calls;
      HttpResponse response = aApi.Handle(aRequest);
      if (this->spoil) {
        this->spoil(response);
      }
      return response;
    })
  {
    REQUIRE(IsOk(this->server.Start()));
  }

  ApiServer Address() const { return { this->options.address, this->options.port }; }

  std::function<void(HttpResponse&)> spoil;
  std::atomic<int> calls = 0;
  HttpServerOptions options;
  HttpServer server;
};

// Cuts the connection instead of giving the answer.
void
LoseAnswer(HttpResponse& aResponse)
{
  aResponse.source = [](std::string& aPiece, bool& aAbort) {
    aPiece = "{";
    aAbort = true;
    return false;
  };
}

void
AnswerUnavailable(HttpResponse& aResponse)
{
  aResponse.status = 503;
}

void
AnswerUnknown(HttpResponse& aResponse)
{
  aResponse.status = 504;
}

HttpRequest
PutRequest()
{
  return MakeApiRequest("PUT", "/v1/client_account/new", AccountBody(1));
}

} // namespace

TEST_CASE("A server that can't be reached is passed over and not tried first again")
{
  ApiFixture fixture;
  ApiVm vm(fixture.api);
  ApiClient client({ { { "127.0.0.1", FreePort() }, vm.Address() }, kToken });
  for (int call = 1; call <= 2; ++call) {
    const Result<HttpResponse> answer = client.Send(MakeApiRequest("GET", "/v1/region"));
    REQUIRE(IsOk(answer));
    CHECK(ValueOf(answer).status == 200);
    CHECK(vm.calls == call);
  }
}

TEST_CASE("Without any server nothing was done")
{
  ApiClient client({ { { "127.0.0.1", FreePort() } }, kToken });
  const Result<HttpResponse> answer = client.Send(PutRequest());
  REQUIRE_FALSE(IsOk(answer));
  CHECK(ErrorOf(answer).kind == ErrorKind::kUnavailable);
}

TEST_CASE("A write whose answer was lost is repeated under its change id and done once")
{
  struct LossCase
  {
    const char* title;
    void (*spoil)(HttpResponse&);
  };
  const LossCase cases[] = { { "answer cut", LoseAnswer }, { "unknown outcome", AnswerUnknown } };
  for (const LossCase& lossCase : cases) {
    INFO(lossCase.title);
    ApiFixture fixture;
    ApiVm first(fixture.api);
    ApiVm second(fixture.api);
    first.spoil = lossCase.spoil;
    ApiClient client({ { first.Address(), second.Address() }, kToken });
    const Result<HttpResponse> answer = client.Send(PutRequest());
    REQUIRE(IsOk(answer));
    CHECK(ValueOf(answer).status == 200);
    REQUIRE(fixture.service.changeIds.size() == 2);
    CHECK(fixture.service.changeIds[0] == fixture.service.changeIds[1]);
    CHECK(fixture.Applied() == 2);
  }
}

TEST_CASE("A write that may have taken effect is never reported as not done")
{
  struct EndCase
  {
    const char* title;
    void (*first)(HttpResponse&);
    void (*second)(HttpResponse&);
  };
  const EndCase cases[] = {
    { "both lost", LoseAnswer, LoseAnswer },
    { "lost, then unavailable", LoseAnswer, AnswerUnavailable },
    { "unavailable, then unknown", AnswerUnavailable, AnswerUnknown },
  };
  for (const EndCase& endCase : cases) {
    INFO(endCase.title);
    ApiFixture fixture;
    ApiVm first(fixture.api);
    ApiVm second(fixture.api);
    first.spoil = endCase.first;
    second.spoil = endCase.second;
    ApiClient client({ { first.Address(), second.Address() }, kToken });
    HttpRequest request = PutRequest();
    request.headers.Add("Plantainhaven-Change-Id", "id-9");
    const Result<HttpResponse> answer = client.Send(request);
    REQUIRE_FALSE(IsOk(answer));
    CHECK(ErrorOf(answer).kind == ErrorKind::kUnknown);
    CHECK(ErrorOf(answer).message.find("id-9") != std::string::npos);
    CHECK(first.calls == 2);
    CHECK(second.calls == 2);
  }
}

TEST_CASE("A write that every server refuses as unavailable isn't repeated")
{
  ApiFixture fixture;
  ApiVm vm(fixture.api);
  vm.spoil = AnswerUnavailable;
  ApiClient client({ { vm.Address() }, kToken });
  const Result<HttpResponse> answer = client.Send(PutRequest());
  REQUIRE(IsOk(answer));
  CHECK(ValueOf(answer).status == 503);
  CHECK(vm.calls == 1);
}

TEST_CASE("A watch streams over HTTP until it is ended")
{
  ApiFixture fixture;
  ApiVm vm(fixture.api);
  ApiClient client({ { vm.Address() }, kToken });
  fixture.service.onWait = [&] { fixture.service.onWait = [&] { fixture.api.EndWatches(); }; };
  const Result<HttpResponse> answer = client.Send(MakeApiRequest("GET", "/v1/watch?after=0"));
  REQUIRE(IsOk(answer));
  CHECK(ValueOf(answer).body.find("\"revision\":\"1\"") != std::string::npos);
  CHECK(vm.server.Stop(std::chrono::seconds(5)) == 0);
}

TEST_CASE("Files hold one resource, an array or a request")
{
  struct FileCase
  {
    const char* text;
    int resources;
    int deletes;
  };
  const FileCase cases[] = {
    { R"({"name": "a", "region": {}})", 1, 0 },
    { R"( [{"name": "a", "region": {}}, {"name": "b", "region": {}}])", 2, 0 },
    { R"({"resources": [{"name": "a", "region": {}}]})", 1, 0 },
    { R"({"deletes": [{"kind": "region", "name": "a"}]})", 0, 1 },
    { "", 0, 0 },
    { "[]", 0, 0 },
    { "{}", 1, 0 },
    { R"({"resources": []})", 0, 0 },
    { R"([{"name": "a", "region": {"zones": []}}])", 0, 0 },
    { R"([{"name": "a"}, )", 0, 0 },
  };
  for (const FileCase& fileCase : cases) {
    CAPTURE(fileCase.text);
    const Result<ApplyRequest> parsed = ParseResourceFile("x.json", fileCase.text);
    REQUIRE(IsOk(parsed) == (fileCase.resources + fileCase.deletes > 0));
    if (IsOk(parsed)) {
      CHECK(ValueOf(parsed).resources_size() == fileCase.resources);
      CHECK(ValueOf(parsed).deletes_size() == fileCase.deletes);
    } else {
      CHECK(ErrorOf(parsed).message.rfind("x.json: ", 0) == 0);
    }
  }
}

TEST_CASE("Servers are written ADDRESS:PORT")
{
  struct AddressCase
  {
    const char* text;
    const char* address;
    std::uint16_t port;
  };
  const AddressCase cases[] = {
    { "10.0.0.7:8080", "10.0.0.7", 8080 },
    { "[::1]:80", "::1", 80 },
    { "10.0.0.7", "", 0 },
    { ":80", "", 0 },
    { "10.0.0.7:", "", 0 },
    { "10.0.0.7:0", "", 0 },
    { "10.0.0.7:65536", "", 0 },
    { "10.0.0.7:8x", "", 0 },
    { "", "", 0 },
  };
  for (const AddressCase& addressCase : cases) {
    CAPTURE(addressCase.text);
    const Result<ApiServer> server = ParseApiServer(addressCase.text);
    REQUIRE(IsOk(server) == (addressCase.port != 0));
    if (IsOk(server)) {
      CHECK(ValueOf(server).address == addressCase.address);
      CHECK(ValueOf(server).port == addressCase.port);
    }
  }
}

} // namespace plantainhaven
