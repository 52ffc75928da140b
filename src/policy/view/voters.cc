#include "plantainhaven/policy/view/fleet_view.h"

#include <algorithm>
#include <map>
#include <string_view>
#include <tuple>

namespace plantainhaven {

namespace {

constexpr std::uint64_t kFnvOffset = 0xcbf29ce484222325;
constexpr std::uint64_t kFnvPrime = 0x100000001b3;

// Returns the same value on every VM and build, unlike std::hash.
std::uint64_t
StableHash(std::string_view aText)
{
  std::uint64_t hash = kFnvOffset;
  for (const char character : aText) {
    hash ^= static_cast<unsigned char>(character);
    hash *= kFnvPrime;
  }
  // In FNV the last characters affect mostly the low bits. The finalizer of MurmurHash3
  // spreads them over all bits.
  hash ^= hash >> 33;
  hash *= 0xff51afd7ed558ccd;
  hash ^= hash >> 33;
  return hash;
}

struct Candidate
{
  std::uint64_t hash = 0;
  std::string name;

  bool operator<(const Candidate& aOther) const
  {
    return std::tie(this->hash, this->name) < std::tie(aOther.hash, aOther.name);
  }
};

} // namespace

std::vector<std::string>
VotersOf(const std::vector<FleetMember>& aMembers)
{
  std::vector<std::string> voters;
  if (aMembers.size() <= kMaxMembersAllVoting) {
    for (const FleetMember& member : aMembers) {
      voters.push_back(member.name);
    }
  } else {
    std::map<std::string, Candidate> best;
    for (const FleetMember& member : aMembers) {
      Candidate candidate{ StableHash(member.failureDomain + '/' + member.name), member.name };
      Candidate& chosen = best[member.failureDomain];
      chosen = std::max(chosen, candidate);
    }
    for (const auto& [domain, candidate] : best) {
      voters.push_back(candidate.name);
    }
  }
  std::sort(voters.begin(), voters.end());
  return voters;
}

} // namespace plantainhaven
