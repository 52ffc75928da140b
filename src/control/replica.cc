#include "plantainhaven/control/replica.h"

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <shared_mutex>
#include <utility>

namespace plantainhaven {

struct Replica::Impl
{
  mutable std::shared_mutex mutex;
  mutable std::condition_variable_any changed;
  Configuration configuration;
  std::deque<ChangeRecord> kept;

  // Requires that the caller holds the mutex.
  Result<std::vector<ChangeRecord>> After(Revision aRevision, std::size_t aLimit) const
  {
    const Revision applied = this->configuration.AppliedRevision();
    const Revision oldest = applied - this->kept.size();
    if (aRevision < oldest) {
      return Error{ ErrorKind::kNotFound,
                    "changes after revision " + std::to_string(aRevision) +
                      " are no longer kept; the oldest kept is " + std::to_string(oldest + 1),
                    "read the whole configuration again" };
    }
    std::vector<ChangeRecord> changes;
    if (aRevision >= applied) {
      return changes;
    }
    const std::size_t first = aRevision - oldest;
    const std::size_t count = std::min(aLimit, this->kept.size() - first);
    changes.assign(this->kept.begin() + static_cast<std::ptrdiff_t>(first),
                   this->kept.begin() + static_cast<std::ptrdiff_t>(first + count));
    return changes;
  }
};

Replica::Replica()
  : impl(std::make_unique<Impl>())
{
}

Replica::~Replica() = default;

bool
Replica::Reset(Configuration aBase)
{
  const std::unique_lock lock(this->impl->mutex);
  if (aBase.AppliedRevision() < this->impl->configuration.AppliedRevision()) {
    return false;
  }
  this->impl->configuration = std::move(aBase);
  this->impl->kept.clear();
  this->impl->changed.notify_all();
  return true;
}

Result<Done>
Replica::Apply(const ChangeRecord& aChange)
{
  const std::unique_lock lock(this->impl->mutex);
  Result<Done> applied = this->impl->configuration.Apply(aChange);
  if (!IsOk(applied)) {
    return applied;
  }
  this->impl->kept.push_back(aChange);
  for (Resource& resource : *this->impl->kept.back().mutable_puts()) {
    resource.set_version(aChange.revision());
  }
  if (this->impl->kept.size() > kKeptChanges) {
    this->impl->kept.pop_front();
  }
  this->impl->changed.notify_all();
  return applied;
}

Revision
Replica::Applied() const
{
  const std::shared_lock lock(this->impl->mutex);
  return this->impl->configuration.AppliedRevision();
}

void
Replica::Read(const std::function<void(const Configuration&)>& aRead) const
{
  const std::shared_lock lock(this->impl->mutex);
  aRead(this->impl->configuration);
}

Result<std::vector<ChangeRecord>>
Replica::ChangesAfter(Revision aRevision, std::size_t aLimit) const
{
  const std::shared_lock lock(this->impl->mutex);
  return this->impl->After(aRevision, aLimit);
}

Result<std::vector<ChangeRecord>>
Replica::WaitForChanges(Revision aRevision,
                        std::size_t aLimit,
                        std::chrono::milliseconds aWait) const
{
  std::shared_lock lock(this->impl->mutex);
  this->impl->changed.wait_for(lock, aWait, [this, aRevision] {
    return this->impl->configuration.AppliedRevision() > aRevision;
  });
  return this->impl->After(aRevision, aLimit);
}

bool
Replica::WaitForRevision(Revision aRevision, std::chrono::milliseconds aWait) const
{
  std::shared_lock lock(this->impl->mutex);
  return this->impl->changed.wait_for(lock, aWait, [this, aRevision] {
    return this->impl->configuration.AppliedRevision() >= aRevision;
  });
}

} // namespace plantainhaven
