#pragma once

#include "plantainhaven/policy/config/configuration.h"
#include "policy/config/cidr.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace plantainhaven {

// A client block in packed form.
struct PackedBlock
{
  Revision version = 0;
  std::uint32_t address = 0;
  // Index into the table's list of region names.
  std::uint32_t region : 24 = 0;
  std::uint32_t length : 8 = 0;

  Ipv4Prefix Prefix() const { return { this->address, static_cast<std::uint8_t>(this->length) }; }
};

// Sets one block, or removes it; the region of a removal is ignored.
struct BlockEdit
{
  Ipv4Prefix prefix;
  std::string region;
  Revision version = 0;
  bool remove = false;
};

// A BlockEdit with the index of the region in place of its name.
struct PackedEdit
{
  PackedBlock block;
  bool remove = false;
};

// All client blocks, ordered by address and length, in immutable chunks that copies of
// the table share. Edit() replaces only the chunks that it changes. A value type.
class BlockTable
{
public:
  // A chunk that grows beyond twice as many blocks is split into pieces of about this size.
  static constexpr std::size_t kChunkBlocks = 1000;

  using Chunk = std::vector<PackedBlock>;

  std::size_t Size() const { return this->size; }
  // Returns the block with exactly this prefix, or null if there is none.
  const PackedBlock* Find(Ipv4Prefix aPrefix) const;
  const std::string& RegionOf(const PackedBlock& aBlock) const;
  void ForEach(const std::function<void(const PackedBlock&)>& aVisit) const;
  // Applies edits, which may be in any order; the last of several for one prefix wins.
  void Edit(std::vector<BlockEdit> aEdits);

  // Returns the bytes allocated for blocks, chunks and region names, computed from capacities.
  std::size_t Footprint() const;
  // Returns the number of chunks that this table shares with `aOther`.
  std::size_t SharedChunkCount(const BlockTable& aOther) const;
  std::size_t ChunkCount() const { return this->chunks.size(); }

private:
  std::vector<PackedEdit> Pack(const std::vector<BlockEdit>& aEdits);
  void CountBlocks();

  std::vector<std::shared_ptr<const Chunk>> chunks;
  // Region names are only appended, so that the indexes in existing chunks stay valid. A
  // table that is loaded from a snapshot starts with an empty list.
  std::shared_ptr<const std::vector<std::string>> regions =
    std::make_shared<const std::vector<std::string>>();
  std::size_t size = 0;
};

} // namespace plantainhaven
