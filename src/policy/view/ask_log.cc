#include "policy/view/ask_log.h"

namespace plantainhaven {

AskLog::AskLog(Nanoseconds aKeepFor)
  : keepFor(aKeepFor)
{
}

std::uint64_t
AskLog::Add(const std::string& aTo, BootTime aNow)
{
  this->lastId += 1;
  this->asks[this->lastId] = { aTo, aNow };
  return this->lastId;
}

std::optional<BootTime>
AskLog::Take(std::uint64_t aId, const std::string& aFrom)
{
  const auto found = this->asks.find(aId);
  if (found == this->asks.end() || found->second.to != aFrom) {
    return std::nullopt;
  }
  const BootTime askedAt = found->second.askedAt;
  this->asks.erase(found);
  return askedAt;
}

void
AskLog::Prune(BootTime aNow)
{
  while (!this->asks.empty() && aNow - this->asks.begin()->second.askedAt > this->keepFor) {
    this->asks.erase(this->asks.begin());
  }
}

} // namespace plantainhaven
