#pragma once

#include "plantainhaven/common/time.h"
#include "plantainhaven/policy/config/configuration.h"
#include "plantainhaven/policy/lookup/client_address.h"
#include "plantainhaven/policy/lookup/lookup_table.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "local.pb.h"

namespace plantainhaven {

// Maximum number of VMs in one answer.
constexpr std::size_t kMaxTargets = 32;

struct LookupOptions
{
  // Name and region of the VM that answers.
  std::string vm;
  std::string region;
  // How long a caller may cache an answer.
  std::chrono::seconds ttl{ 2 };
  // Number of VMs in one answer, 1 to kMaxTargets.
  std::size_t targets = 3;
};

// State of the fleet, besides the configuration, as known to the VM that answers.
struct LookupView
{
  // The configuration is fresh enough to use while now < freshUntil.
  BootTime freshUntil{};
  // This VM has begun to shut down.
  bool leaving = false;
  std::vector<VmStatus> vms;
};

// An entry VM to which callers may send requests.
struct LookupVm
{
  std::string name;
  std::string address;
  std::uint32_t port = 0;
};

struct LookupTarget
{
  const LookupVm* vm = nullptr;
  // Percentage of the caller's new requests to send to this VM.
  std::uint32_t weight = 0;
};

// VMs to use, in order of preference. Points into the LookupPolicy that returned it and
// must not outlive it.
struct LookupDecision
{
  std::array<LookupTarget, kMaxTargets> targets;
  std::size_t count = 0;
  // Region of the targets.
  std::string_view region;
  std::chrono::seconds ttl{};
  Revision revision = 0;
};

// Reason why a lookup is refused.
enum class LookupRefusal
{
  kStaleView,      // This VM's view isn't fresh; the caller must query another VM.
  kUnknownService, // The service isn't in the configuration.
  kNoTarget,       // No VM is usable.
};

// Returns the name of a refusal in metrics and JSON, for example "stale_view".
const char*
ToString(LookupRefusal aRefusal) noexcept;

using LookupOutcome = std::variant<LookupDecision, LookupRefusal>;

// Selects the entry VMs that a caller uses. Immutable, so that many threads can read it
// concurrently; replaced by a new instance whenever the configuration or the state of a VM
// changes. A VM is returned only while it is ACTIVE, alive, fresh and not leaving.
class LookupPolicy
{
public:
  LookupPolicy(const LookupOptions& aOptions,
               std::shared_ptr<const LookupTable> aTable,
               const Configuration& aConfiguration,
               const LookupView& aView);
  ~LookupPolicy();
  LookupPolicy(const LookupPolicy&) = delete;
  LookupPolicy& operator=(const LookupPolicy&) = delete;

  // Selects VMs in the region of the client block that contains the client, or in this VM's
  // region if no block contains it. Each answer selects its VMs at random instead of by the
  // client's address, because many callers may share one address. If the region has no
  // usable VM, another region is selected at random, weighted by its usable VMs.
  LookupOutcome Decide(std::string_view aService,
                       const ClientAddress& aClient,
                       BootTime aNow,
                       std::mt19937_64& aRandom) const;

  bool IsFresh(BootTime aNow) const;
  Revision AppliedRevision() const;
  // Number of usable VMs in all regions.
  std::size_t UsableVmCount() const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

// Converts a decision to the message that is sent to the caller.
LookupAnswer
ToLookupAnswer(const LookupDecision& aDecision);

} // namespace plantainhaven
