#pragma once

#include "plantainhaven/policy/config/configuration.h"

#include <stdexcept>
#include <string>

#include <google/protobuf/util/json_util.h>

namespace plantainhaven {

// Parses a message from JSON. Throws std::runtime_error when the JSON in a test is invalid.
template<typename Message>
Message
FromJson(const std::string& aJson)
{
  Message message;
  const auto status = google::protobuf::util::JsonStringToMessage(aJson, &message);
  if (!status.ok()) {
    throw std::runtime_error(status.ToString() + " in " + aJson);
  }
  return message;
}

// A valid write, in JSON, that puts at least one resource of every kind.
inline const char* const kSampleResources = R"({"resources": [
  {"name": "kochi", "region": {"failure_domains": ["kochi-1", "kochi-2"]}},
  {"name": "kozhikode", "region": {"failure_domains": ["kozhikode-1"]}},
  {"name": "unused", "region": {"failure_domains": ["unused-1"]}},
  {"name": "portal", "service": {"timeout": "5s", "max_attempts": 3, "slow_start": "10s"}},
  {"name": "library", "service": {"timeout": "5s", "max_attempts": 1}},
  {"name": "portal-1", "backend_server": {"service": "portal", "region": "kochi",
    "failure_domain": "kochi-2", "address": "10.0.0.1", "port": 8080, "slots": 9,
    "max_connections": 360}},
  {"name": "lessons", "route": {"method": "GET", "path_prefix": "/lessons", "service": "portal"}},
  {"name": "franchise", "client_account": {"rate": 100, "burst": 20}},
  {"name": "franchise.1", "key": {"client_account": "franchise",
    "digest": "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"}},
  {"name": "portal", "traffic_policy": {"service": "portal", "cap_points": 5, "interval": "10s",
    "weights": [{"region": "kochi", "percent": 60}, {"region": "kozhikode", "percent": 40}]}},
  {"name": "kochi.kozhikode", "link": {"from_region": "kochi", "to_region": "kozhikode",
    "megabits_per_second": 4000}},
  {"name": "10.1.2.0_24", "client_block": {"cidr": "10.1.2.0/24", "region": "kozhikode"}},
  {"name": "vm-1", "entry_vm": {"address": "10.0.1.1", "region": "kochi",
    "failure_domain": "kochi-1", "entry_port": 1, "lookup_port": 2, "api_port": 3, "peer_port": 4,
    "budget_port": 5, "incarnation": 1, "state": "ACTIVE"}}
]})";

inline ChangeRecord
ChangeOf(Revision aRevision, const ApplyRequest& aWrite)
{
  ChangeRecord change;
  change.set_revision(aRevision);
  *change.mutable_puts() = aWrite.resources();
  *change.mutable_deletes() = aWrite.deletes();
  return change;
}

// Returns a configuration with the sample resources at revision 1.
inline Configuration
SampleConfiguration()
{
  Configuration configuration;
  const auto applied = configuration.Apply(ChangeOf(1, FromJson<ApplyRequest>(kSampleResources)));
  if (!IsOk(applied)) {
    throw std::runtime_error(ErrorOf(applied).message);
  }
  return configuration;
}

} // namespace plantainhaven
