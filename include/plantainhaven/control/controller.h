#pragma once

#include "plantainhaven/api/resource_service.h"
#include "plantainhaven/common/metrics.h"
#include "plantainhaven/common/result.h"
#include "plantainhaven/platform/platform.h"

#include <memory>
#include <string>
#include <vector>

#include "settings.pb.h"

namespace plantainhaven {

// The control plane of one VM. A single control thread owns the state: it applies
// configuration changes, exchanges messages with the controllers of other VMs and responds
// to plantain-entryd and plantain-lookupd. Platform calls may block, so they run on worker
// threads, which post their results to the control thread. The ResourceService methods are
// thread-safe.
class Controller : public ResourceService
{
public:
  // The platform must outlive the controller.
  Controller(const ControldSettings& aSettings,
             TableStore& aTable,
             ObjectStore& aObjects,
             VmList& aVmList,
             Metrics& aMetrics);
  // Stops the control thread immediately if it is still running.
  ~Controller() override;

  // Binds the links and starts the control thread. Returns an error when an address is in
  // use.
  Result<Done> Start();
  // Stops the control thread. If plantain-entryd has announced that the VM leaves the fleet,
  // waits at most kLeaveTimeout for plantain-entryd to finish, then removes the VM from the
  // configuration. Otherwise the VM remains a member, so that it can restart.
  void Stop();

  void Read(const std::function<void(const Configuration&)>& aRead) const override;
  Result<WriteOutcome> Write(const ApplyRequest& aWrite,
                             const std::vector<Revision>& aDeleteVersions,
                             const std::string& aChangeId) override;
  Result<std::vector<ChangeRecord>> ChangesAfter(Revision aRevision,
                                                 std::chrono::milliseconds aWait) override;
  FleetStatus Status() const override;

  // Maximum time to wait for plantain-entryd when the VM leaves.
  static constexpr std::chrono::seconds kLeaveTimeout{ 60 };

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace plantainhaven
