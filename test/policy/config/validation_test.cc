#include "plantainhaven/policy/config/validation.h"

#include "policy/config/sample_configuration.h"

#include <catch2/catch.hpp>

namespace plantainhaven {

namespace {

// A write that must be rejected with this field and these parts of message and remedy.
struct RejectedWrite
{
  const char* title;
  const char* write;
  const char* field;
  const char* message;
  const char* remedy;
};

std::string
Put(const char* aResource)
{
  return std::string(R"({"resources": [)") + aResource + "]}";
}

std::string
Delete(const char* aKind, const char* aName)
{
  return std::string(R"({"deletes": [{"kind": ")") + aKind + R"(", "name": ")" + aName + R"("}]})";
}

const RejectedWrite kRejectedPuts[] = {
  { "no kind", R"({"name": "x"})", "spec", "expected one kind's fields", "backend_server" },
  { "no name", R"({"region": {"failure_domains": ["a"]}})", "name", "128 characters", "rename" },
  { "slash in a name",
    R"({"name": "a/b", "region": {"failure_domains": ["a"]}})",
    "name",
    R"("a/b")",
    "rename" },
  { "upper case in a name",
    R"({"name": "Kochi", "region": {"failure_domains": ["a"]}})",
    "name",
    R"("Kochi")",
    "rename" },
  { "region without domains",
    R"({"name": "x", "region": {}})",
    "region.failure_domains",
    "missing",
    "failure domains" },
  { "region with an empty domain",
    R"({"name": "x", "region": {"failure_domains": ["a", ""]}})",
    "region.failure_domains[1]",
    "missing",
    "set it" },
  { "region with a domain twice",
    R"({"name": "x", "region": {"failure_domains": ["a", "a"]}})",
    "region.failure_domains",
    R"("a" twice)",
    "remove one" },
  { "region that drops a server's domain",
    R"({"name": "kochi", "region": {"failure_domains": ["kochi-1"]}})",
    "region.failure_domains",
    R"(backend_server "portal-1")",
    "keep the domain" },
  { "region that drops a VM's domain",
    R"({"name": "kochi", "region": {"failure_domains": ["kochi-2"]}})",
    "region.failure_domains",
    R"(entry_vm "vm-1")",
    "keep the domain" },
  { "service without timeout",
    R"({"name": "x", "service": {"max_attempts": 1}})",
    "service.timeout",
    "missing",
    "set it" },
  { "service with a long timeout",
    R"({"name": "x", "service": {"timeout": "600.5s", "max_attempts": 1}})",
    "service.timeout",
    "600.5 s, expected 0.01 to 600 s",
    "range" },
  { "service without attempts",
    R"({"name": "x", "service": {"timeout": "1s"}})",
    "service.max_attempts",
    "0, expected 1 to 10",
    "range" },
  { "service with a negative slow start",
    R"({"name": "x", "service": {"timeout": "1s", "max_attempts": 1, "slow_start": "-1s"}})",
    "service.slow_start",
    "-1 s",
    "range" },
  { "server of an unknown service",
    R"({"name": "x", "backend_server": {"service": "nosuch", "region": "kochi",
      "failure_domain": "kochi-1", "address": "10.0.0.2", "port": 1, "slots": 1,
      "max_connections": 1}})",
    "backend_server.service",
    R"("nosuch")",
    "library, portal" },
  { "server in an unknown region",
    R"({"name": "x", "backend_server": {"service": "portal", "region": "nosuch",
      "failure_domain": "kochi-1", "address": "10.0.0.2", "port": 1, "slots": 1,
      "max_connections": 1}})",
    "backend_server.region",
    R"("nosuch")",
    "kochi, kozhikode, unused" },
  { "server in a domain of another region",
    R"({"name": "x", "backend_server": {"service": "portal", "region": "kochi",
      "failure_domain": "kozhikode-1", "address": "10.0.0.2", "port": 1, "slots": 1,
      "max_connections": 1}})",
    "backend_server.failure_domain",
    R"("kozhikode-1")",
    "kochi-1, kochi-2" },
  { "server with a host name",
    R"({"name": "x", "backend_server": {"service": "portal", "region": "kochi",
      "failure_domain": "kochi-1", "address": "localhost", "port": 1, "slots": 1,
      "max_connections": 1}})",
    "backend_server.address",
    R"("localhost")",
    "not a host name" },
  { "server without slots",
    R"({"name": "x", "backend_server": {"service": "portal", "region": "kochi",
      "failure_domain": "kochi-1", "address": "10.0.0.2", "port": 1, "max_connections": 1}})",
    "backend_server.slots",
    "0 requests, expected 1 to 100000 requests",
    "range" },
  { "server with a port above 65535",
    R"({"name": "x", "backend_server": {"service": "portal", "region": "kochi",
      "failure_domain": "kochi-1", "address": "10.0.0.2", "port": 65536, "slots": 1,
      "max_connections": 1}})",
    "backend_server.port",
    "65536, expected 1 to 65535",
    "range" },
  { "route with a method in lower case",
    R"({"name": "x", "route": {"method": "get", "path_prefix": "/", "service": "portal"}})",
    "route.method",
    R"("get")",
    "GET" },
  { "route without a slash",
    R"({"name": "x", "route": {"method": "GET", "path_prefix": "x", "service": "portal"}})",
    "route.path_prefix",
    R"("x")",
    "/lessons" },
  { "route with a query",
    R"({"name": "x", "route": {"method": "GET", "path_prefix": "/x?y", "service": "portal"}})",
    "route.path_prefix",
    R"("/x?y")",
    "percent-encoded" },
  { "route with method and path of another",
    R"({"name": "x", "route": {"method": "GET", "path_prefix": "/lessons", "service": "library"}})",
    "route.path_prefix",
    "no other route",
    R"(route "lessons")" },
  { "account without rate",
    R"({"name": "x", "client_account": {"burst": 1}})",
    "client_account.rate",
    "0 requests/s",
    "range" },
  { "account with a rate of NaN",
    R"({"name": "x", "client_account": {"rate": "NaN", "burst": 1}})",
    "client_account.rate",
    "nan",
    "range" },
  { "account with a burst below one",
    R"({"name": "x", "client_account": {"rate": 1, "burst": 0.5}})",
    "client_account.burst",
    "0.5 requests, expected 1",
    "range" },
  { "key of an unknown account",
    R"({"name": "x", "key": {"client_account": "nosuch", "digest": "00"}})",
    "key.client_account",
    R"("nosuch")",
    "franchise" },
  { "key with a short digest",
    R"({"name": "x", "key": {"client_account": "franchise", "digest": "00"}})",
    "key.digest",
    "2 characters, expected 64",
    "SHA-256" },
  { "key with a digest in upper case",
    R"({"name": "x", "key": {"client_account": "franchise",
      "digest": "0123456789ABCDEF0123456789abcdef0123456789abcdef0123456789abcdef"}})",
    "key.digest",
    "lower case",
    "SHA-256" },
  { "key with the digest of another",
    R"({"name": "x", "key": {"client_account": "franchise",
      "digest": "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"}})",
    "key.digest",
    R"(key "franchise.1")",
    "issue a new key" },
  { "split of an unknown region",
    R"({"name": "x", "traffic_policy": {"service": "library", "cap_points": 5, "interval": "1s",
      "weights": [{"region": "kochi", "percent": 50}, {"region": "nosuch", "percent": 50}]}})",
    "traffic_policy.weights[1].region",
    R"("nosuch")",
    "kochi, kozhikode, unused" },
  { "split beyond 100 percent",
    R"({"name": "x", "traffic_policy": {"service": "library", "cap_points": 5, "interval": "1s",
      "weights": [{"region": "kochi", "percent": 60}, {"region": "kozhikode", "percent": 60}]}})",
    "traffic_policy.weights",
    "the sum 120 %",
    "correct the percents" },
  { "split with a negative percent",
    R"({"name": "x", "traffic_policy": {"service": "library", "cap_points": 5, "interval": "1s",
      "weights": [{"region": "kochi", "percent": 110}, {"region": "kozhikode", "percent": -10}]}})",
    "traffic_policy.weights[0].percent",
    "110 %, expected 0 to 100 %",
    "range" },
  { "split with a region twice",
    R"({"name": "x", "traffic_policy": {"service": "library", "cap_points": 5, "interval": "1s",
      "weights": [{"region": "kochi", "percent": 50}, {"region": "kochi", "percent": 50}]}})",
    "traffic_policy.weights",
    R"("kochi" twice)",
    "one weight" },
  { "split without weights",
    R"({"name": "x", "traffic_policy": {"service": "library", "cap_points": 5, "interval": "1s"}})",
    "traffic_policy.weights",
    "missing",
    "set it" },
  { "split without a cap",
    R"({"name": "x", "traffic_policy": {"service": "library", "interval": "1s",
      "weights": [{"region": "kochi", "percent": 100}]}})",
    "traffic_policy.cap_points",
    "0 percentage points, expected 0.1 to 100",
    "range" },
  { "second split of a service",
    R"({"name": "x", "traffic_policy": {"service": "portal", "cap_points": 5, "interval": "1s",
      "weights": [{"region": "kochi", "percent": 100}]}})",
    "traffic_policy.service",
    R"("portal")",
    R"(traffic_policy "portal")" },
  { "link inside a region",
    R"({"name": "x", "link": {"from_region": "kochi", "to_region": "kochi",
      "megabits_per_second": 1}})",
    "link.to_region",
    "another region",
    "needs no link" },
  { "second link of a direction",
    R"({"name": "x", "link": {"from_region": "kochi", "to_region": "kozhikode",
      "megabits_per_second": 1}})",
    "link.to_region",
    "no other link",
    R"(link "kochi.kozhikode")" },
  { "link without bandwidth",
    R"({"name": "x", "link": {"from_region": "kozhikode", "to_region": "kochi"}})",
    "link.megabits_per_second",
    "0 Mbit/s",
    "range" },
  { "block of an unknown region",
    R"({"name": "10.0.0.0_8", "client_block": {"cidr": "10.0.0.0/8", "region": "nosuch"}})",
    "client_block.region",
    R"("nosuch")",
    "kochi" },
  { "block with another name",
    R"({"name": "x", "client_block": {"cidr": "10.0.0.0/8", "region": "kochi"}})",
    "name",
    R"(expected "10.0.0.0_8")",
    "_ in place of /" },
  { "block with bits beyond its length",
    R"({"name": "10.0.0.1_8", "client_block": {"cidr": "10.0.0.1/8", "region": "kochi"}})",
    "client_block.cidr",
    R"("10.0.0.1/8")",
    "10.0.0.0/8" },
  { "block with too long a length",
    R"({"name": "10.0.0.0_33", "client_block": {"cidr": "10.0.0.0/33", "region": "kochi"}})",
    "client_block.cidr",
    R"("10.0.0.0/33")",
    "ADDRESS/LENGTH" },
  { "block with a leading zero",
    R"({"name": "10.01.0.0_16", "client_block": {"cidr": "10.01.0.0/16", "region": "kochi"}})",
    "client_block.cidr",
    R"("10.01.0.0/16")",
    "ADDRESS/LENGTH" },
  { "IPv6 block",
    R"({"name": "2001.db8_32", "client_block": {"cidr": "2001:db8::/32", "region": "kochi"}})",
    "client_block.cidr",
    "IPv6 blocks aren't supported",
    "IPv4" },
  { "VM in a domain of another region",
    R"({"name": "x", "entry_vm": {"address": "10.0.1.2", "region": "kochi",
      "failure_domain": "kozhikode-1", "entry_port": 1, "lookup_port": 2, "api_port": 3,
      "peer_port": 4, "budget_port": 5, "state": "ACTIVE"}})",
    "entry_vm.failure_domain",
    R"("kozhikode-1")",
    "kochi-1, kochi-2" },
  { "VM with a port twice",
    R"({"name": "x", "entry_vm": {"address": "10.0.1.2", "region": "kochi",
      "failure_domain": "kochi-1", "entry_port": 1, "lookup_port": 2, "api_port": 3,
      "peer_port": 4, "budget_port": 1, "state": "ACTIVE"}})",
    "entry_vm",
    "port 1 twice",
    "port of its own" },
  { "VM without state",
    R"({"name": "x", "entry_vm": {"address": "10.0.1.2", "region": "kochi",
      "failure_domain": "kochi-1", "entry_port": 1, "lookup_port": 2, "api_port": 3,
      "peer_port": 4, "budget_port": 5}})",
    "entry_vm.state",
    "ACTIVE or LEAVING",
    "set the state" },
};

