#include "platform/bounds.h"
#include "platform/decode.h"

#include <catch2/catch.hpp>

namespace plantainhaven::platform {
namespace {

using std::chrono::milliseconds;

const RegionByDomain kRegions{ { "kochi-a", "kochi" } };

constexpr const char* kReport =
  R"({"service":"portal","address":"10.128.0.9:8080","zone":"kochi-a","version":"v1",)"
  R"("max_concurrency":9,"state":"ready","warmup_left_ms":120,"sequence":4,"born":17})";

std::string
Replaced(std::string aText, const std::string& aFrom, const std::string& aTo)
{
  const std::size_t at = aText.find(aFrom);
  REQUIRE(at != std::string::npos);
  return aText.replace(at, aFrom.size(), aTo);
}

TEST_CASE("A report names a backend server")
{
  const auto decoded = DecodeServer("i-1", kReport, kRegions);
  REQUIRE(IsOk(decoded));
  const BackendServer& server = ValueOf(decoded);
  CHECK(server.id == "i-1");
  CHECK(server.service == "portal");
  CHECK(server.address == "10.128.0.9");
  CHECK(server.port == 8080);
  CHECK(server.region == "kochi");
  CHECK(server.slots == 9);
  CHECK_FALSE(server.isDraining);
  CHECK(server.warmupLeft == milliseconds(120));
  CHECK(server.startedAt.time_since_epoch() == std::chrono::milliseconds(17));
}

TEST_CASE("A report that can't be used names no server, and the error its field")
{
  struct Case
  {
    std::string from;
    std::string to;
    std::string field;
  };
  const Case cases[] = {
    { R"("service":"portal",)", "", "service" },
    { R"("portal")", "7", "service" },
    { "10.128.0.9:8080", "10.128.0.9", "address" },
    { "10.128.0.9:8080", "10.128.0.9:0", "address" },
    { "10.128.0.9:8080", "10.128.0.9:99999", "address" },
    { "kochi-a", "atlantis", "zone" },
    { R"("ready")", R"("resting")", "state" },
    { R"("max_concurrency":9)", R"("max_concurrency":"9")", "max_concurrency" },
    { R"("max_concurrency":9)", R"("max_concurrency":0)", "max_concurrency" },
    { R"("warmup_left_ms":120)", R"("warmup_left_ms":null)", "warmup_left_ms" },
    { R"("sequence":4)", R"("sequence":4.5)", "sequence" },
    { R"("born":17)", R"("born":"17")", "born" },
    { "{", "[", "all" },
  };
  for (const Case& entry : cases) {
    CAPTURE(entry.from, entry.to);
    const auto decoded = DecodeServer("i-1", Replaced(kReport, entry.from, entry.to), kRegions);
    REQUIRE_FALSE(IsOk(decoded));
    CHECK(ErrorOf(decoded).field == entry.field);
    CHECK_FALSE(ErrorOf(decoded).remedy.empty());
  }
  CHECK_FALSE(IsOk(DecodeServer("i-1", "\x01\xff", kRegions)));
}

// Another writer's entry with such a value must not end the process that reads it.
TEST_CASE("An entry of a server with a value beyond all bounds names no server")
{
  struct Case
  {
    std::string from;
    std::string to;
    std::string field;
  };
  const std::string deep(200000, '[');
  const Case cases[] = {
    { R"("version":"v1")", R"("version":)" + deep, "all" },
    { R"("version":"v1")", R"("version":)" + deep + std::string(200000, ']') + R"(,"x":[)", "all" },
    { R"("max_concurrency":9)", R"("max_concurrency":99999999999999999999)", "max_concurrency" },
    { R"("max_concurrency":9)", R"("max_concurrency":18446744073709551615)", "max_concurrency" },
    { R"("max_concurrency":9)", R"("max_concurrency":4294967297)", "max_concurrency" },
    { R"("max_concurrency":9)", R"("max_concurrency":2147483647)", "max_concurrency" },
    { R"("max_concurrency":9)", R"("max_concurrency":1e999)", "all" },
    { R"("max_concurrency":9)", R"("max_concurrency":-1)", "max_concurrency" },
    { R"("warmup_left_ms":120)", R"("warmup_left_ms":1e300)", "warmup_left_ms" },
    { R"("warmup_left_ms":120)", R"("warmup_left_ms":-5)", "warmup_left_ms" },
    { R"("sequence":4)", R"("sequence":9223372036854775808)", "sequence" },
    { R"("born":17)", R"("born":9223372036854775808)", "born" },
    { R"("born":17)", R"("born":-17)", "born" },
    { "10.128.0.9:8080", "10.128.0.9:65536", "address" },
    { "10.128.0.9:8080", "10.128.0.9:-1", "address" },
    { "10.128.0.9:8080", "10.128.0.999:8080", "address" },
    { "10.128.0.9:8080", "a name:8080", "address" },
    { "10.128.0.9:8080", ":8080", "address" },
  };
  for (const Case& entry : cases) {
    CAPTURE(entry.from, entry.to.substr(0, 60));
    const auto decoded = DecodeServer("i-1", Replaced(kReport, entry.from, entry.to), kRegions);
    REQUIRE_FALSE(IsOk(decoded));
    CHECK(ErrorOf(decoded).field == entry.field);
  }
  // Nested deeply but well-formed, in a field that isn't read.
  const std::string nested = deep + std::string(200000, ']');
  CHECK(IsOk(DecodeServer(
    "i-1", Replaced(kReport, R"("version":"v1")", R"("version":)" + nested), kRegions)));
}

constexpr const char* kConfiguration =
  R"({"version":7,"services":[{"name":"portal","health_path":"/health","max_connections":360,)"
  R"("warmup_s":3.0,"warmup_per_s":15.0}],"limits":{"max_header_bytes":16384,)"
  R"("max_body_bytes":1000,"header_timeout_ms":3000,"idle_timeout_ms":15000},)"
  R"("tenants":[{"name":"shop","api_keys":["k1","k2"],"priority":1,"rate_per_s":319,)"
  R"("burst":300,"allowed_regions":["kochi"]}],"hosts":[{"host":"a.example","paths":[)"
  R"({"name":"read","prefix":"/r/","route_type":"safe","timeout_ms":2000,)"
  R"("target_latency_ms":250,"priority":2,"traffic_split":[{"service":"portal","weight":90},)"
  R"({"service":"media","weight":10}],"max_attempts":2,"public":false,)"
  R"("session_affinity":true,"allowed_regions":[]},)"
  R"({"name":"book","prefix":"/b/","route_type":"unsafe","timeout_ms":800,)"
  R"("service":"portal","max_attempts":2}]}]})";

TEST_CASE("A configuration becomes routes, accounts and limits")
{
  const auto decoded = DecodeConfiguration(kConfiguration);
  REQUIRE(IsOk(decoded));
  const Routing& routing = ValueOf(decoded);
  CHECK(routing.version == 7);
  const auto* const read = routing.FindRoute("a.example", "/r/x");
  REQUIRE(read != nullptr);
  CHECK(read->isIdempotent);
  CHECK(read->latencyObjective == milliseconds(250));
  REQUIRE(read->targets.size() == 2);
  CHECK(read->targets[1].weight == 10);
  const auto* const book = routing.FindRoute("a.example", "/b/x");
  REQUIRE(book != nullptr);
  CHECK_FALSE(book->isIdempotent);
  CHECK(book->targets.front().service == "portal");
  REQUIRE(routing.FindAccount("k2") != nullptr);
  CHECK(routing.FindAccount("k2")->rate == 319);
  CHECK(routing.services.at("portal").warmupTime == std::chrono::seconds(3));
  CHECK(routing.limits.maxBodyBytes == 1000);
}

TEST_CASE("A configuration that can't be used is refused whole")
{
  struct Case
  {
    std::string from;
    std::string to;
  };
  const Case cases[] = {
    { R"("version":7)", R"("version":"7")" },
    { R"("prefix":"/b/")", R"("prefix":5)" },
    { R"("host":"a.example",)", "" },
    { R"("service":"portal","max_attempts":2)", R"("max_attempts":2)" },
    { R"(["k1","k2"])", R"(["k1",2])" },
    { R"("weight":90)", R"("weight":"most")" },
    { R"("hosts":[)", R"("hosts":7,"x":[)" },
  };
  for (const Case& entry : cases) {
    CAPTURE(entry.from, entry.to);
    CHECK_FALSE(IsOk(DecodeConfiguration(Replaced(kConfiguration, entry.from, entry.to))));
  }
  CHECK_FALSE(IsOk(DecodeConfiguration("{\"version\":7")));
}

TEST_CASE("An unknown route type is taken as not idempotent")
{
  const auto decoded = DecodeConfiguration(Replaced(kConfiguration, "\"safe\"", "\"novel\""));
  REQUIRE(IsOk(decoded));
  CHECK_FALSE(ValueOf(decoded).FindRoute("a.example", "/r/x")->isIdempotent);
}

TEST_CASE("Headers are decoded or passed over")
{
  CHECK(DecodeKey("Token abc") == "abc");
  CHECK_FALSE(DecodeKey("Bearer abc"));
  CHECK_FALSE(DecodeKey(""));
  const auto load = DecodeLoad("3,1,8");
  REQUIRE(load);
  CHECK(load->running == 3);
  CHECK(load->waiting == 1);
  CHECK(load->slots == 8);
  for (const char* text : { "", "3", "3,x,8", "-1,0,8" }) {
    CAPTURE(text);
    CHECK_FALSE(DecodeLoad(text));
  }
}

TEST_CASE("A rate is one nonnegative decimal number")
{
  struct Case
  {
    const char* text;
    std::optional<double> expected;
  };
  const Case cases[] = {
    { "11.2", 11.2 }, { "3", 3.0 }, { "0", 0.0 },  { ".5", 0.5 }, { "", {} },    { "-1", {} },
    { "1,5", {} },    { "1 ", {} }, { "inf", {} }, { "nan", {} }, { "1e3", {} }, { "+4", {} },
  };
  for (const Case& entry : cases) {
    CAPTURE(entry.text);
    const std::optional<double> rate = DecodeRate(entry.text);
    CHECK(rate.has_value() == entry.expected.has_value());
    CHECK(rate.value_or(0) == Approx(entry.expected.value_or(0)));
  }
}

TEST_CASE("Bounds are read by name and unknown ones passed over")
{
  const auto bounds = ParseBounds({ "grace_s=4.5", "novel=abc", "max_shift=0.2" });
  REQUIRE(IsOk(bounds));
  CHECK(ValueOf(bounds).stopGrace == milliseconds(4500));
  CHECK(ValueOf(bounds).maxShift == Approx(0.2));
  CHECK(ValueOf(bounds).retrySlack == Approx(60));
  for (const char* text : { "grace_s=", "grace_s=x", "grace_s=-1", "grace_s=1s" }) {
    CAPTURE(text);
    CHECK_FALSE(IsOk(ParseBounds({ text })));
  }
}

// The settings template shows the bounds as a JSON object; they were passed over and defaults used.
TEST_CASE("Bounds that the platform fills in as a table are in force")
{
  const auto bounds = ParseBounds({ R"({"seed_lag_s":3)",
                                    R"("grace_s":4)",
                                    R"("strict_revocation":false)",
                                    R"("max_shift":0.1})" });
  REQUIRE(IsOk(bounds));
  CHECK(ValueOf(bounds).stopGrace == milliseconds(4000));
  CHECK(ValueOf(bounds).maxShift == Approx(0.1));
  CHECK_FALSE(IsOk(ParseBounds({ R"({"grace_s":"x"})" })));
}

TEST_CASE("A look-up answer holds the addresses and how long they hold")
{
  CHECK(EncodeLookupResponse({ "10.1.0.1:80" }, milliseconds(2500)) ==
        R"({"addresses":["10.1.0.1:80"],"ttl_s":2.5})");
}

} // namespace
} // namespace plantainhaven::platform
