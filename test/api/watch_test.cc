#include "api/api_fixture.h"

#include <random>
#include <sstream>

#include <catch2/catch.hpp>

namespace plantainhaven {

namespace {

constexpr std::uint64_t kSeed = 20261204;

std::vector<WatchEvent>
EventsIn(const std::string& aLines)
{
  std::vector<WatchEvent> events;
  std::istringstream input(aLines);
  for (std::string line; std::getline(input, line);) {
    if (!line.empty()) {
      events.push_back(FromJson<WatchEvent>(line));
    }
  }
  return events;
}

std::string
Pull(HttpResponse& aResponse, bool& aMore, bool& aAbort)
{
  std::string piece;
  aMore = aResponse.source(piece, aAbort);
  return piece;
}

} // namespace

TEST_CASE("A watcher that comes back, at any VM, misses nothing and sees one order")
{
  ApiFixture fixture;
  Metrics metrics;
  ResourceApi other(fixture.service, metrics, kToken);
  std::mt19937_64 random(kSeed);
  Revision after = 0;
  std::vector<std::string> seen;
  for (int round = 0; round < 60; ++round) {
    for (std::uint64_t write = random() % 3; write > 0; --write) {
      const std::string name = "a" + std::to_string(fixture.Applied());
      CHECK(fixture.Ask("PUT", "/v1/client_account/" + name, AccountBody(1)).status == 200);
    }
    HttpRequest request;
    request.method = "GET";
    request.path = "/v1/watch";
    request.target = "/v1/watch?wait=1&after=" + std::to_string(after);
    request.headers.Add("Authorization", std::string("Bearer ") + kToken);
    const HttpResponse response =
      random() % 2 == 0 ? fixture.api.Handle(request) : other.Handle(request);
    REQUIRE(response.status == 200);
    for (const WatchEvent& event : EventsIn(response.body)) {
      CHECK(event.revision() == after + 1);
      after = event.revision();
    }
    CHECK(response.headers.Get("Plantainhaven-Revision") == std::to_string(after));
  }
  CHECK(after == fixture.Applied());
  CHECK(after > 30);
}

TEST_CASE("A stream gives what came, then what comes, and blank lines when idle")
{
  ApiFixture fixture;
  HttpResponse stream = fixture.Ask("GET", "/v1/watch?after=0");
  REQUIRE(stream.status == 200);
  REQUIRE(stream.source);
  bool more = false;
  bool abort = false;
  const std::vector<WatchEvent> first = EventsIn(Pull(stream, more, abort));
  REQUIRE(first.size() == 1);
  CHECK(first[0].revision() == 1);
  CHECK(first[0].puts_size() == 13);
  CHECK(Pull(stream, more, abort) == "\n");
  fixture.Ask("DELETE", "/v1/region/unused");
  fixture.Ask("PUT", "/v1/client_account/new", AccountBody(1));
  const std::vector<WatchEvent> later = EventsIn(Pull(stream, more, abort));
  REQUIRE(later.size() == 2);
  CHECK(later[0].revision() == 2);
  CHECK(later[0].deletes(0).name() == "unused");
  CHECK(later[1].puts(0).version() == 3);
  CHECK(more);
  CHECK_FALSE(abort);
}

TEST_CASE("Without a revision a watch begins now")
{
  ApiFixture fixture;
  const HttpResponse response = fixture.Ask("GET", "/v1/watch?wait=0");
  CHECK(response.body.empty());
  CHECK(response.headers.Get("Plantainhaven-Revision") == "1");
}

TEST_CASE("A filter by kind keeps every revision")
{
  ApiFixture fixture;
  fixture.Ask("DELETE", "/v1/region/unused");
  fixture.Ask("PUT", "/v1/client_account/new", AccountBody(1));
  const HttpResponse response = fixture.Ask("GET", "/v1/watch?after=1&wait=0&kind=client_account");
  const std::vector<WatchEvent> events = EventsIn(response.body);
  REQUIRE(events.size() == 2);
  CHECK(events[0].deletes_size() == 0);
  CHECK(events[1].puts_size() == 1);
}

TEST_CASE("A watcher behind the kept changes is told to list again")
{
  ApiFixture fixture;
  HttpResponse stream = fixture.Ask("GET", "/v1/watch?after=1");
  fixture.service.oldestKept = 5;
  const HttpResponse response = fixture.Ask("GET", "/v1/watch?after=1&wait=1");
  CHECK(response.status == 410);
  CHECK(ErrorIn(response).remedy().find("list") != std::string::npos);
  bool more = true;
  bool abort = false;
  Pull(stream, more, abort);
  CHECK_FALSE(more);
  CHECK(abort);
}

TEST_CASE("Faulty watches are refused and long waits are bounded")
{
  struct WatchCase
  {
    const char* query;
    int status;
    const char* field;
  };
  const WatchCase cases[] = {
    { "after=x", 400, "after" },
    { "after=-1", 400, "after" },
    { "after=0&wait=1s", 400, "wait" },
    { "after=0&wait=0&kind=nosuch", 400, "kind" },
  };
  ApiFixture fixture;
  for (const WatchCase& watchCase : cases) {
    CAPTURE(watchCase.query);
    const HttpResponse response = fixture.Ask("GET", std::string("/v1/watch?") + watchCase.query);
    CHECK(response.status == watchCase.status);
    CHECK(ErrorIn(response).field() == watchCase.field);
  }
  CHECK(fixture.Ask("GET", "/v1/watch?after=0&wait=86400").status == 200);
  CHECK(fixture.service.waits.back() == std::chrono::seconds(60));
}

TEST_CASE("No more watches are served than allowed, and ended ones make room")
{
  ApiFixture fixture;
  HttpResponse first = fixture.Ask("GET", "/v1/watch?after=0");
  HttpResponse second = fixture.Ask("GET", "/v1/watch?after=0");
  CHECK(second.status == 200);
  const HttpResponse third = fixture.Ask("GET", "/v1/watch?after=0");
  CHECK(third.status == 503);
  CHECK(ErrorIn(third).remedy().find("another VM") != std::string::npos);
  CHECK(fixture.Ask("GET", "/v1/status").status == 200);
  first = HttpResponse();
  CHECK(fixture.Ask("GET", "/v1/watch?after=0&wait=0").status == 200);
}

TEST_CASE("Watches end when the process stops")
{
  ApiFixture fixture;
  HttpResponse stream = fixture.Ask("GET", "/v1/watch?after=1");
  fixture.api.EndWatches();
  bool more = true;
  bool abort = false;
  Pull(stream, more, abort);
  CHECK_FALSE(more);
  CHECK_FALSE(abort);
  CHECK(fixture.Ask("GET", "/v1/watch?after=1").status == 503);
}

} // namespace plantainhaven