struct RejectedDelete
{
  const char* kind;
  const char* name;
  const char* referrer;
};

const RejectedDelete kRejectedDeletes[] = {
  { "region", "kochi", R"(backend_server "portal-1")" },
  { "region", "kozhikode", R"(traffic_policy "portal")" },
  { "service", "portal", R"(backend_server "portal-1")" },
  { "client_account", "franchise", R"(key "franchise.1")" },
};

ApplyRequest
WriteOf(const std::string& aJson)
{
  return FromJson<ApplyRequest>(aJson);
}

bool
Contains(const std::string& aText, const char* aPart)
{
  return aText.find(aPart) != std::string::npos;
}

void
RequireRejected(const std::string& aWrite, const RejectedWrite& aCase)
{
  INFO(aCase.title);
  const Result<Done> result = ValidateWrite(SampleConfiguration(), WriteOf(aWrite));
  REQUIRE_FALSE(IsOk(result));
  const Error& error = ErrorOf(result);
  INFO(error.field << " | " << error.message << " | " << error.remedy);
  CHECK(error.kind == ErrorKind::kInvalid);
  CHECK(error.field == aCase.field);
  CHECK(Contains(error.message, aCase.message));
  CHECK(Contains(error.remedy, aCase.remedy));
}

void
RequireAccepted(const std::string& aWrite)
{
  const Result<Done> result = ValidateWrite(SampleConfiguration(), WriteOf(aWrite));
  INFO((IsOk(result) ? "" : ErrorOf(result).message));
  CHECK(IsOk(result));
}

} // namespace

