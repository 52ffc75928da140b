#pragma once

#include "plantainhaven/common/result.h"
#include "plantainhaven/policy/config/configuration.h"

#include <chrono>
#include <functional>
#include <memory>
#include <vector>

#include "resources.pb.h"

namespace plantainhaven {

// This VM's copy of the configuration, with the newest changes retained for readers that
// fetch changes incrementally. The control thread writes it; any thread may read it.
class Replica
{
public:
  Replica();
  ~Replica();
  Replica(const Replica&) = delete;
  Replica& operator=(const Replica&) = delete;

  // Replaces the configuration and discards the retained changes. Returns false and changes
  // nothing when `aBase` has a lower revision than the replica.
  bool Reset(Configuration aBase);
  // Applies the next change; returns kConflict when its revision isn't the next one.
  Result<Done> Apply(const ChangeRecord& aChange);

  Revision Applied() const;
  // Calls `aRead` under a shared lock, which blocks changes; `aRead` must be short.
  void Read(const std::function<void(const Configuration&)>& aRead) const;
  // Returns at most `aLimit` changes after a revision; kNotFound when they are no longer
  // retained.
  Result<std::vector<ChangeRecord>> ChangesAfter(Revision aRevision, std::size_t aLimit) const;
  // Like ChangesAfter(), but waits up to `aWait` for the first change.
  Result<std::vector<ChangeRecord>> WaitForChanges(Revision aRevision,
                                                   std::size_t aLimit,
                                                   std::chrono::milliseconds aWait) const;
  // Waits up to `aWait` until a revision is applied; returns whether it is.
  bool WaitForRevision(Revision aRevision, std::chrono::milliseconds aWait) const;

  // Maximum number of changes retained in memory.
  static constexpr std::size_t kKeptChanges = 2048;

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace plantainhaven
