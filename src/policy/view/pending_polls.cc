#include "policy/view/pending_polls.h"

namespace plantainhaven {

PendingPolls::PendingPolls(Nanoseconds aKeepFor)
  : keepFor(aKeepFor)
{
}

std::uint64_t
PendingPolls::Add(const std::string& aTo, BootTime aNow)
{
  this->lastId += 1;
  this->polls[this->lastId] = { aTo, aNow };
  return this->lastId;
}

std::optional<BootTime>
PendingPolls::Take(std::uint64_t aId, const std::string& aFrom)
{
  const auto found = this->polls.find(aId);
  if (found == this->polls.end() || found->second.to != aFrom) {
    return std::nullopt;
  }
  const BootTime sentAt = found->second.sentAt;
  this->polls.erase(found);
  return sentAt;
}

void
PendingPolls::Prune(BootTime aNow)
{
  while (!this->polls.empty() && aNow - this->polls.begin()->second.sentAt > this->keepFor) {
    this->polls.erase(this->polls.begin());
  }
}

} // namespace plantainhaven
