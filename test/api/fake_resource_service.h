#pragma once

#include "plantainhaven/api/resource_service.h"
#include "plantainhaven/policy/config/validation.h"
#include "policy/config/sample_configuration.h"

#include <deque>
#include <functional>
#include <map>
#include <mutex>

namespace plantainhaven {

// A control state in memory: validates and applies writes at once, remembers their
// change ids and keeps all changes but those that a test drops.
class FakeResourceService : public ResourceService
{
public:
  FakeResourceService()
    : configuration(SampleConfiguration())
  {
    this->changes.push_back(ChangeOf(1, FromJson<ApplyRequest>(kSampleResources)));
  }

  void Read(const std::function<void(const Configuration&)>& aRead) const override
  {
    const std::lock_guard lock(this->mutex);
    aRead(this->configuration);
  }

  Result<WriteOutcome> Write(const ApplyRequest& aWrite,
                             const std::vector<Revision>& aDeleteVersions,
                             const std::string& aChangeId) override
  {
    if (this->beforeWrite) {
      std::exchange(this->beforeWrite, nullptr)();
    }
    const std::lock_guard lock(this->mutex);
    this->changeIds.push_back(aChangeId);
    if (!this->failures.empty()) {
      const Error failure = this->failures.front();
      this->failures.pop_front();
      return failure;
    }
    const auto known = this->outcomes.find(aChangeId);
    if (known == this->outcomes.end()) {
      return this->Commit(aWrite, aDeleteVersions, aChangeId);
    }
    // What was asked now, as the service keeps no resources by change id.
    WriteOutcome outcome = known->second;
    *outcome.mutable_resources() = aWrite.resources();
    return outcome;
  }

  Result<std::vector<ChangeRecord>> ChangesAfter(Revision aRevision,
                                                 std::chrono::milliseconds aWait) override
  {
    std::unique_lock lock(this->mutex);
    this->waits.push_back(aWait);
    if (this->onWait) {
      const auto act = std::exchange(this->onWait, nullptr);
      lock.unlock();
      act();
      lock.lock();
    }
    if (aRevision < this->oldestKept) {
      return Error{ ErrorKind::kNotFound, "too old", "list" };
    }
    std::vector<ChangeRecord> found;
    for (const ChangeRecord& change : this->changes) {
      if (change.revision() > aRevision) {
        found.push_back(change);
      }
    }
    return found;
  }

  FleetStatus Status() const override
  {
    FleetStatus status;
    status.set_vm("vm-1");
    status.set_applied_revision(this->configuration.AppliedRevision());
    return status;
  }

  // Errors that the next writes give, one each, with nothing done.
  std::deque<Error> failures;
  // Whether writes are accepted before they are answered.
  bool accepts = true;
  // Changes after an older revision are no longer kept.
  Revision oldestKept = 0;
  // Runs once before the next write.
  std::function<void()> beforeWrite;
  // Runs once when somebody next asks for changes.
  std::function<void()> onWait;
  std::vector<std::chrono::milliseconds> waits;
  std::vector<std::string> changeIds;

private:
  Result<WriteOutcome> Commit(const ApplyRequest& aWrite,
                              const std::vector<Revision>& aDeleteVersions,
                              const std::string& aChangeId)
  {
    Result<Done> checked = CheckVersions(this->configuration, aWrite, aDeleteVersions);
    checked = IsOk(checked) ? ValidateWrite(this->configuration, aWrite) : checked;
    if (!IsOk(checked)) {
      return ErrorOf(checked);
    }
    ChangeRecord change = ChangeOf(this->configuration.AppliedRevision() + 1, aWrite);
    for (Resource& put : *change.mutable_puts()) {
      put.set_version(change.revision());
    }
    this->configuration.Apply(change);
    this->changes.push_back(change);
    WriteOutcome outcome;
    outcome.set_revision(change.revision());
    outcome.set_change_id(aChangeId);
    outcome.set_accepted(this->accepts);
    *outcome.mutable_resources() = change.puts();
    if (!this->accepts) {
      outcome.add_missing_vms("vm-2");
    }
    this->outcomes[aChangeId] = outcome;
    return outcome;
  }

  mutable std::mutex mutex;
  Configuration configuration;
  std::vector<ChangeRecord> changes;
  std::map<std::string, WriteOutcome> outcomes;
};

} // namespace plantainhaven
