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

// Most VMs in one answer.
constexpr std::size_t kMaxTargets = 32;

struct LookupOptions
{
  // Name and region of the VM that answers.
  std::string vm;
  std::string region;
  // How long a caller may keep an answer.
  std::chrono::seconds ttl{ 2 };
  // VMs in one answer, 1 to kMaxTargets.
  std::size_t targets = 3;
};

// What the VM that answers knows besides the configuration.
struct LookupView
{
  // The configuration may be acted on while now < freshUntil.
  BootTime freshUntil{};
  // This VM has begun to stop.
  bool leaving = false;
  std::vector<VmStatus> vms;
};

// An entry VM that callers may be sent to.
struct LookupVm
{
  std::string name;
  std::string address;
  std::uint32_t port = 0;
};

struct LookupTarget
{
  const LookupVm* vm = nullptr;
  // Share of the caller's new requests, in percent.
  std::uint32_t weight = 0;
};

// VMs to use, best first. Points into the policy that made it.
struct LookupDecision
{
  std::array<LookupTarget, kMaxTargets> targets;
  std::size_t count = 0;
  // Region of the targets.
  std::string_view region;
  std::chrono::seconds ttl{};
  Revision revision = 0;
};

// Why there is no answer.
enum class LookupRefusal
{
  kStaleView,      // This VM's view isn't fresh: ask another VM.
  kUnknownService, // The configuration has no such service.
  kNoTarget,       // No VM can serve.
};

// Names a refusal as metrics and JSON write it, for example "stale_view".
const char*
ToString(LookupRefusal aRefusal) noexcept;

using LookupOutcome = std::variant<LookupDecision, LookupRefusal>;

// Decides which entry VMs a caller shall use. Immutable: made anew whenever the
// configuration or the state of a VM changes, and read by many threads at once.
// A VM is named only while it is ACTIVE, alive, fresh and not leaving.
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

  // Answers a caller: VMs of the region of its client block, or of this VM's region
  // when no block holds it. Each answer draws its VMs at random, without regard to the
  // client's address: many callers may share one. A region without a usable VM is
  // stood in for by another, drawn in proportion to its usable VMs.
  LookupOutcome Decide(std::string_view aService,
                       const ClientAddress& aClient,
                       BootTime aNow,
                       std::mt19937_64& aRandom) const;

  bool IsFresh(BootTime aNow) const;
  Revision AppliedRevision() const;
  // VMs that callers may be sent to, over all regions.
  std::size_t UsableVmCount() const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

// The answer as the caller gets it.
LookupAnswer
ToLookupAnswer(const LookupDecision& aDecision);

} // namespace plantainhaven
