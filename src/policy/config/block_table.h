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

// One client block as the table stores it.
struct PackedBlock
{
  Revision version = 0;
  std::uint32_t address = 0;
  // Index of the region's name in the table's list of names.
  std::uint32_t region : 24 = 0;
  std::uint32_t length : 8 = 0;

  Ipv4Prefix Prefix() const { return { this->address, static_cast<std::uint8_t>(this->length) }; }
};

// A change of one block: what it becomes, or nothing when it is deleted.
struct BlockEdit
{
  Ipv4Prefix prefix;
  std::string region;
  Revision version = 0;
  bool remove = false;
};

// A BlockEdit whose region is numbered.
struct PackedEdit
{
  PackedBlock block;
  bool remove = false;
};

// All client blocks, ordered by address and length, in chunks that copies of the table
// share. Edit() copies only the chunks that it changes. A value type.
class BlockTable
{
public:
  // A chunk is cut in pieces of this size when it grows beyond twice as many blocks.
  static constexpr std::size_t kChunkBlocks = 1000;

  using Chunk = std::vector<PackedBlock>;

  std::size_t Size() const { return this->size; }
  // The block with just this prefix, or null.
  const PackedBlock* Find(Ipv4Prefix aPrefix) const;
  const std::string& RegionOf(const PackedBlock& aBlock) const;
  void ForEach(const std::function<void(const PackedBlock&)>& aVisit) const;
  // Applies edits in any order; of several for one prefix the last one counts.
  void Edit(std::vector<BlockEdit> aEdits);

  // Bytes held for blocks, chunks and names, counted by capacity.
  std::size_t Footprint() const;
  // Chunks that this table shares with another.
  std::size_t SharedChunks(const BlockTable& aOther) const;
  std::size_t ChunkCount() const { return this->chunks.size(); }

private:
  std::vector<PackedEdit> Pack(const std::vector<BlockEdit>& aEdits);
  void CountBlocks();

  std::vector<std::shared_ptr<const Chunk>> chunks;
  // Names are only ever appended; a snapshot's reader starts with an empty list.
  std::shared_ptr<const std::vector<std::string>> regions =
    std::make_shared<const std::vector<std::string>>();
  std::size_t size = 0;
};

} // namespace plantainhaven
