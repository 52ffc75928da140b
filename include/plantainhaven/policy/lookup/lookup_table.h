#pragma once

#include "plantainhaven/policy/config/configuration.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace plantainhaven {

// Index of a region in LookupTable::Regions(), from 0.
using RegionNumber = std::uint16_t;

// Region number of an address that no client block contains.
constexpr RegionNumber kNoRegion = 0xffff;

// Maps a client address to a region by longest-prefix match over the client blocks.
// Immutable, so that many threads can read it concurrently. Nested blocks are flattened
// into ranges that don't overlap. An index by the upper 16 bits of the address leaves only
// a few ranges to search. There are at most two ranges per block, of 6 bytes each, and one
// more.
class LookupTable
{
public:
  // Builds the table from all client blocks of a configuration.
  explicit LookupTable(const Configuration& aConfiguration);
  ~LookupTable();
  LookupTable(const LookupTable&) = delete;
  LookupTable& operator=(const LookupTable&) = delete;

  // Returns the region of the longest block that contains an IPv4 address in host byte
  // order, or kNoRegion.
  RegionNumber Find(std::uint32_t aAddress) const noexcept;
  // Names of the regions of all client blocks, indexed by region number.
  const std::vector<std::string>& Regions() const;
  // Number of ranges after flattening.
  std::size_t RangeCount() const;
  // Memory used by the table, in bytes.
  std::size_t Footprint() const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace plantainhaven
