#include "platform/backend_faults.h"

#include <utility>

namespace plantainhaven {

namespace {

constexpr std::uint32_t kAllPercent = 100;

} // namespace

BackendFaults::BackendFaults(std::uint64_t aSeed)
  : random(aSeed)
{
}

void
BackendFaults::Set(const BackendFault& aFault, const BackendLoad& aLoad)
{
  const std::lock_guard lock(this->mutex);
  this->fault = aFault;
  this->frozenLoad = aLoad;
  this->silencedConnections.clear();
  if (aFault.silence_existing()) {
    this->silencedConnections.swap(this->seenConnections);
  }
}

BackendFault
BackendFaults::Present() const
{
  const std::lock_guard lock(this->mutex);
  return this->fault;
}

bool
BackendFaults::Hits(std::uint32_t aPercent)
{
  if (aPercent == 0) {
    return false;
  }
  const std::lock_guard lock(this->mutex);
  return this->random() % kAllPercent < aPercent;
}

bool
BackendFaults::IsSilenced(const std::string& aConnection)
{
  const std::lock_guard lock(this->mutex);
  if (this->fault.silent() || this->silencedConnections.count(aConnection) > 0) {
    return true;
  }
  this->seenConnections.insert(aConnection);
  return false;
}

BackendLoad
BackendFaults::Report(const BackendLoad& aTruth) const
{
  const std::lock_guard lock(this->mutex);
  if (this->fault.load_report() == BackendFault::FROZEN) {
    return this->frozenLoad;
  }
  BackendLoad load = aTruth;
  if (this->fault.load_report() == BackendFault::ALWAYS_EMPTY) {
    load.set_in_flight(0);
  }
  if (this->fault.load_report() == BackendFault::ALWAYS_FULL) {
    load.set_in_flight(load.slots());
  }
  return load;
}

std::string
BackendFaults::AnswerId(const std::string& aOwnId)
{
  const bool crossed = this->Hits(this->Present().crossed_percent());
  const std::lock_guard lock(this->mutex);
  const std::string other = std::exchange(this->previousId, aOwnId);
  if (!crossed) {
    return aOwnId;
  }
  return other.empty() || other == aOwnId ? "crossed-" + aOwnId : other;
}

} // namespace plantainhaven
