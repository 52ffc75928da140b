#include "plantainhaven/fleet/view_follower.h"

#include <algorithm>
#include <set>
#include <utility>

namespace plantainhaven {
namespace {

void
AddKinds(const ChangeRecord& aChange, std::set<std::string>& aKinds)
{
  for (const Resource& put : aChange.puts()) {
    aKinds.insert(KindOf(put));
  }
  for (const ResourceId& removed : aChange.deletes()) {
    aKinds.insert(removed.kind());
  }
}

} // namespace

ViewFollower::ViewFollower(std::string aRole)
  : role(std::move(aRole))
{
}

ViewAsk
ViewFollower::BuildRequest() const
{
  ViewAsk ask;
  ask.set_role(this->role);
  ask.set_applied_revision(this->needsSnapshot ? 0 : this->configuration.AppliedRevision());
  ask.set_controld_incarnation(this->controldIncarnation);
  return ask;
}

ViewChange
ViewFollower::OnAnswer(const ViewAnswer& aAnswer)
{
  ViewChange change;
  this->ApplyStatus(aAnswer, change);
  const bool snapshotApplied = !aAnswer.whole() || this->ApplySnapshot(aAnswer, change);
  const bool taken = snapshotApplied && this->ApplyChanges(aAnswer, change);
  change.failed = !taken;
  if (change.failed) {
    this->needsSnapshot = true;
    return change;
  }
  this->UpdateFreshness(aAnswer);
  return change;
}

void
ViewFollower::ApplyStatus(const ViewAnswer& aAnswer, ViewChange& aChange)
{
  aChange.controldRestarted =
    this->controldIncarnation != 0 && this->controldIncarnation != aAnswer.controld_incarnation();
  this->controldIncarnation = aAnswer.controld_incarnation();
  this->vm = aAnswer.vm();
  this->incarnation = aAnswer.incarnation();
  this->leaving = aAnswer.leaving() || aAnswer.not_serving();
  this->vms.assign(aAnswer.vms().begin(), aAnswer.vms().end());
  this->shiftPositions.assign(aAnswer.shift_positions().begin(), aAnswer.shift_positions().end());
}

bool
ViewFollower::ApplySnapshot(const ViewAnswer& aAnswer, ViewChange& aChange)
{
  const Revision applied = this->configuration.AppliedRevision();
  const bool older = aAnswer.whole_revision() < applied;
  const bool same = aAnswer.whole_revision() == applied && !this->needsSnapshot;
  if (older || same) {
    return true;
  }
  std::vector<std::string> chunks;
  chunks.reserve(static_cast<std::size_t>(aAnswer.chunks_size()));
  for (const SnapshotChunk& chunk : aAnswer.chunks()) {
    chunks.push_back(chunk.SerializeAsString());
  }
  Result<Configuration> whole = Configuration::FromChunks(aAnswer.whole_revision(), chunks);
  if (!IsOk(whole)) {
    return false;
  }
  this->configuration = std::move(ValueOf(whole));
  this->needsSnapshot = false;
  aChange.configurationChanged = true;
  aChange.configurationReplaced = true;
  return true;
}

bool
ViewFollower::ApplyChanges(const ViewAnswer& aAnswer, ViewChange& aChange)
{
  std::set<std::string> kinds;
  for (const ChangeRecord& change : aAnswer.changes()) {
    if (change.revision() <= this->configuration.AppliedRevision()) {
      continue;
    }
    if (!IsOk(this->configuration.Apply(change))) {
      return false;
    }
    AddKinds(change, kinds);
    aChange.configurationChanged = true;
  }
  if (!aChange.configurationReplaced) {
    aChange.changedKinds.assign(kinds.begin(), kinds.end());
  }
  return true;
}

void
ViewFollower::UpdateFreshness(const ViewAnswer& aAnswer)
{
  if (aAnswer.accepted_revision() > this->acceptedRevision) {
    this->acceptedRevision = aAnswer.accepted_revision();
    this->acceptedAt = FromBootNanoseconds(aAnswer.accepted_at_boottime_ns());
  }
  if (this->configuration.AppliedRevision() < aAnswer.applied_revision()) {
    return;
  }
  const BootTime until = FromBootNanoseconds(aAnswer.fresh_until_boottime_ns());
  this->freshUntil = std::max(this->freshUntil, until);
}

} // namespace plantainhaven
