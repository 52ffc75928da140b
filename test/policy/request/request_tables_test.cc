#include "plantainhaven/policy/request/request_tables.h"

#include "policy/request/request_config.h"

#include <catch2/catch.hpp>

using namespace plantainhaven;

TEST_CASE("the longest prefix matches first, and a named method takes precedence over any method")
{
  ConfigWriter writer;
  writer.AddService("s", 1000);
  writer.AddRoute("all", "*", "/", "s", false, true);
  writer.AddRoute("lessons", "GET", "/lessons", "s", true, true);
  writer.AddRoute("lessons-any", "*", "/lessons", "s", false, false);
  writer.AddRoute("pay", "POST", "/lessons/pay", "s", false, false);
  const auto tables = RequestTables::Build(writer.Apply());
  struct MatchCase
  {
    const char* method;
    const char* path;
    const char* prefix;
    bool open;
  };
  const MatchCase cases[] = {
    { "GET", "/lessons/1", "/lessons", true },
    { "POST", "/lessons/1", "/lessons", false },
    { "POST", "/lessons/pay", "/lessons/pay", false },
    { "GET", "/lessons/pay", "/lessons", true },
    { "GET", "/other", "/", false },
  };
  for (const MatchCase& entry : cases) {
    CAPTURE(entry.method, entry.path);
    const RouteEntry* route = tables->MatchRoute(entry.method, entry.path);
    REQUIRE(route != nullptr);
    CHECK(route->pathPrefix == entry.prefix);
    CHECK(route->open == entry.open);
  }
  CHECK(tables->MatchRoute("GET", "none") == nullptr);
}

TEST_CASE("a key's digest maps to its account until the key is deleted")
{
  ConfigWriter writer;
  writer.AddAccount("small", "key-1");
  writer.AddAccount("large", "key-2");
  const auto before = RequestTables::Build(writer.Apply());
  REQUIRE(before->AccountOfDigest(Sha256Hex("key-1")) != nullptr);
  CHECK(*before->AccountOfDigest(Sha256Hex("key-1")) == "small");
  CHECK(before->AccountOfDigest(Sha256Hex("key-3")) == nullptr);
  CHECK(before->AccountOfDigest("") == nullptr);

  writer.Remove("key", "small-key");
  const auto after = RequestTables::Build(writer.Apply());
  CHECK(after->AccountOfDigest(Sha256Hex("key-1")) == nullptr);
  CHECK(after->AccountOfDigest(Sha256Hex("key-2")) != nullptr);
  CHECK(after->AppliedRevision() == 2);
}

TEST_CASE("a digest of two accounts maps to no account")
{
  ConfigWriter writer;
  writer.AddAccount("small", "key-1");
  writer.AddAccount("large", "key-1");
  CHECK(RequestTables::Build(writer.Apply())->AccountOfDigest(Sha256Hex("key-1")) == nullptr);
}

TEST_CASE("servers are grouped by service and region")
{
  ConfigWriter writer;
  writer.AddService("s", 1500, 2);
  writer.AddServer("s1", "s", "b", "b1");
  writer.AddServer("s2", "s", "a", "a1", 1, true);
  writer.AddServer("s3", "s", "a", "a2");
  writer.AddPolicy("s", { 60, 40 }, 5, 10);
  const auto tables = RequestTables::Build(writer.Apply());
  const ServiceEntry* service = tables->FindService("s");
  REQUIRE(service != nullptr);
  CHECK(service->timeout == std::chrono::milliseconds(1500));
  REQUIRE(service->regions.size() == 2);
  CHECK(service->regions[0].region == "a");
  REQUIRE(service->regions[0].servers.size() == 2);
  CHECK(service->regions[0].servers[0].draining);
  REQUIRE(service->policy.has_value());
  CHECK(service->policy->interval == std::chrono::seconds(10));
  CHECK(tables->FindService("t") == nullptr);
}
