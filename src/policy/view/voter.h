#pragma once

#include "plantainhaven/common/time.h"
#include "plantainhaven/policy/config/configuration.h"

#include <optional>

namespace plantainhaven {

// The voter state of one VM: the highest revision that it knows to be committed. The state
// isn't persisted. After a restart the VM is therefore recovering until it knows every head
// that an earlier process of this VM may have acknowledged, unless that acknowledgement no
// longer counts.
class Voter
{
public:
  explicit Voter(BootTime aStart);

  // `aHead` is known to be committed.
  void OnHead(Revision aHead);
  // The table was read by a request sent at `aSentAt`. Call OnHead() with its head first.
  void OnTableRead(BootTime aSentAt);
  // `aTime` is the time of the newest evidence, whose head is applied here.
  void OnEvidence(const std::optional<BootTime>& aTime);

  bool IsVoting() const;
  Revision Head() const;

private:
  BootTime start;
  Revision head = 0;
  bool voting = false;
};

} // namespace plantainhaven
