#include "plantainhaven/policy/placing/server_registry.h"

namespace plantainhaven::placing {

void
ServerRegistry::BeginRead()
{
  this->missing.insert(this->reported.begin(), this->reported.end());
  this->reported.clear();
  this->isChanged = true;
}

void
ServerRegistry::OnReport(const BackendServer& aServer)
{
  this->missing.erase(aServer.id);
  this->reported[aServer.id] = aServer;
  this->isChanged = true;
}

void
ServerRegistry::OnRemoved(const std::string& aId)
{
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
  this->reported.erase(aId);
  this->missing.erase(aId);
  this->isChanged = true;
}

void
ServerRegistry::OnStoreRegained(BootTime aNow)
{
  this->keepMissingUntil = aNow + kReturnTime;
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
  if (!this->missing.empty() && (aStoreStayedUp || aNow >= this->keepMissingUntil)) {
    this->missing.clear();
    this->isChanged = true;
  }
  if (!this->isChanged) {
    return std::nullopt;
  }
  this->isChanged = false;
  std::vector<BackendServer> servers;
  for (const auto* part : { &this->reported, &this->missing }) {
    for (const auto& [id, server] : *part) {
      servers.push_back(server);
    }
  }
  return servers;
}

} // namespace plantainhaven::placing
