#pragma once

#include <cstdint>
#include <mutex>
#include <random>
#include <set>
#include <string>

#include "backend.pb.h"

namespace plantainhaven {

// The fault set on a backend stand-in, with what it needs to remember. Safe for
// several threads.
class BackendFaults
{
public:
  explicit BackendFaults(std::uint64_t aSeed);

  // Sets the fault; `aLoad` is the load now, for a report that is to be frozen.
  void Set(const BackendFault& aFault, const BackendLoad& aLoad);
  BackendFault Present() const;
  // True for the given share of the calls.
  bool Hits(std::uint32_t aPercent);
  // Notes a connection; true when the fault silences it.
  bool IsSilenced(const std::string& aConnection);
  // What /load is to report instead of the truth.
  BackendLoad Report(const BackendLoad& aTruth) const;
  // The request id to answer with: the request's own, or that of another request for
  // the share of answers that is crossed.
  std::string AnswerId(const std::string& aOwnId);

private:
  mutable std::mutex mutex;
  BackendFault fault;
  BackendLoad frozenLoad;
  std::mt19937_64 random;
  std::string previousId;
  std::set<std::string> seenConnections;
  std::set<std::string> silencedConnections;
};

} // namespace plantainhaven
