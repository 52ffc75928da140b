#pragma once

#include "plantainhaven/common/time.h"
#include "plantainhaven/control/replica.h"
#include "plantainhaven/policy/view/fleet_view.h"

#include <cstdint>
#include <string>
#include <vector>

#include "local.pb.h"

namespace plantainhaven {

// What plantain-controld tells the other processes of its VM besides the changes.
struct LocalState
{
  std::string vm;
  std::uint64_t incarnation = 0;
  BootTime freshUntil{};
  Revision acceptedRevision = 0;
  BootTime acceptedAt{};
  bool leaving = false;
  // True while plantain-entryd asks and is ready.
  bool serving = false;
  std::vector<VmStatus> vms;
  std::vector<ShiftPosition> shiftPositions;
};

// Role names that ViewAsk carries.
inline constexpr const char* kEntryRole = "entry";
inline constexpr const char* kLookupRole = "lookup";

// Builds the answer to an ask from plantain-entryd or plantain-lookupd: the changes
// after the asker's revision when they are kept, else the whole configuration. Client
// blocks go to the role "lookup" alone; a change that holds nothing else then arrives
// empty, so that revisions stay without gaps.
ViewAnswer
MakeViewAnswer(const Replica& aReplica, const LocalState& aState, const ViewAsk& aAsk);

// Changes in one answer.
constexpr std::size_t kChangesPerAnswer = 1000;

} // namespace plantainhaven
