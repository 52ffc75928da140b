#pragma once

#include "plantainhaven/common/time.h"
#include "plantainhaven/policy/config/configuration.h"

#include <string>
#include <vector>

#include "local.pb.h"

namespace plantainhaven {

// The effects of one answer.
struct ViewChange
{
  // Changes or a whole configuration were applied; the revision grew.
  bool configurationChanged = false;
  // The configuration was replaced as a whole: treat every resource as changed.
  bool configurationReplaced = false;
  // Kinds that the applied changes touch, sorted; empty when `configurationReplaced`.
  std::vector<std::string> changedKinds = {};
  // The answer comes from another run of plantain-controld than the one before.
  bool controldRestarted = false;
  // The answer couldn't be applied because of a revision gap or malformed data. Freshness
  // wasn't extended, and the next request fetches the whole configuration.
  bool failed = false;
};

// The copy of the configuration that plantain-entryd or plantain-lookupd keeps from
// the answers of its plantain-controld. Revisions never go down, whatever arrives and
// in whatever order, and also when a restarted controld is behind. Freshness grows only
// with an answer whose revision is fully applied. Reads no clock; not thread-safe.
class ViewFollower
{
public:
  // `aRole` is "entry" or "lookup"; only "lookup" is sent client blocks.
  explicit ViewFollower(std::string aRole);

  // Builds the next request. The caller adds its shift positions and whether it is leaving.
  ViewAsk BuildRequest() const;
  // Applies an answer. Late and duplicate answers don't change the configuration.
  ViewChange OnAnswer(const ViewAnswer& aAnswer);

  const Configuration& Current() const { return this->configuration; }
  // The current configuration may be acted on while now < FreshUntil().
  BootTime FreshUntil() const { return this->freshUntil; }
  bool IsFresh(BootTime aNow) const { return aNow < this->freshUntil; }
  // Highest revision known to be accepted, and when that was learned.
  Revision AcceptedRevision() const { return this->acceptedRevision; }
  BootTime AcceptedAt() const { return this->acceptedAt; }
  // This VM's name and its incarnation; empty and 0 before the first answer.
  const std::string& Vm() const { return this->vm; }
  std::uint64_t Incarnation() const { return this->incarnation; }
  // True while lookups must not return this VM: it is stopping, or its plantain-entryd is
  // unresponsive or not ready.
  bool Leaving() const { return this->leaving; }
  const std::vector<VmStatus>& Vms() const { return this->vms; }
  // Positions that peers reported with the last answer.
  const std::vector<ShiftPosition>& ShiftPositions() const { return this->shiftPositions; }

private:
  void ApplyStatus(const ViewAnswer& aAnswer, ViewChange& aChange);
  bool ApplySnapshot(const ViewAnswer& aAnswer, ViewChange& aChange);
  bool ApplyChanges(const ViewAnswer& aAnswer, ViewChange& aChange);
  void UpdateFreshness(const ViewAnswer& aAnswer);

  std::string role;
  Configuration configuration;
  bool needsSnapshot = false;
  std::uint64_t controldIncarnation = 0;
  BootTime freshUntil{};
  Revision acceptedRevision = 0;
  BootTime acceptedAt{};
  std::string vm;
  std::uint64_t incarnation = 0;
  bool leaving = false;
  std::vector<VmStatus> vms;
  std::vector<ShiftPosition> shiftPositions;
};

} // namespace plantainhaven
