#pragma once

#include "plantainhaven/common/time.h"
#include "plantainhaven/policy/config/configuration.h"

#include <optional>

namespace plantainhaven {

// What one VM says as a voter: the highest revision it knows to be committed. It keeps
// nothing over a restart, so after each start it is recovering until it again knows
// every head that an earlier process of this VM may have acknowledged and that
// may still be counted.
class Voter
{
public:
  explicit Voter(BootTime aStart);

  // A revision is known to be committed.
  void OnHead(Revision aHead);
  // The table was asked at `aAskedAt`; its head has been passed to OnHead() already.
  void OnTableRead(BootTime aSentAt);
  // The newest proven evidence, whose head is applied here.
  void OnEvidence(const std::optional<BootTime>& aTime);

  bool IsVoting() const;
  Revision Head() const;

private:
  BootTime start;
  Revision head = 0;
  bool voting = false;
};

} // namespace plantainhaven
