#include "plantainhaven/policy/placing/server_registry.h"

namespace plantainhaven::placing {

void
ServerRegistry::BeginRead()
{
  this->heldReports.clear();
  this->missing.insert(this->reported.begin(), this->reported.end());
  this->reported.clear();
  this->isChanged = true;
}

bool
ServerRegistry::IsOutdated(const BackendServer& aServer) const
{
  for (const auto* table : { &this->reported, &this->missing }) {
    const auto known = table->find(aServer.id);
    if (known == table->end()) {
      continue;
    }
    const BackendServer& newest = known->second;
    const bool isEarlier =
      newest.startedAt == aServer.startedAt && newest.reportNumber > aServer.reportNumber;
    const bool revertsDrain = isEarlier && newest.isDraining && !aServer.isDraining;
    if (revertsDrain || aServer.startedAt < newest.startedAt) {
      return true;
    }
  }
  const auto left = this->departed.find(aServer.id);
  return left != this->departed.end() && left->second.startedAt == aServer.startedAt &&
         left->second.reportNumber >= aServer.reportNumber;
}

void
ServerRegistry::RecordDepartures()
{
  if (this->departed.size() + this->missing.size() > kMaxDepartures) {
    this->departed.clear();
  }
  for (const auto& [id, server] : this->missing) {
    this->departed[id] = { server.startedAt, server.reportNumber };
  }
}

void
ServerRegistry::OnReport(const BackendServer& aServer)
{
  this->heldReports.erase(aServer.id);
  if (this->isStaleCopy && this->IsOutdated(aServer)) {
    this->heldReports[aServer.id] = aServer;
    return;
  }
  this->missing.erase(aServer.id);
  this->reported[aServer.id] = aServer;
  this->isChanged = true;
}

void
ServerRegistry::OnRemoved(const std::string& aId)
{
  this->heldReports.erase(aId);
  const auto known = this->reported.find(aId);
  if (known == this->reported.end()) {
    return;
  }
  this->missing.insert(*known);
  this->reported.erase(known);
  this->isChanged = true;
}

void
ServerRegistry::OnUnreadable(const std::string& aId)
{
  this->heldReports.erase(aId);
  this->reported.erase(aId);
  this->missing.erase(aId);
  this->isChanged = true;
}

void
ServerRegistry::OnStoreReachable(BootTime aNow)
{
  this->keepMissingUntil = aNow + kReportGracePeriod;
}

void
ServerRegistry::OnStoreRolledBack(BootTime aNow)
{
  this->isStaleCopy = true;
  this->staleCopyUntil = aNow + kStaleCopyPeriod;
  this->OnStoreReachable(aNow);
}

// Accepts the reports that were held back: if the store still has them now, they have been
// written again, because otherwise they would have expired or been removed.
void
ServerRegistry::AcceptHeldReports()
{
  this->isStaleCopy = false;
  for (const auto& [id, server] : this->heldReports) {
    this->missing.erase(id);
    this->reported[id] = server;
    this->isChanged = true;
  }
  this->heldReports.clear();
}

const BackendServer*
ServerRegistry::Find(const std::string& aId) const
{
  const auto found = this->reported.find(aId);
  return found == this->reported.end() ? nullptr : &found->second;
}

std::optional<std::vector<BackendServer>>
ServerRegistry::TakeChanges(bool aStoreStayedUp, BootTime aNow)
{
  if (this->isStaleCopy && aNow >= this->staleCopyUntil) {
    this->AcceptHeldReports();
  }
  const bool mayDrop = aNow >= this->keepMissingUntil || (aStoreStayedUp && !this->isStaleCopy);
  if (!this->missing.empty() && mayDrop) {
    this->RecordDepartures();
    this->missing.clear();
    this->isChanged = true;
  }
  if (!this->isChanged) {
    return std::nullopt;
  }
  this->isChanged = false;
  std::vector<BackendServer> servers;
  for (const auto* table : { &this->reported, &this->missing }) {
    for (const auto& [id, server] : *table) {
      servers.push_back(server);
    }
  }
  return servers;
}

} // namespace plantainhaven::placing
