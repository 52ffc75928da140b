#pragma once

#include "plantainhaven/common/time.h"

#include <deque>
#include <map>
#include <string>

#include "platform.pb.h"

namespace plantainhaven {

// A VM list that answers as it was some time ago. Times must not go back. Not safe
// for several threads.
class LaggingVmList
{
public:
  void SetLag(Nanoseconds aLag);
  // Adds or replaces a VM.
  void Set(const VmListEntry& aVm, BootTime aNow);
  void Remove(const std::string& aName, BootTime aNow);
  // The list by name as it was the lag ago.
  VmListAnswer At(BootTime aNow);

private:
  // One change; without an entry the VM went away.
  struct Change
  {
    BootTime at;
    std::string name;
    bool present = false;
    VmListEntry vm;
  };

  void Apply(const Change& aChange);

  Nanoseconds lag{ 0 };
  std::map<std::string, VmListEntry> visible;
  std::deque<Change> pending;
};

} // namespace plantainhaven