TEST_CASE("The sample has every kind and is valid on an empty configuration")
{
  const Configuration sample = SampleConfiguration();
  for (const std::string& kind : AllKinds()) {
    INFO(kind);
    CHECK(sample.Count(kind) > 0);
  }
  const Result<Done> result = ValidateWrite(Configuration(), WriteOf(kSampleResources));
  INFO((IsOk(result) ? "" : ErrorOf(result).message));
  CHECK(IsOk(result));
}

TEST_CASE("An invalid put is rejected with field, value and remedy")
{
  for (const RejectedWrite& rejected : kRejectedPuts) {
    RequireRejected(Put(rejected.write), rejected);
  }
}

TEST_CASE("A resource that others refer to can't be deleted")
{
  for (const RejectedDelete& rejected : kRejectedDeletes) {
    CAPTURE(rejected.kind, rejected.name);
    const Result<Done> result =
      ValidateWrite(SampleConfiguration(), WriteOf(Delete(rejected.kind, rejected.name)));
    REQUIRE_FALSE(IsOk(result));
    INFO(ErrorOf(result).message);
    CHECK(ErrorOf(result).kind == ErrorKind::kInvalid);
    CHECK(Contains(ErrorOf(result).message, rejected.referrer));
  }
}

TEST_CASE("A region that only a client block refers to can't be deleted")
{
  Configuration configuration = SampleConfiguration();
  const char* block =
    R"({"name": "10.9.0.0_16", "client_block": {"cidr": "10.9.0.0/16", "region": "unused"}})";
  REQUIRE(IsOk(configuration.Apply(ChangeOf(2, WriteOf(Put(block))))));
  const Result<Done> result = ValidateWrite(configuration, WriteOf(Delete("region", "unused")));
  REQUIRE_FALSE(IsOk(result));
  CHECK(Contains(ErrorOf(result).message, R"(client_block "10.9.0.0_16")"));
  const char* together = R"({"deletes": [{"kind": "region", "name": "unused"},
    {"kind": "client_block", "name": "10.9.0.0_16"}]})";
  CHECK(IsOk(ValidateWrite(configuration, WriteOf(together))));
}

