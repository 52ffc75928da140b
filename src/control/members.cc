#include "control/members.h"

#include <algorithm>
#include <utility>

namespace plantainhaven {

namespace {

const char* const kEntryVmKind = "entry_vm";

} // namespace

std::string
TcpEndpoint(const std::string& aAddress, std::uint32_t aPort)
{
  return "tcp://" + aAddress + ":" + std::to_string(aPort);
}

std::vector<FleetMember>
MembersOf(const Configuration& aConfiguration)
{
  std::vector<FleetMember> members;
  aConfiguration.ForEach(kEntryVmKind, [&members](const Resource& aResource) {
    const EntryVm& vm = aResource.entry_vm();
    FleetMember member;
    member.name = aResource.name();
    member.endpoint = TcpEndpoint(vm.address(), vm.peer_port());
    member.failureDomain = vm.region() + "/" + vm.failure_domain();
    member.incarnation = vm.incarnation();
    member.leaving = vm.state() == EntryVm::LEAVING;
    members.push_back(std::move(member));
  });
  return members;
}

bool
ChangesMembers(const ChangeRecord& aChange)
{
  const bool puts = std::any_of(aChange.puts().begin(),
                                aChange.puts().end(),
                                [](const Resource& aPut) { return aPut.has_entry_vm(); });
  return puts || std::any_of(aChange.deletes().begin(),
                             aChange.deletes().end(),
                             [](const ResourceId& aId) { return aId.kind() == kEntryVmKind; });
}

Resource
MakeOwnResource(const ControldSettings& aSettings, std::uint64_t aIncarnation)
{
  Resource resource;
  resource.set_name(aSettings.vm().name());
  EntryVm* vm = resource.mutable_entry_vm();
  vm->set_address(aSettings.vm().address());
  vm->set_region(aSettings.vm().region());
  vm->set_failure_domain(aSettings.vm().failure_domain());
  vm->set_entry_port(aSettings.ports().entry());
  vm->set_lookup_port(aSettings.ports().lookup());
  vm->set_api_port(aSettings.api().port());
  vm->set_peer_port(aSettings.ports().peer());
  vm->set_budget_port(aSettings.ports().budget());
  vm->set_incarnation(aIncarnation);
  vm->set_state(EntryVm::ACTIVE);
  return resource;
}

std::uint64_t
NextIncarnation(const Configuration& aConfiguration,
                const std::string& aVm,
                std::uint64_t aWallClockMicroseconds)
{
  const Resource* before = aConfiguration.Find(kEntryVmKind, aVm);
  const std::uint64_t last = before != nullptr ? before->entry_vm().incarnation() : 0;
  return std::max(last + 1, aWallClockMicroseconds);
}

} // namespace plantainhaven
