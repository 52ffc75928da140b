#pragma once

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <unordered_map>

#include "backend.pb.h"

namespace plantainhaven {

// Counts how often the request of each id began to run. Safe for several threads.
class ExecutionLog
{
public:
  // Ids beyond `aMostIds` are counted only as untracked.
  explicit ExecutionLog(std::size_t aMostIds);

  // Notes one run; an empty id adds to the total only.
  void Note(const std::string& aId, const std::string& aMethod);
  // Totals, and the ids that ran more than `aOver` times, in order of id.
  ExecutionList List(std::uint32_t aOver) const;
  void Reset();

private:
  struct Runs
  {
    std::string method;
    std::uint32_t count = 0;
  };

  const std::size_t mostIds;
  mutable std::mutex mutex;
  std::unordered_map<std::string, Runs> runs;
  std::uint64_t total = 0;
  std::uint64_t untracked = 0;
};

} // namespace plantainhaven
