#include "policy/config/block_table.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <set>
#include <utility>

namespace plantainhaven {

namespace {

using Chunk = BlockTable::Chunk;
using SharedChunk = std::shared_ptr<const Chunk>;
using EditIterator = std::vector<PackedEdit>::const_iterator;

// A changed chunk with fewer blocks is merged with the next one.
constexpr std::size_t kMinChunkBlocks = BlockTable::kChunkBlocks / 4;

bool
BlockIsBefore(const PackedBlock& aBlock, const Ipv4Prefix& aPrefix)
{
  return aBlock.Prefix() < aPrefix;
}

// Sorts edits by prefix and keeps the last edit of each prefix.
void
SortAndDeduplicate(std::vector<BlockEdit>& aEdits)
{
  std::stable_sort(
    aEdits.begin(), aEdits.end(), [](const BlockEdit& aLeft, const BlockEdit& aRight) {
      return aLeft.prefix < aRight.prefix;
    });
  const auto samePrefix = [](const BlockEdit& aLeft, const BlockEdit& aRight) {
    return aLeft.prefix == aRight.prefix;
  };
  const auto dropped = std::unique(aEdits.rbegin(), aEdits.rend(), samePrefix);
  aEdits.erase(aEdits.begin(), dropped.base());
}

// Copies the blocks of `aOld` from index `aNext` up to `aPrefix`, exclusive, to `aMerged`
// and advances `aNext` past them.
void
CopyBefore(const Chunk& aOld, std::size_t& aNext, const Ipv4Prefix& aPrefix, Chunk& aMerged)
{
  const auto begin = aOld.begin() + static_cast<std::ptrdiff_t>(aNext);
  const auto end = std::lower_bound(begin, aOld.end(), aPrefix, BlockIsBefore);
  aMerged.insert(aMerged.end(), begin, end);
  aNext = static_cast<std::size_t>(end - aOld.begin());
}

// Returns the blocks of `aCarried`, which come first, and of `aOld` with the edits applied.
Chunk
Merge(Chunk aCarried, const Chunk& aOld, EditIterator aEdit, EditIterator aStop)
{
  Chunk merged = std::move(aCarried);
  merged.reserve(merged.size() + aOld.size() + static_cast<std::size_t>(aStop - aEdit));
  std::size_t nextOld = 0;
  for (; aEdit != aStop; ++aEdit) {
    const Ipv4Prefix prefix = aEdit->block.Prefix();
    CopyBefore(aOld, nextOld, prefix, merged);
    const bool replaces = nextOld < aOld.size() && aOld[nextOld].Prefix() == prefix;
    nextOld += replaces ? 1 : 0;
    if (!aEdit->remove) {
      merged.push_back(aEdit->block);
    }
  }
  merged.insert(merged.end(), aOld.begin() + static_cast<std::ptrdiff_t>(nextOld), aOld.end());
  return merged;
}

// Returns the first edit that belongs to chunk `aNext` or a later one.
EditIterator
FirstAtOrAfter(EditIterator aEdit, EditIterator aEnd, const Chunk& aNext)
{
  const Ipv4Prefix first = aNext.front().Prefix();
  return std::find_if(aEdit, aEnd, [&](const PackedEdit& aCandidate) {
    return !(aCandidate.block.Prefix() < first);
  });
}

// Appends blocks as one chunk, or as several of even size if they exceed the chunk limit.
void
AppendChunks(const Chunk& aBlocks, std::vector<SharedChunk>& aChunks)
{
  const bool fits = aBlocks.size() <= 2 * BlockTable::kChunkBlocks;
  const std::size_t pieces = fits ? 1 : aBlocks.size() / BlockTable::kChunkBlocks;
  for (std::size_t piece = 0; piece < pieces && !aBlocks.empty(); ++piece) {
    const auto begin = static_cast<std::ptrdiff_t>(aBlocks.size() * piece / pieces);
    const auto end = static_cast<std::ptrdiff_t>(aBlocks.size() * (piece + 1) / pieces);
    aChunks.push_back(
      std::make_shared<const Chunk>(aBlocks.begin() + begin, aBlocks.begin() + end));
  }
}

// Maps region names to indexes. Existing names keep theirs, new names are appended.
struct RegionIndex
{
  explicit RegionIndex(const std::vector<std::string>& aNames)
    : names(aNames)
  {
    for (const std::string& name : this->names) {
      this->numbers.emplace(name, static_cast<std::uint32_t>(this->numbers.size()));
    }
  }

