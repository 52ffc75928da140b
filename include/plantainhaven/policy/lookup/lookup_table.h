#pragma once

#include "plantainhaven/policy/config/configuration.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace plantainhaven {

// Number of a region within one LookupTable, counted from 0.
using RegionNumber = std::uint16_t;

// Stands for "no client block holds this address".
constexpr RegionNumber kNoRegion = 0xffff;

// Which region serves a client address: the longest client block that holds it wins.
// Immutable, so that any number of threads may read it. Nested blocks are flattened
// into ranges that don't overlap; an index by the upper 16 bits of the address leaves
// a few ranges to search. At most two ranges per block, 6 bytes each.
class LookupTable
{
public:
  // Builds the table of all client blocks of a configuration.
  explicit LookupTable(const Configuration& aConfiguration);
  ~LookupTable();
  LookupTable(const LookupTable&) = delete;
  LookupTable& operator=(const LookupTable&) = delete;

  // Region of the longest block that holds an IPv4 address (host byte order).
  RegionNumber Find(std::uint32_t aAddress) const noexcept;
  // Names of the regions that occur, by number.
  const std::vector<std::string>& Regions() const;
  // Number of ranges after flattening, and bytes of memory that the table holds.
  std::size_t RangeCount() const;
  std::size_t Footprint() const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace plantainhaven
