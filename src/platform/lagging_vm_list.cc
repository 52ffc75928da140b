#include "platform/lagging_vm_list.h"

namespace plantainhaven {

void
LaggingVmList::SetLag(Nanoseconds aLag)
{
  this->lag = aLag;
}

void
LaggingVmList::Set(const VmListEntry& aVm, BootTime aNow)
{
  this->pending.push_back(Change{ aNow, aVm.name(), true, aVm });
}

void
LaggingVmList::Remove(const std::string& aName, BootTime aNow)
{
  this->pending.push_back(Change{ aNow, aName, false, {} });
}

VmListAnswer
LaggingVmList::At(BootTime aNow)
{
  while (!this->pending.empty() && this->pending.front().at + this->lag <= aNow) {
    this->Apply(this->pending.front());
    this->pending.pop_front();
  }
  VmListAnswer answer;
  for (const auto& [name, vm] : this->visible) {
    *answer.add_vms() = vm;
  }
  return answer;
}

void
LaggingVmList::Apply(const Change& aChange)
{
  if (aChange.present) {
    this->visible[aChange.name] = aChange.vm;
    return;
  }
  this->visible.erase(aChange.name);
}

} // namespace plantainhaven
