#pragma once

#include <cstdint>
#include <string_view>

namespace plantainhaven::placing {

// FNV-1a hash of the bytes. Unlike std::hash, it is guaranteed to be the same on every VM.
constexpr std::uint64_t
StableHash(std::string_view aText)
{
  std::uint64_t hash = 14695981039346656037ULL;
  for (const char letter : aText) {
    hash = (hash ^ static_cast<unsigned char>(letter)) * 1099511628211ULL;
  }
  return hash;
}

// Returns the rank of a holder for a key in rendezvous hashing; the highest rank comes first.
// The bits are mixed by the finalizer of SplitMix64.
constexpr std::uint64_t
RendezvousRank(std::uint64_t aKey, std::uint64_t aHolder)
{
  std::uint64_t mixed = aKey ^ (aHolder * 0x9e3779b97f4a7c15ULL);
  mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
  mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
  return mixed ^ (mixed >> 31);
}

} // namespace plantainhaven::placing
