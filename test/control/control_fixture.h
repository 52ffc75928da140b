#pragma once

#include "plantainhaven/policy/config/configuration.h"

#include <string>

// Returns a change that adds one region; its change id is "id-" followed by the region's
// name.
inline plantainhaven::ChangeRecord
RegionChange(plantainhaven::Revision aRevision, const std::string& aName)
{
  plantainhaven::ChangeRecord change;
  change.set_revision(aRevision);
  change.set_change_id("id-" + aName);
  plantainhaven::Resource* region = change.add_puts();
  region->set_name(aName);
  region->set_version(aRevision);
  region->mutable_region()->add_failure_domains(aName + "-a");
  return change;
}

// Returns a write of one region.
inline plantainhaven::ApplyRequest
RegionWrite(const std::string& aName)
{
  plantainhaven::ApplyRequest write;
  plantainhaven::Resource* region = write.add_resources();
  region->set_name(aName);
  region->mutable_region()->add_failure_domains(aName + "-a");
  return write;
}
