#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace plantainhaven::placing {

// A VM of the fleet.
struct PlacingPeer
{
  std::string name;
  std::string region;
};

// Divides a backend server's request rate, which binds all VMs together, among a few VMs, without
// messages between them. The senders of a server are the VMs of its region that rank first for
// it, and each may use an equal part of the rate. The parts add up to at most the whole rate as
// long as the VMs agree on who belongs to the fleet, whether or not they hear one another. Not
// thread-safe.
class RateSharing
{
public:
  // Takes the name and region of this VM, which is the only VM of the fleet at first.
  RateSharing(std::string_view aSelf, std::string_view aRegion);

  // Sets the VMs of the fleet, including those that can't be heard at the moment. This VM is
  // added if it is missing.
  void SetVms(const std::vector<PlacingPeer>& aVms);
  std::size_t VmCount() const { return this->vms.size(); }
  // The VMs that share the rate of a server in the region if at most `aMaxSenders` may.
  std::size_t SenderCount(const std::string& aRegion, std::size_t aMaxSenders) const;
  // This VM's part of the rate of the server with this hash, 0 to 1.
  double FractionOf(std::uint64_t aServer, const std::string& aRegion, std::size_t aMaxSenders);
  // This VM's position, from 0, in the order of all VMs for the server: first those of its region,
  // then the others, each by rank.
  std::size_t PositionOf(std::uint64_t aServer, const std::string& aRegion);

private:
  struct Vm
  {
    std::uint64_t hash = 0;
    std::string region;

    bool operator==(const Vm&) const = default;
  };

  Vm self;
  std::vector<Vm> vms;
  std::unordered_map<std::string, std::size_t> countByRegion;
  // Cached positions by server hash; cleared when the VMs change.
  std::unordered_map<std::uint64_t, std::size_t> positions;
};

} // namespace plantainhaven::placing
