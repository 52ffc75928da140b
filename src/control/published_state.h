#pragma once

#include "plantainhaven/policy/config/configuration.h"

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "resources.pb.h"

namespace plantainhaven {

// Fleet status that the control thread publishes to other threads. Thread-safe.
class PublishedState
{
public:
  // Replaces the status. `aMissing` lists the voters that haven't acknowledged the revision
  // applied on this VM.
  void Publish(FleetStatus aStatus, std::vector<std::string> aMissing)
  {
    const std::scoped_lock lock(this->mutex);
    this->status = std::move(aStatus);
    this->missing = std::move(aMissing);
    this->changed.notify_all();
  }

  FleetStatus Status() const
  {
    const std::scoped_lock lock(this->mutex);
    return this->status;
  }

  // Waits up to `aLongest` for the outcome's revision to be accepted. Sets `accepted` of the
  // outcome and, on timeout, the missing VMs.
  void WaitForAcceptance(WriteOutcome& aOutcome, std::chrono::nanoseconds aLongest) const
  {
    std::unique_lock lock(this->mutex);
    const bool accepted = this->changed.wait_for(lock, aLongest, [this, &aOutcome] {
      return this->status.accepted_revision() >= aOutcome.revision();
    });
    aOutcome.set_accepted(accepted);
    if (accepted) {
      return;
    }
    for (const std::string& vm : this->missing) {
      aOutcome.add_missing_vms(vm);
    }
  }

private:
  mutable std::mutex mutex;
  mutable std::condition_variable changed;
  FleetStatus status;
  std::vector<std::string> missing;
};

} // namespace plantainhaven
