#pragma once

#include "plantainhaven/common/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace plantainhaven {

// The polls that this process has sent and that haven't been answered yet. An answer is
// accepted once, for the poll whose id it carries, and is evidence of the state at the
// time when that poll was sent.
class PendingPolls
{
public:
  explicit PendingPolls(Nanoseconds aKeepFor);

  // Records a poll and returns its id.
  std::uint64_t Add(const std::string& aTo, BootTime aNow);
  // Removes the poll that `aFrom` has answered and returns when it was sent. Returns nothing
  // if the answer is a duplicate, comes from another VM than was polled, or is too old.
  std::optional<BootTime> Take(std::uint64_t aId, const std::string& aFrom);
  // Removes polls whose answer would be too old to use.
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
