#pragma once

#include "plantainhaven/common/result.h"
#include "plantainhaven/policy/config/configuration.h"

#include <chrono>
#include <functional>
#include <memory>
#include <vector>

#include "resources.pb.h"

namespace plantainhaven {

// This VM's copy of the configuration, with the newest changes kept for those who
// follow. Written by the control thread, read from any thread.
class Replica
{
public:
  Replica();
  ~Replica();
  Replica(const Replica&) = delete;
  Replica& operator=(const Replica&) = delete;

  // Takes a configuration as the base. Returns false and changes nothing when that
  // would take the replica back to a lower revision.
  bool Reset(Configuration aBase);
  // Applies the next change; kConflict when it isn't the next one.
  Result<Done> Apply(const ChangeRecord& aChange);

  Revision Applied() const;
  // Runs `aRead` while no change is applied. Keep it short.
  void Read(const std::function<void(const Configuration&)>& aRead) const;
  // At most `aLimit` changes after a revision; kNotFound when they are no longer kept.
  Result<std::vector<ChangeRecord>> ChangesAfter(Revision aRevision, std::size_t aLimit) const;
  // The same, waiting up to `aWait` for the first one.
  Result<std::vector<ChangeRecord>> WaitForChanges(Revision aRevision,
                                                   std::size_t aLimit,
                                                   std::chrono::milliseconds aWait) const;
  // Waits until a revision is applied, or `aWait` has passed; tells whether it is.
  bool WaitForRevision(Revision aRevision, std::chrono::milliseconds aWait) const;

  // Changes kept in memory.
  static constexpr std::size_t kKeptChanges = 2048;

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace plantainhaven
