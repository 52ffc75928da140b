#include "policy/config/block_table.h"

#include <map>
#include <random>

#include <catch2/catch.hpp>

namespace plantainhaven {

namespace {

constexpr std::uint64_t kSeed = 20261204;
// The largest number of client blocks that the project supports.
constexpr std::uint32_t kMaxBlocks = 340000;
constexpr std::size_t kMaxBytesPerBlock = 32;

struct Expected
{
  std::string region;
  Revision version = 0;

  friend bool operator==(const Expected&, const Expected&) = default;
};

using ExpectedBlocks = std::map<Ipv4Prefix, Expected>;

ExpectedBlocks
ContentOf(const BlockTable& aTable)
{
  ExpectedBlocks content;
  aTable.ForEach([&](const PackedBlock& aBlock) {
    content[aBlock.Prefix()] = { aTable.RegionOf(aBlock), aBlock.version };
  });
  return content;
}

BlockTable
MakeTable(std::uint32_t aCount)
{
  std::vector<BlockEdit> edits;
  for (std::uint32_t number = 0; number < aCount; ++number) {
    edits.push_back({ { number << 8, 24 }, "region-" + std::to_string(number % 190), 1, false });
  }
  BlockTable table;
  table.Edit(std::move(edits));
  return table;
}

BlockEdit
RandomEdit(std::mt19937_64& aRandom, Revision aVersion)
{
  const auto length = static_cast<std::uint8_t>(20 + aRandom() % 5);
  const auto address = static_cast<std::uint32_t>(aRandom() % 4096) << 12;
  const bool remove = aRandom() % 3 == 0;
  return { { address, length }, "region-" + std::to_string(aRandom() % 9), aVersion, remove };
}

void
ApplyEdits(const std::vector<BlockEdit>& aEdits, ExpectedBlocks& aExpected)
{
  for (const BlockEdit& edit : aEdits) {
    aExpected.erase(edit.prefix);
    if (!edit.remove) {
      aExpected[edit.prefix] = { edit.region, edit.version };
    }
  }
}

} // namespace

TEST_CASE("Random edits give the same content as in a std::map")
{
  std::mt19937_64 random(kSeed);
  BlockTable table;
  ExpectedBlocks expected;
  for (Revision version = 1; version <= 120; ++version) {
    // Every tenth round makes a large edit, so that chunks are split and merged.
    const std::size_t count = version % 10 == 0 ? 4000 : 1 + random() % 3;
    std::vector<BlockEdit> edits;
    for (std::size_t index = 0; index < count; ++index) {
      edits.push_back(RandomEdit(random, version));
    }
    ApplyEdits(edits, expected);
    table.Edit(std::move(edits));
    REQUIRE(table.Size() == expected.size());
    REQUIRE(ContentOf(table) == expected);
  }
  for (int lookup = 0; lookup < 2000; ++lookup) {
    const Ipv4Prefix prefix = RandomEdit(random, 0).prefix;
    const PackedBlock* found = table.Find(prefix);
    REQUIRE((found != nullptr) == (expected.count(prefix) == 1));
    REQUIRE((found == nullptr || found->version == expected[prefix].version));
  }
}

TEST_CASE("340,000 blocks use at most 32 bytes each, also after many single edits")
{
  BlockTable table = MakeTable(kMaxBlocks);
  CHECK(table.Size() == kMaxBlocks);
  CHECK(table.Footprint() <= kMaxBlocks * kMaxBytesPerBlock);
  std::mt19937_64 random(kSeed);
  for (Revision version = 2; version < 3000; ++version) {
    const auto address = static_cast<std::uint32_t>(random() % kMaxBlocks) << 8;
    const auto length = static_cast<std::uint8_t>(24 + version % 3);
    table.Edit({ { { address, length }, "region-1", version, version % 4 == 0 } });
  }
  CHECK(table.Footprint() <= table.Size() * kMaxBytesPerBlock);
}

TEST_CASE("An edit copies one chunk and shares the others")
{
  const BlockTable original = MakeTable(50000);
  REQUIRE(original.ChunkCount() >= 25);
  struct EditCase
  {
    const char* title;
    BlockEdit edit;
  };
  const EditCase cases[] = {
    { "changed", { { 1000U << 8, 24 }, "region-1", 2, false } },
    { "added", { { 1000U << 8, 25 }, "region-new", 2, false } },
    { "first removed", { { 0, 24 }, "", 2, true } },
    { "last removed", { { 49999U << 8, 24 }, "", 2, true } },
    { "added before all", { { 0, 8 }, "region-1", 2, false } },
    { "added after all", { { 0xffffff00, 24 }, "region-1", 2, false } },
  };
  for (const EditCase& editCase : cases) {
    INFO(editCase.title);
    BlockTable copy = original;
    copy.Edit({ editCase.edit });
    CHECK(copy.SharedChunkCount(original) == original.ChunkCount() - 1);
  }
}

TEST_CASE("Chunks that become empty or small are dropped or merged")
{
  BlockTable table = MakeTable(10000);
  std::vector<BlockEdit> removals;
  for (std::uint32_t number = 0; number < 10000; ++number) {
    if (number % 100 != 0) {
      removals.push_back({ { number << 8, 24 }, "", 2, true });
    }
  }
  table.Edit(std::move(removals));
  CHECK(table.Size() == 100);
  CHECK(table.ChunkCount() == 1);
  REQUIRE(table.Find({ 9900U << 8, 24 }) != nullptr);
  CHECK(table.Find({ 9901U << 8, 24 }) == nullptr);
}

} // namespace plantainhaven
