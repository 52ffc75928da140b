#pragma once

#include "plantainhaven/policy/config/configuration.h"

#include "resources.pb.h"

namespace plantainhaven {

// Validates a write against the configuration that it would change:
// - No resource occurs twice in the write.
// - Names have 1 to 128 characters of a-z, 0-9, '-', '.' and '_'; '/' isn't allowed.
// - Fields meet the rules of the schema (required, ranges).
// - References name existing resources or resources in the same write.
// - Rules across fields hold: percents sum to 100, a failure domain belongs to its
//   region, addresses and CIDRs parse, digests are 64 hexadecimal digits.
// - No remaining resource refers to a deleted one.
// Returns the first violation as kInvalid with field, actual value and remedy, and
// kNotFound if a resource to delete doesn't exist.
Result<Done>
ValidateWrite(const Configuration& aConfiguration, const ApplyRequest& aWrite);

// Given as a resource's version, requires that the resource doesn't exist yet.
constexpr Revision kMustNotExist = ~Revision{ 0 };

// Checks the versions given in a write, for optimistic concurrency control: a resource
// with a version other than 0 must have exactly this version now, else kConflict is
// returned. `aDeleteVersions` holds the versions for aWrite.deletes in the same order;
// 0 or no entry accepts any version.
Result<Done>
CheckVersions(const Configuration& aConfiguration,
              const ApplyRequest& aWrite,
              const std::vector<Revision>& aDeleteVersions);

} // namespace plantainhaven
