#include "plantainhaven/policy/config/configuration.h"

#include "policy/config/sample_configuration.h"

#include <algorithm>
#include <map>
#include <random>
#include <set>

#include <catch2/catch.hpp>

namespace plantainhaven {

namespace {

constexpr std::uint64_t kSeed = 20261204;

// Returns all resources of a configuration, serialised, by kind and name.
std::map<std::string, std::string>
ContentOf(const Configuration& aConfiguration)
{
  std::map<std::string, std::string> content;
  for (const std::string& kind : AllKinds()) {
    aConfiguration.ForEach(kind, [&](const Resource& aResource) {
      content[kind + '/' + aResource.name()] = aResource.SerializeAsString();
    });
  }
  return content;
}

Resource
BlockResource(std::uint32_t aNumber, const std::string& aRegion)
{
  const std::string address = std::to_string(10 + aNumber / 65536) + '.' +
                              std::to_string(aNumber / 256 % 256) + '.' +
                              std::to_string(aNumber % 256) + ".0";
  Resource resource;
  resource.set_name(address + "_24");
  resource.mutable_client_block()->set_cidr(address + "/24");
  resource.mutable_client_block()->set_region(aRegion);
  return resource;
}

ChangeRecord
PutBlock(Revision aRevision, std::uint32_t aNumber, const std::string& aRegion)
{
  ChangeRecord change;
  change.set_revision(aRevision);
  *change.add_puts() = BlockResource(aNumber, aRegion);
  return change;
}

Configuration
MakeConfiguration(std::uint32_t aCount)
{
  ChangeRecord change;
  change.set_revision(1);
  for (std::uint32_t number = 0; number < aCount; ++number) {
    *change.add_puts() = BlockResource(number, "region-" + std::to_string(number % 7));
  }
  Configuration configuration;
  REQUIRE(IsOk(configuration.Apply(change)));
  return configuration;
}

std::size_t
CountMissing(const std::vector<std::string>& aChunks, const std::vector<std::string>& aKnown)
{
  const std::set<std::string> known(aKnown.begin(), aKnown.end());
  return static_cast<std::size_t>(
    std::count_if(aChunks.begin(), aChunks.end(), [&](const std::string& aChunk) {
      return known.count(aChunk) == 0;
    }));
}

} // namespace

TEST_CASE("Apply accepts only the next revision")
{
  for (const Revision revision : { Revision{ 0 }, Revision{ 1 }, Revision{ 3 }, ~Revision{ 0 } }) {
    CAPTURE(revision);
    Configuration configuration = SampleConfiguration();
    const auto before = ContentOf(configuration);
    const Result<Done> result = configuration.Apply(PutBlock(revision, 1, "kochi"));
    REQUIRE_FALSE(IsOk(result));
    CHECK(ErrorOf(result).kind == ErrorKind::kConflict);
    CHECK(configuration.AppliedRevision() == 1);
    CHECK(ContentOf(configuration) == before);
  }
}

TEST_CASE("An invalid change record leaves the configuration unchanged")
{
  const char* invalidResources[] = {
    R"({"name": "x"})",
    R"({"region": {}})",
    R"({"name": "x", "client_block": {"cidr": "10.0.0.0/8", "region": "kochi"}})",
  };
  for (const char* resource : invalidResources) {
    CAPTURE(resource);
    Configuration configuration = SampleConfiguration();
    const auto before = ContentOf(configuration);
    ChangeRecord change = PutBlock(2, 1, "kochi");
    *change.add_puts() = FromJson<Resource>(resource);
    const Result<Done> result = configuration.Apply(change);
    REQUIRE_FALSE(IsOk(result));
    CHECK(ErrorOf(result).kind == ErrorKind::kInvalid);
    CHECK(configuration.AppliedRevision() == 1);
    CHECK(ContentOf(configuration) == before);
  }
}

TEST_CASE("A put resource gets the change's revision as its version, not the one in the record")
{
  Configuration configuration = SampleConfiguration();
  ChangeRecord change = PutBlock(2, 1, "kochi");
  *change.add_puts() = FromJson<Resource>(
    R"({"name": "franchise", "version": 1, "client_account": {"rate": 7, "burst": 7}})");
  REQUIRE(IsOk(configuration.Apply(change)));
  CHECK(configuration.Find("client_account", "franchise")->version() == 2);
  CHECK(ValueOf(configuration.Get("client_block", "10.0.1.0_24")).version() == 2);
  CHECK(configuration.Find("region", "kochi")->version() == 1);
}

TEST_CASE("A deletion removes the named resources and no others")
{
  Configuration configuration = SampleConfiguration();
  const char* deletes = R"({"deletes": [{"kind": "client_block", "name": "10.1.2.0_24"},
    {"kind": "region", "name": "unused"}, {"kind": "region", "name": "nosuch"}]})";
  REQUIRE(IsOk(configuration.Apply(ChangeOf(2, FromJson<ApplyRequest>(deletes)))));
  CHECK(configuration.Count("client_block") == 0);
  CHECK(configuration.Count("region") == 2);
  CHECK(configuration.Find("region", "unused") == nullptr);
  const Result<Resource> block = configuration.Get("client_block", "10.1.2.0_24");
  REQUIRE_FALSE(IsOk(block));
  CHECK(ErrorOf(block).kind == ErrorKind::kNotFound);
}

