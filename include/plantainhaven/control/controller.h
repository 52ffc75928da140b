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

// The control state of one VM. One thread owns it: it follows the configuration, speaks
// to the other VMs' controllers and answers plantain-entryd and plantain-lookupd.
// Calls to the platform, which may block, run on worker threads and hand their results
// back. The ResourceService methods may be called from any thread.
class Controller : public ResourceService
{
public:
  // The platform must outlive the controller.
  Controller(const ControldSettings& aSettings,
             TableStore& aTable,
             ObjectStore& aObjects,
             VmList& aVmList,
             Metrics& aMetrics);
  // Stops at once if it still runs.
  ~Controller() override;

  // Binds the links and starts the control thread. An address in use is an error.
  Result<Done> Start();
  // Stops. When the VM leaves the fleet, which plantain-entryd announces, it waits until
  // plantain-entryd has finished (at most kLongestLeave) and removes the VM from the
  // configuration; otherwise the VM stays a member, for a restart.
  void Stop();

  void Read(const std::function<void(const Configuration&)>& aRead) const override;
  Result<WriteOutcome> Write(const ApplyRequest& aWrite,
                             const std::vector<Revision>& aDeleteVersions,
                             const std::string& aChangeId) override;
  Result<std::vector<ChangeRecord>> ChangesAfter(Revision aRevision,
                                                 std::chrono::milliseconds aWait) override;
  FleetStatus Status() const override;

  // Longest wait for plantain-entryd when the VM leaves.
  static constexpr std::chrono::seconds kLongestLeave{ 60 };

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace plantainhaven
