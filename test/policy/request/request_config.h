#pragma once

#include "plantainhaven/common/digest.h"
#include "plantainhaven/policy/config/configuration.h"

#include <string>
#include <vector>

namespace plantainhaven {

// Builds small configurations for tests of the request path. Each Apply() creates a new
// revision.
class ConfigWriter
{
public:
  Resource& Add(const std::string& aName)
  {
    this->record.set_revision(this->configuration.AppliedRevision() + 1);
    Resource* resource = this->record.add_puts();
    resource->set_name(aName);
    return *resource;
  }
  void Remove(const std::string& aKind, const std::string& aName)
  {
    this->record.set_revision(this->configuration.AppliedRevision() + 1);
    ResourceId* id = this->record.add_deletes();
    id->set_kind(aKind);
    id->set_name(aName);
  }
  void AddService(const std::string& aName, int aTimeoutMs, unsigned aMaxAttempts = 3)
  {
    Service* service = this->Add(aName).mutable_service();
    service->mutable_timeout()->set_seconds(aTimeoutMs / 1000);
    service->mutable_timeout()->set_nanos((aTimeoutMs % 1000) * 1000000);
    service->set_max_attempts(aMaxAttempts);
  }
  void AddServer(const std::string& aName,
                 const std::string& aService,
                 const std::string& aRegion,
                 const std::string& aDomain,
                 unsigned aPort = 1,
                 bool aDraining = false)
  {
    BackendServer* server = this->Add(aName).mutable_backend_server();
    server->set_service(aService);
    server->set_region(aRegion);
    server->set_failure_domain(aDomain);
    server->set_address("127.0.0.1");
    server->set_port(aPort);
    server->set_slots(9);
    server->set_max_connections(360);
    server->set_draining(aDraining);
  }
  void AddRoute(const std::string& aName,
                const std::string& aMethod,
                const std::string& aPrefix,
                const std::string& aService,
                bool aOpen,
                bool aIdempotent)
  {
    Route* route = this->Add(aName).mutable_route();
    route->set_method(aMethod);
    route->set_path_prefix(aPrefix);
    route->set_service(aService);
    route->set_open(aOpen);
    route->set_idempotent(aIdempotent);
  }
  void AddAccount(const std::string& aName, const std::string& aKey)
  {
    ClientAccount* account = this->Add(aName).mutable_client_account();
    account->set_rate(1000);
    account->set_burst(1000);
    Key* key = this->Add(aName + "-key").mutable_key();
    key->set_client_account(aName);
    key->set_digest(Sha256Hex(aKey));
  }
  void AddPolicy(const std::string& aService,
                 const std::vector<double>& aPercents,
                 double aCap,
                 int aIntervalSeconds)
  {
    TrafficPolicy* policy = this->Add(aService + "-policy").mutable_traffic_policy();
    policy->set_service(aService);
    char region = 'a';
    for (const double percent : aPercents) {
      TrafficPolicy::Weight* weight = policy->add_weights();
      weight->set_region(std::string(1, region++));
      weight->set_percent(percent);
    }
    policy->set_cap_points(aCap);
    policy->mutable_interval()->set_seconds(aIntervalSeconds);
  }
  // Applies the pending additions and removals as one revision.
  const Configuration& Apply()
  {
    this->applied = this->record;
    this->configuration.Apply(this->record);
    this->record.Clear();
    return this->configuration;
  }
  // Returns the last applied change record.
  const ChangeRecord& Applied() const { return this->applied; }

private:
  Configuration configuration;
  ChangeRecord record;
  ChangeRecord applied;
};

} // namespace plantainhaven
