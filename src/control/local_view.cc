#include "plantainhaven/control/local_view.h"

#include <utility>

namespace plantainhaven {

namespace {

// Maximum number of resources in one chunk of a whole configuration.
constexpr int kResourcesPerChunk = 1000;

bool
WantsKind(const std::string& aRole, const std::string& aKind)
{
  return aRole == kLookupRole || IsTrafficKind(aKind);
}

void
AddChange(const ChangeRecord& aChange, const std::string& aRole, ViewAnswer& aAnswer)
{
  ChangeRecord* change = aAnswer.add_changes();
  change->set_revision(aChange.revision());
  for (const Resource& resource : aChange.puts()) {
    if (WantsKind(aRole, StoredKindOf(resource))) {
      *change->add_puts() = resource;
    }
  }
  for (const ResourceId& id : aChange.deletes()) {
    if (WantsKind(aRole, id.kind())) {
      *change->add_deletes() = id;
    }
  }
}

void
AddResource(const Resource& aResource, ViewAnswer& aAnswer)
{
  const int count = aAnswer.chunks_size();
  const bool full = count == 0 || aAnswer.chunks(count - 1).resources_size() >= kResourcesPerChunk;
  SnapshotChunk* chunk = full ? aAnswer.add_chunks() : aAnswer.mutable_chunks(count - 1);
  *chunk->add_resources() = aResource;
}

void
AddWhole(const Replica& aReplica, const std::string& aRole, ViewAnswer& aAnswer)
{
  aReplica.Read([&](const Configuration& aConfiguration) {
    aAnswer.set_whole(true);
    aAnswer.set_whole_revision(aConfiguration.AppliedRevision());
    for (const std::string& kind : AllKinds()) {
      if (!WantsKind(aRole, kind)) {
        continue;
      }
      aConfiguration.ForEach(kind,
                             [&](const Resource& aResource) { AddResource(aResource, aAnswer); });
    }
  });
}

} // namespace

ViewAnswer
MakeViewAnswer(const Replica& aReplica, const LocalState& aState, const ViewAsk& aAsk)
{
  ViewAnswer answer;
  answer.set_vm(aState.vm);
  answer.set_incarnation(aState.incarnation);
  answer.set_controld_incarnation(aState.incarnation);
  answer.set_applied_revision(aReplica.Applied());
  answer.set_fresh_until_boottime_ns(ToBootNanoseconds(aState.freshUntil));
  answer.set_accepted_revision(aState.acceptedRevision);
  answer.set_accepted_at_boottime_ns(ToBootNanoseconds(aState.acceptedAt));
  answer.set_leaving(aState.leaving);
  answer.set_not_serving(!aState.serving);
  for (const VmStatus& vm : aState.vms) {
    *answer.add_vms() = vm;
  }
  for (const ShiftPosition& position : aState.shiftPositions) {
    *answer.add_shift_positions() = position;
  }
  const Result<std::vector<ChangeRecord>> changes =
    aReplica.ChangesAfter(aAsk.applied_revision(), kChangesPerAnswer);
  const bool first = aAsk.applied_revision() == 0 && aReplica.Applied() > 0;
  if (first || !IsOk(changes)) {
    AddWhole(aReplica, aAsk.role(), answer);
    return answer;
  }
  for (const ChangeRecord& change : ValueOf(changes)) {
    AddChange(change, aAsk.role(), answer);
  }
  return answer;
}

} // namespace plantainhaven
