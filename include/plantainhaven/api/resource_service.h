#pragma once

#include "plantainhaven/common/result.h"
#include "plantainhaven/policy/config/configuration.h"

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "resources.pb.h"

namespace plantainhaven {

// What the resource API needs of the control state. plantain-controld implements it;
// tests use a fake. All methods may be called from any thread.
class ResourceService
{
public:
  virtual ~ResourceService() = default;

  // Runs `aRead` on a configuration that doesn't change meanwhile. Keep it short.
  virtual void Read(const std::function<void(const Configuration&)>& aRead) const = 0;

  // Validates and commits a set of writes as one change, then waits a bounded time for
  // its acceptance. `aDeleteVersions` runs beside aWrite.deletes (0: any version).
  // `aChangeId` makes a repeated call idempotent; empty lets the service choose one.
  // Errors: kInvalid, kConflict, kNotFound: nothing was done. kUnavailable: the store
  // is down, nothing was done. kUnknown: ask again with the same change id.
  virtual Result<WriteOutcome> Write(const ApplyRequest& aWrite,
                                     const std::vector<Revision>& aDeleteVersions,
                                     const std::string& aChangeId) = 0;

  // Changes after a revision in order, waiting up to `aWait` for the first; empty when
  // none came. kNotFound when changes so old are no longer kept: list again.
  virtual Result<std::vector<ChangeRecord>> ChangesAfter(Revision aRevision,
                                                         std::chrono::milliseconds aWait) = 0;

  virtual FleetStatus Status() const = 0;
};

} // namespace plantainhaven
