#pragma once

#include "plantainhaven/common/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace plantainhaven {

// The asks of this process that wait for an answer. An answer counts once, for the ask
// that it repeats, and is dated by the moment noted here.
class PendingPolls
{
public:
  explicit PendingPolls(Nanoseconds aKeepFor);

  // Notes an ask and returns its id.
  std::uint64_t Add(const std::string& aTo, BootTime aNow);
  // Takes out the ask that `aFrom` answers and returns when it was asked; empty for an
  // answer that is duplicated, crossed or too old to be of use.
  std::optional<BootTime> Take(std::uint64_t aId, const std::string& aFrom);
  // Forgets the asks that are older than an answer may be.
  void Prune(BootTime aNow);

private:
  struct Poll
  {
    std::string to;
    BootTime sentAt;
  };

  Nanoseconds keepFor;
  std::uint64_t lastId = 0;
  std::map<std::uint64_t, Poll> polls;
};

} // namespace plantainhaven