TEST_CASE("References are checked against the configuration after the write")
{
  RequireAccepted(Delete("region", "unused"));
  RequireAccepted(R"({"deletes": [{"kind": "client_account", "name": "franchise"},
    {"kind": "key", "name": "franchise.1"}]})");
  RequireAccepted(R"({"resources": [
    {"name": "new", "client_account": {"rate": 1, "burst": 1}},
    {"name": "franchise.1", "key": {"client_account": "new",
      "digest": "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"}}],
    "deletes": [{"kind": "client_account", "name": "franchise"}]})");
  const RejectedWrite rejected{ "reference to a resource that the same write deletes",
                                "",
                                "client_block.region",
                                R"("unused")",
                                "kochi, kozhikode" };
  RequireRejected(
    R"({"resources": [{"name": "10.9.0.0_16",
    "client_block": {"cidr": "10.9.0.0/16", "region": "unused"}}],
    "deletes": [{"kind": "region", "name": "unused"}]})",
    rejected);
}

TEST_CASE("A write with the same resource twice is rejected")
{
  const RejectedWrite rejected{ "twice", "", "resources", "occurs twice", "keep one" };
  const std::string put = R"({"name": "x", "client_account": {"rate": 1, "burst": 1}})";
  RequireRejected(R"({"resources": [)" + put + "," + put + "]}", rejected);
  RequireRejected(R"({"resources": [)" + put +
                    R"(], "deletes": [{"kind": "client_account", "name": "x"}]})",
                  rejected);
}

