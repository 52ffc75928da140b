#pragma once

#include "plantainhaven/common/time.h"
#include "plantainhaven/control/replica.h"
#include "plantainhaven/policy/view/fleet_view.h"

#include <cstdint>
#include <string>
#include <vector>

#include "local.pb.h"

namespace plantainhaven {

// State that plantain-controld sends to the other processes of its VM along with the
// configuration changes.
struct LocalState
{
  std::string vm;
  std::uint64_t incarnation = 0;
  BootTime freshUntil{};
  Revision acceptedRevision = 0;
  BootTime acceptedAt{};
  bool leaving = false;
  // True while plantain-entryd sends requests and reports that it is ready.
  bool serving = false;
  std::vector<VmStatus> vms;
  std::vector<ShiftPosition> shiftPositions;
};

// Values of the role field in ViewAsk.
inline constexpr const char* kEntryRole = "entry";
inline constexpr const char* kLookupRole = "lookup";

// Builds the response to a request from plantain-entryd or plantain-lookupd: the changes
// after the revision in the request if they are retained, otherwise the whole
// configuration. Client blocks are sent to the role "lookup" only. For other roles, a change
// that contains only client blocks is sent empty, so that revisions have no gaps.
ViewAnswer
MakeViewAnswer(const Replica& aReplica, const LocalState& aState, const ViewAsk& aAsk);

// Maximum number of changes in one response.
constexpr std::size_t kChangesPerAnswer = 1000;

} // namespace plantainhaven