TEST_CASE("A copy is unaffected by changes of the original")
{
  Configuration configuration = SampleConfiguration();
  const Configuration copy = configuration;
  const auto before = ContentOf(copy);
  ChangeRecord change = PutBlock(2, 1, "elsewhere");
  *change.add_puts() = BlockResource(258, "elsewhere");
  change.add_deletes()->set_kind("region");
  change.mutable_deletes(0)->set_name("unused");
  REQUIRE(IsOk(configuration.Apply(change)));
  CHECK(ContentOf(copy) == before);
  CHECK(ContentOf(configuration) != before);
  CHECK(copy.AppliedRevision() == 1);
}

TEST_CASE("ForEach visits client blocks in order of name")
{
  Configuration configuration = MakeConfiguration(300);
  std::vector<std::string> names;
  configuration.ForEach("client_block",
                        [&](const Resource& aBlock) { names.push_back(aBlock.name()); });
  CHECK(names.size() == 300);
  CHECK(std::is_sorted(names.begin(), names.end()));
}

TEST_CASE("ForEachBlock visits address, length and region of each client block")
{
  std::size_t seen = 0;
  SampleConfiguration().ForEachBlock(
    [&](std::uint32_t aAddress, std::uint8_t aLength, std::string_view aRegion) {
      ++seen;
      CHECK(aAddress == 0x0a010200);
      CHECK(aLength == 24);
      CHECK(aRegion == "kozhikode");
    });
  CHECK(seen == 1);
}

TEST_CASE("Shuffled snapshot chunks load as the same configuration and give the same bytes")
{
  Configuration original = MakeConfiguration(5000);
  REQUIRE(IsOk(original.Apply(ChangeOf(2, FromJson<ApplyRequest>(kSampleResources)))));
  std::vector<std::string> chunks = original.ToChunks();
  std::mt19937_64 random(kSeed);
  std::shuffle(chunks.begin(), chunks.end(), random);
  const Result<Configuration> loaded = Configuration::FromChunks(2, chunks);
  REQUIRE(IsOk(loaded));
  CHECK(ValueOf(loaded).AppliedRevision() == 2);
  CHECK(ContentOf(ValueOf(loaded)) == ContentOf(original));
  CHECK(ValueOf(loaded).ToChunks() == original.ToChunks());
}

TEST_CASE("Equal content gives equal chunks regardless of the order of changes")
{
  Configuration forward;
  Configuration reverse;
  constexpr std::uint32_t kCount = 40;
  for (std::uint32_t step = 0; step < kCount; ++step) {
    REQUIRE(IsOk(forward.Apply(PutBlock(step + 1, step, "a"))));
    REQUIRE(IsOk(reverse.Apply(PutBlock(step + 1, kCount - 1 - step, step % 2 == 0 ? "b" : "a"))));
  }
  ChangeRecord all;
  all.set_revision(kCount + 1);
  for (std::uint32_t step = 0; step < kCount; ++step) {
    *all.add_puts() = BlockResource(step, "c");
  }
  REQUIRE(IsOk(forward.Apply(all)));
  REQUIRE(IsOk(reverse.Apply(all)));
  CHECK(forward.ToChunks() == reverse.ToChunks());
}