  std::uint32_t NumberOf(const std::string& aName)
  {
    const auto [found, added] =
      this->numbers.emplace(aName, static_cast<std::uint32_t>(this->names.size()));
    if (added) {
      this->names.push_back(aName);
    }
    return found->second;
  }

  std::vector<std::string> names;
  std::map<std::string, std::uint32_t> numbers;
};

} // namespace

const PackedBlock*
BlockTable::Find(Ipv4Prefix aPrefix) const
{
  const auto startsAfter = [](const Ipv4Prefix& aKey, const SharedChunk& aChunk) {
    return aKey < aChunk->front().Prefix();
  };
  const auto next =
    std::upper_bound(this->chunks.begin(), this->chunks.end(), aPrefix, startsAfter);
  if (next == this->chunks.begin()) {
    return nullptr;
  }
  const Chunk& chunk = **(next - 1);
  const auto found = std::lower_bound(chunk.begin(), chunk.end(), aPrefix, BlockIsBefore);
  return found != chunk.end() && found->Prefix() == aPrefix ? &*found : nullptr;
}

const std::string&
BlockTable::RegionOf(const PackedBlock& aBlock) const
{
  return (*this->regions)[aBlock.region];
}

void
BlockTable::ForEach(const std::function<void(const PackedBlock&)>& aVisit) const
{
  for (const SharedChunk& chunk : this->chunks) {
    std::for_each(chunk->begin(), chunk->end(), aVisit);
  }
}

void
BlockTable::Edit(std::vector<BlockEdit> aEdits)
{
  if (aEdits.empty()) {
    return;
  }
  SortAndDeduplicate(aEdits);
  std::vector<PackedEdit> edits = this->Pack(aEdits);
  std::vector<SharedChunk> old = std::move(this->chunks);
  if (old.empty()) {
    old.push_back(std::make_shared<const Chunk>());
  }
  this->chunks.clear();
  Chunk carried;
  EditIterator edit = edits.begin();
  for (std::size_t index = 0; index < old.size(); ++index) {
    const bool last = index + 1 == old.size();
    const EditIterator stop =
      last ? edits.end() : FirstAtOrAfter(edit, edits.end(), *old[index + 1]);
    if (edit == stop && carried.empty()) {
      this->chunks.push_back(std::move(old[index]));
      continue;
    }
    Chunk merged = Merge(std::exchange(carried, {}), *old[index], edit, stop);
    edit = stop;
    if (!last && merged.size() < kMinChunkBlocks) {
      carried = std::move(merged);
    } else {
      AppendChunks(merged, this->chunks);
    }
  }
  this->CountBlocks();
}

std::vector<PackedEdit>
BlockTable::Pack(const std::vector<BlockEdit>& aEdits)
{
  std::vector<PackedEdit> packed;
  packed.reserve(aEdits.size());
  RegionIndex index(*this->regions);
  for (const BlockEdit& edit : aEdits) {
    PackedBlock block;
    block.version = edit.version;
    block.address = edit.prefix.address;
    block.length = edit.prefix.length;
    block.region = edit.remove ? 0 : index.NumberOf(edit.region);
    packed.push_back({ block, edit.remove });
  }
  if (index.names.size() != this->regions->size()) {
    this->regions = std::make_shared<const std::vector<std::string>>(std::move(index.names));
  }
  return packed;
}

void
BlockTable::CountBlocks()
{
  this->size = 0;
  for (const SharedChunk& chunk : this->chunks) {
    this->size += chunk->size();
  }
}

std::size_t
BlockTable::Footprint() const
{
  std::size_t bytes = sizeof(*this) + this->chunks.capacity() * sizeof(SharedChunk);
  for (const SharedChunk& chunk : this->chunks) {
    bytes += sizeof(Chunk) + chunk->capacity() * sizeof(PackedBlock);
  }
  bytes += sizeof(std::vector<std::string>) + this->regions->capacity() * sizeof(std::string);
  for (const std::string& region : *this->regions) {
    bytes += region.capacity();
  }
  return bytes;
}

std::size_t
BlockTable::SharedChunkCount(const BlockTable& aOther) const
{
  const std::set<SharedChunk> others(aOther.chunks.begin(), aOther.chunks.end());
  return static_cast<std::size_t>(
    std::count_if(this->chunks.begin(), this->chunks.end(), [&](const SharedChunk& aChunk) {
      return others.count(aChunk) != 0;
    }));
}

} // namespace plantainhaven
