#pragma once

#include "plantainhaven/policy/config/configuration.h"

#include "resources.pb.h"

namespace plantainhaven {

// Checks a set of writes against the configuration they would change: every rule of
// the schema (required, ranges), every reference (also to resources in the same
// set), rules across fields (percents sum to 100, a failure domain belongs to its
// region, addresses and CIDRs parse, digests are 64 hexadecimal digits), that no
// remaining resource refers to a deleted one, and names (1 to 128 characters of
// a-z, 0-9, '-', '.', '_', '/' is not among them).
// The first fault is returned as kInvalid with field, actual value and remedy; the
// deletion of a resource that doesn't exist as kNotFound.
Result<Done>
ValidateWrite(const Configuration& aConfiguration, const ApplyRequest& aWrite);

// Stated as a resource's version, it demands that the resource doesn't exist yet.
constexpr Revision kMustNotExist = ~Revision{ 0 };

// Checks versions: a resource with a stated version must have just that version now;
// kConflict otherwise. `aDeleteVersions` runs beside aWrite.deletes, 0 for any.
Result<Done>
CheckVersions(const Configuration& aConfiguration,
              const ApplyRequest& aWrite,
              const std::vector<Revision>& aDeleteVersions);

} // namespace plantainhaven
