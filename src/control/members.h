#pragma once

#include "plantainhaven/policy/config/configuration.h"
#include "plantainhaven/policy/view/fleet_view.h"

#include <cstdint>
#include <string>
#include <vector>

#include "settings.pb.h"

namespace plantainhaven {

// Returns "tcp://ADDRESS:PORT".
std::string
TcpEndpoint(const std::string& aAddress, std::uint32_t aPort);

// Returns the fleet members in a configuration.
std::vector<FleetMember>
MembersOf(const Configuration& aConfiguration);

// Returns true when a change adds, updates or removes a member.
bool
ChangesMembers(const ChangeRecord& aChange);

// Returns the resource that registers this VM as a fleet member.
Resource
MakeOwnResource(const ControldSettings& aSettings, std::uint64_t aIncarnation);

// Returns the incarnation of a VM that starts at `aWallClockMicroseconds`. It is greater than
// every earlier incarnation of the VM, even when the clock was set back.
std::uint64_t
NextIncarnation(const Configuration& aConfiguration,
                const std::string& aVm,
                std::uint64_t aWallClockMicroseconds);

} // namespace plantainhaven
