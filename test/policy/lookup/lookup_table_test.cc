#include "plantainhaven/policy/lookup/client_address.h"
#include "plantainhaven/policy/lookup/lookup_table.h"

#include <algorithm>
#include <random>

#include <catch2/catch.hpp>

namespace plantainhaven {
namespace {

struct Block
{
  std::uint32_t address = 0;
  unsigned length = 0;
  std::string region;
};

constexpr std::uint32_t kLastAddress = 0xffffffff;

std::uint32_t
MaskOf(unsigned aLength)
{
  return aLength == 0 ? 0 : kLastAddress << (32 - aLength);
}

std::string
Dotted(std::uint32_t aAddress)
{
  std::string text;
  for (int shift = 24; shift >= 0; shift -= 8) {
    text += std::to_string(aAddress >> shift & 0xff) + (shift == 0 ? "" : ".");
  }
  return text;
}

Configuration
ConfigurationWith(const std::vector<Block>& aBlocks)
{
  ChangeRecord change;
  change.set_revision(1);
  for (const Block& block : aBlocks) {
    Resource* const resource = change.add_puts();
    const std::string length = std::to_string(block.length);
    resource->set_name(Dotted(block.address) + "_" + length);
    resource->mutable_client_block()->set_cidr(Dotted(block.address) + "/" + length);
    resource->mutable_client_block()->set_region(block.region);
  }
  Configuration configuration;
  REQUIRE(IsOk(configuration.Apply(change)));
  return configuration;
}

std::string
RegionOf(const LookupTable& aTable, std::uint32_t aAddress)
{
  const RegionNumber number = aTable.Find(aAddress);
  return number == kNoRegion ? "" : aTable.Regions().at(number);
}

// Reference implementation: searches all blocks.
std::string
LongestMatch(const std::vector<Block>& aBlocks, std::uint32_t aAddress)
{
  const Block* best = nullptr;
  for (const Block& block : aBlocks) {
    const bool holds = (aAddress & MaskOf(block.length)) == block.address;
    if (holds && (best == nullptr || block.length > best->length)) {
      best = &block;
    }
  }
  return best == nullptr ? "" : best->region;
}

// Returns blocks of every length, concentrated in a few /14s so that many are nested or
// adjacent. No block occurs twice, as the configuration has one region per block.
std::vector<Block>
RandomBlocks(std::mt19937_64& aRandom, std::size_t aCount)
{
  std::vector<Block> blocks;
  while (blocks.size() < aCount) {
    const unsigned length = aRandom() % 16 == 0 ? aRandom() % 14 : 14 + aRandom() % 19;
    const auto concentrated =
      static_cast<std::uint32_t>((aRandom() % 3) << 30 | aRandom() % (1 << 18));
    const std::uint32_t address = concentrated & MaskOf(length);
    const bool known = std::any_of(blocks.begin(), blocks.end(), [&](const Block& aBlock) {
      return aBlock.address == address && aBlock.length == length;
    });
    if (!known) {
      blocks.push_back({ address, length, "region-" + std::to_string(aRandom() % 7) });
    }
  }
  return blocks;
}

// The boundary addresses of every block, where an error in a range would be detected.
std::vector<std::uint32_t>
EdgesOf(const std::vector<Block>& aBlocks)
{
  std::vector<std::uint32_t> edges = { 0, kLastAddress };
  for (const Block& block : aBlocks) {
    const std::uint32_t last = block.address | ~MaskOf(block.length);
    edges.insert(edges.end(), { block.address - 1, block.address, last, last + 1 });
  }
  return edges;
}

} // namespace

TEST_CASE("LookupTable finds the longest block that contains an address")
{
  struct Case
  {
    const char* name;
    std::vector<Block> blocks;
    std::uint32_t address;
    std::string region;
  };
  const Case cases[] = {
    { "no blocks", {}, 0x0a000001, "" },
    { "all addresses", { { 0, 0, "all" } }, kLastAddress, "all" },
    { "all but one", { { 0, 0, "all" }, { 7, 32, "one" } }, 7, "one" },
    { "after the nested block", { { 0, 0, "all" }, { 7, 32, "one" } }, 8, "all" },
    { "last address", { { kLastAddress, 32, "last" } }, kLastAddress, "last" },
    { "before the last", { { kLastAddress, 32, "last" } }, kLastAddress - 1, "" },
    { "first of a block", { { 0x0a000000, 8, "ten" } }, 0x0a000000, "ten" },
    { "last of a block", { { 0x0a000000, 8, "ten" } }, 0x0affffff, "ten" },
    { "after a block", { { 0x0a000000, 8, "ten" } }, 0x0b000000, "" },
    { "adjacent, left", { { 0, 1, "low" }, { 0x80000000, 1, "high" } }, 0x7fffffff, "low" },
    { "adjacent, right", { { 0, 1, "low" }, { 0x80000000, 1, "high" } }, 0x80000000, "high" },
    { "same start", { { 0x0a000000, 8, "out" }, { 0x0a000000, 24, "in" } }, 0x0a0000ff, "in" },
    { "past same start",
      { { 0x0a000000, 8, "out" }, { 0x0a000000, 24, "in" } },
      0x0a000100,
      "out" },
    { "same end", { { 0x0a000000, 8, "out" }, { 0x0affff00, 24, "in" } }, 0x0affffff, "in" },
    { "past same end", { { 0x0a000000, 8, "out" }, { 0x0affff00, 24, "in" } }, 0x0b000000, "" },
  };
  for (const Case& testCase : cases) {
    CAPTURE(testCase.name);
    const LookupTable table(ConfigurationWith(testCase.blocks));
    CHECK(RegionOf(table, testCase.address) == testCase.region);
  }
}

TEST_CASE("LookupTable matches a linear search of all blocks")
{
  constexpr int kSeeds = 40;
  constexpr int kProbes = 500;
  for (int seed = 0; seed < kSeeds; ++seed) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    const std::vector<Block> blocks = RandomBlocks(random, 1 + random() % 150);
    const LookupTable table(ConfigurationWith(blocks));
    std::vector<std::uint32_t> addresses = EdgesOf(blocks);
    for (int probe = 0; probe < kProbes; ++probe) {
      addresses.push_back(static_cast<std::uint32_t>(random()));
      addresses.push_back(static_cast<std::uint32_t>(random() % (1 << 18)));
    }
    for (const std::uint32_t address : addresses) {
      CAPTURE(Dotted(address));
      REQUIRE(RegionOf(table, address) == LongestMatch(blocks, address));
    }
    REQUIRE(table.RangeCount() <= 2 * blocks.size() + 1);
  }
}

TEST_CASE("LookupTable merges adjacent blocks of the same region")
{
  const LookupTable table(
    ConfigurationWith({ { 0, 1, "a" }, { 0x80000000, 1, "a" }, { 0x0a000000, 8, "a" } }));
  CHECK(table.RangeCount() == 1);
}

TEST_CASE("ParseClientAddress accepts only IP addresses")
{
  struct Case
  {
    std::string text;
    bool valid;
    std::optional<std::uint32_t> ipv4;
  };
  const Case cases[] = {
    { "10.1.2.3", true, 0x0a010203 }, { "::ffff:10.1.2.3", true, 0x0a010203 },
    { "2001:db8::1", true, {} },      { "", false, {} },
    { "10.1.2", false, {} },          { "10.1.2.256", false, {} },
    { "10.1.2.3/32", false, {} },     { "host.example", false, {} },
  };
  for (const Case& testCase : cases) {
    CAPTURE(testCase.text);
    const std::optional<ClientAddress> address = ParseClientAddress(testCase.text);
    REQUIRE(address.has_value() == testCase.valid);
    CHECK((!address || address->ipv4 == testCase.ipv4));
  }
}

} // namespace plantainhaven