TEST_CASE("A change of one resource changes one chunk")
{
  Configuration configuration = MakeConfiguration(20000);
  REQUIRE(IsOk(configuration.Apply(ChangeOf(2, FromJson<ApplyRequest>(kSampleResources)))));
  const std::vector<std::string> before = configuration.ToChunks();
  std::mt19937_64 random(kSeed);
  Revision revision = 2;
  for (int round = 0; round < 5; ++round) {
    const auto number = static_cast<std::uint32_t>(random() % 20000);
    Configuration changed = configuration;
    REQUIRE(IsOk(changed.Apply(PutBlock(revision + 1, number, "moved"))));
    const std::vector<std::string> after = changed.ToChunks();
    CHECK(CountMissing(after, before) == 1);
    CHECK(CountMissing(before, after) == 1);
  }
  const char* account =
    R"({"resources": [{"name": "franchise", "client_account": {"rate": 1, "burst": 1}}]})";
  REQUIRE(IsOk(configuration.Apply(ChangeOf(3, FromJson<ApplyRequest>(account)))));
  CHECK(CountMissing(configuration.ToChunks(), before) == 1);
}

TEST_CASE("FromChunks rejects an invalid snapshot")
{
  const std::vector<std::string> valid = SampleConfiguration().ToChunks();
  const auto withChunk = [&](const char* aResource) {
    SnapshotChunk chunk;
    *chunk.add_resources() = FromJson<Resource>(aResource);
    std::vector<std::string> chunks = valid;
    chunks.push_back(chunk.SerializeAsString());
    return chunks;
  };
  const std::vector<std::vector<std::string>> invalidSnapshots = {
    { "\xff\xff" },
    withChunk(R"({"name": "x", "version": 1})"),
    withChunk(R"({"version": 1, "region": {}})"),
    withChunk(R"({"name": "x", "version": 2, "region": {}})"),
    withChunk(R"({"name": "x", "region": {}})"),
    withChunk(R"({"name": "kochi", "version": 1, "region": {}})"),
    withChunk(R"({"name": "10.1.2.0_24", "version": 1, "client_block": {"cidr": "10.1.2.0/24"}})"),
    withChunk(R"({"name": "x", "version": 1, "client_block": {"cidr": "10.1.3.0/24"}})"),
  };
  REQUIRE(IsOk(Configuration::FromChunks(1, valid)));
  for (std::size_t index = 0; index < invalidSnapshots.size(); ++index) {
    CAPTURE(index);
    const Result<Configuration> loaded = Configuration::FromChunks(1, invalidSnapshots[index]);
    REQUIRE_FALSE(IsOk(loaded));
    CHECK(ErrorOf(loaded).kind == ErrorKind::kInvalid);
  }
}

TEST_CASE("A resource of an unknown kind is kept through snapshots until deleted")
{
  constexpr int kNewerField = 900;
  Resource newer;
  newer.set_name("n");
  newer.set_kind("newer_kind");
  newer.GetReflection()->MutableUnknownFields(&newer)->AddLengthDelimited(kNewerField, "spec");
  ChangeRecord put;
  put.set_revision(1);
  *put.add_puts() = newer;
  Configuration configuration;
  REQUIRE(IsOk(configuration.Apply(put)));

  Result<Configuration> loaded = Configuration::FromChunks(1, configuration.ToChunks());
  REQUIRE(IsOk(loaded));
  const Resource* kept = ValueOf(loaded).Find("newer_kind", "n");
  REQUIRE(kept != nullptr);
  CHECK(kept->GetReflection()->GetUnknownFields(*kept).field_count() == 1);

  ChangeRecord deletion;
  deletion.set_revision(2);
  deletion.add_deletes()->set_kind("newer_kind");
  deletion.mutable_deletes(0)->set_name("n");
  REQUIRE(IsOk(ValueOf(loaded).Apply(deletion)));
  CHECK(ValueOf(loaded).ToChunks().empty());
}

} // namespace plantainhaven
