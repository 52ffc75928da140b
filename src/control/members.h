#pragma once

#include "plantainhaven/policy/config/configuration.h"
#include "plantainhaven/policy/view/fleet_view.h"

#include <cstdint>
#include <string>
#include <vector>

#include "settings.pb.h"

namespace plantainhaven {

// "tcp://ADDRESS:PORT".
std::string
TcpEndpoint(const std::string& aAddress, std::uint32_t aPort);

// The members of the fleet that a configuration lists.
std::vector<FleetMember>
MembersOf(const Configuration& aConfiguration);

// True when a change adds, alters or removes a member.
bool
ChangesMembers(const ChangeRecord& aChange);

// The resource that makes this VM a member.
Resource
MakeOwnResource(const ControldSettings& aSettings, std::uint64_t aIncarnation);

// The incarnation of a VM that starts at `aWallClockMicroseconds`: greater than any it had before,
// also when the clock was set back.
std::uint64_t
NextIncarnation(const Configuration& aConfiguration,
                const std::string& aVm,
                std::uint64_t aWallClockMicroseconds);

} // namespace plantainhaven
