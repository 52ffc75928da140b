#include "plantainhaven/policy/lookup/lookup_table.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <unordered_map>

namespace plantainhaven {
namespace {

constexpr unsigned kAddressBits = 32;
constexpr unsigned kIndexBits = 16;
constexpr std::uint32_t kIndexEntries = std::uint32_t{ 1 } << kIndexBits;
// One past the last IPv4 address.
constexpr std::uint64_t kAddressEnd = std::uint64_t{ 1 } << kAddressBits;

struct Block
{
  std::uint32_t address = 0;
  std::uint8_t length = 0;
  RegionNumber region = kNoRegion;

  std::uint64_t End() const
  {
    return this->address + (std::uint64_t{ 1 } << (kAddressBits - this->length));
  }
};

// Sorts an outer block before the blocks that it contains.
bool
SortsBefore(const Block& aLeft, const Block& aRight)
{
  return aLeft.address != aRight.address ? aLeft.address < aRight.address
                                         : aLeft.length < aRight.length;
}

// Assigns numbers to region names in the order of their first use.
class RegionNumbers
{
public:
  // Returns kNoRegion if all region numbers are in use.
  RegionNumber Of(std::string_view aName)
  {
    const auto found = this->numbers.find(aName);
    if (found != this->numbers.end()) {
      return found->second;
    }
    if (this->names.size() >= kNoRegion) {
      return kNoRegion;
    }
    const auto number = static_cast<RegionNumber>(this->names.size());
    this->names.emplace_back(aName);
    this->numbers.emplace(aName, number);
    return number;
  }

  std::vector<std::string> names;

private:
  std::unordered_map<std::string_view, RegionNumber> numbers;
};

std::vector<Block>
SortedBlocks(const Configuration& aConfiguration, RegionNumbers& aRegions)
{
  std::vector<Block> blocks;
  blocks.reserve(aConfiguration.Count("client_block"));
  aConfiguration.ForEachBlock(
    [&](std::uint32_t aAddress, std::uint8_t aLength, std::string_view aRegion) {
      blocks.push_back({ aAddress, aLength, aRegions.Of(aRegion) });
    });
  if (!std::is_sorted(blocks.begin(), blocks.end(), SortsBefore)) {
    std::sort(blocks.begin(), blocks.end(), SortsBefore);
  }
  return blocks;
}

} // namespace

struct LookupTable::Impl
{
  void Flatten(const std::vector<Block>& aBlocks);
  // Maps the addresses from `aStart` up to the `aStart` of the next call to `aRegion`.
  void BeginRange(std::uint64_t aStart, RegionNumber aRegion);
  // Removes the blocks that end at or before `aUpTo` from `aOpen`, and begins a range of the
  // enclosing block after each.
  void CloseBlocks(std::vector<Block>& aOpen, std::uint64_t aUpTo);
  void BuildIndex();

  // Range N covers the addresses from starts[N] to starts[N + 1] - 1; starts[0] is 0.
  std::vector<std::uint32_t> starts;
  std::vector<RegionNumber> regions;
  // Number of the range that contains the first address of each /16. The last entry is the
  // number of the last range.
  std::array<std::uint32_t, kIndexEntries + 1> index{};
  std::vector<std::string> names;
};

void
LookupTable::Impl::Flatten(const std::vector<Block>& aBlocks)
{
  this->BeginRange(0, kNoRegion);
  // Blocks that contain the current address, outermost first.
  std::vector<Block> open;
  for (const Block& block : aBlocks) {
    this->CloseBlocks(open, block.address);
    this->BeginRange(block.address, block.region);
    open.push_back(block);
  }
  this->CloseBlocks(open, kAddressEnd);
  this->starts.shrink_to_fit();
  this->regions.shrink_to_fit();
}

void
LookupTable::Impl::BeginRange(std::uint64_t aStart, RegionNumber aRegion)
{
  if (aStart >= kAddressEnd) {
    return;
  }
  const auto start = static_cast<std::uint32_t>(aStart);
  if (!this->starts.empty() && this->starts.back() == start) {
    this->starts.pop_back();
    this->regions.pop_back();
  }
  if (!this->regions.empty() && this->regions.back() == aRegion) {
    return;
  }
  this->starts.push_back(start);
  this->regions.push_back(aRegion);
}

void
LookupTable::Impl::CloseBlocks(std::vector<Block>& aOpen, std::uint64_t aUpTo)
{
  while (!aOpen.empty() && aOpen.back().End() <= aUpTo) {
    const std::uint64_t end = aOpen.back().End();
    aOpen.pop_back();
    this->BeginRange(end, aOpen.empty() ? kNoRegion : aOpen.back().region);
  }
}

void
LookupTable::Impl::BuildIndex()
{
  std::uint32_t range = 0;
  const auto last = static_cast<std::uint32_t>(this->starts.size() - 1);
  for (std::uint32_t entry = 0; entry < kIndexEntries; ++entry) {
    const std::uint32_t first = entry << kIndexBits;
    while (range < last && this->starts[range + 1] <= first) {
      ++range;
    }
    this->index[entry] = range;
  }
  this->index[kIndexEntries] = last;
}

LookupTable::LookupTable(const Configuration& aConfiguration)
  : impl(std::make_unique<Impl>())
{
  RegionNumbers numbers;
  const std::vector<Block> blocks = SortedBlocks(aConfiguration, numbers);
  this->impl->Flatten(blocks);
  this->impl->BuildIndex();
  this->impl->names = std::move(numbers.names);
}

LookupTable::~LookupTable() = default;

RegionNumber
LookupTable::Find(std::uint32_t aAddress) const noexcept
{
  const std::uint32_t entry = aAddress >> kIndexBits;
  const std::uint32_t* const starts = this->impl->starts.data();
  const std::uint32_t* const first = starts + this->impl->index[entry] + 1;
  const std::uint32_t* const end = starts + this->impl->index[entry + 1] + 1;
  const std::uint32_t* const next = std::upper_bound(first, end, aAddress);
  return this->impl->regions[static_cast<std::size_t>(next - starts) - 1];
}

const std::vector<std::string>&
LookupTable::Regions() const
{
  return this->impl->names;
}

std::size_t
LookupTable::RangeCount() const
{
  return this->impl->starts.size();
}

std::size_t
LookupTable::Footprint() const
{
  std::size_t bytes = sizeof(Impl);
  bytes += this->impl->starts.capacity() * sizeof(std::uint32_t);
  bytes += this->impl->regions.capacity() * sizeof(RegionNumber);
  for (const std::string& name : this->impl->names) {
    bytes += sizeof(std::string) + name.capacity();
  }
  return bytes;
}

} // namespace plantainhaven