TEST_CASE("Deletion of a resource that doesn't exist returns kNotFound")
{
  const auto* missing = GENERATE("region", "client_block", "nosuchkind");
  CAPTURE(missing);
  const Result<Done> result =
    ValidateWrite(SampleConfiguration(), WriteOf(Delete(missing, "nosuch")));
  REQUIRE_FALSE(IsOk(result));
  CHECK(ErrorOf(result).kind == ErrorKind::kNotFound);
}

TEST_CASE("A version given in a write must match the current one")
{
  struct VersionCase
  {
    const char* name;
    Revision stated;
    bool accepted;
  };
  const VersionCase cases[] = {
    { "franchise", 0, true },
    { "franchise", 1, true },
    { "franchise", 2, false },
    { "franchise", kMustNotExist, false },
    { "nosuch", 0, true },
    { "nosuch", 1, false },
    { "nosuch", kMustNotExist, true },
  };
  const Configuration configuration = SampleConfiguration();
  for (const VersionCase& versionCase : cases) {
    CAPTURE(versionCase.name, versionCase.stated);
    ApplyRequest put;
    put.add_resources()->set_name(versionCase.name);
    put.mutable_resources(0)->set_version(versionCase.stated);
    put.mutable_resources(0)->mutable_client_account();
    const ApplyRequest removal = WriteOf(Delete("client_account", versionCase.name));
    const Result<Done> results[] = { CheckVersions(configuration, put, {}),
                                     CheckVersions(
                                       configuration, removal, { versionCase.stated }) };
    for (const Result<Done>& result : results) {
      CHECK(IsOk(result) == versionCase.accepted);
      CHECK((IsOk(result) || ErrorOf(result).kind == ErrorKind::kConflict));
    }
  }
}

TEST_CASE("CheckVersions also checks client blocks")
{
  ApplyRequest put = WriteOf(
    Put(R"({"name": "10.1.2.0_24", "client_block": {"cidr": "10.1.2.0/24", "region": "kochi"}})"));
  put.mutable_resources(0)->set_version(2);
  CHECK_FALSE(IsOk(CheckVersions(SampleConfiguration(), put, {})));
  put.mutable_resources(0)->set_version(1);
  CHECK(IsOk(CheckVersions(SampleConfiguration(), put, {})));
}

} // namespace plantainhaven
