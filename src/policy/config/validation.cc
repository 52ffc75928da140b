#include "plantainhaven/policy/config/validation.h"

#include "policy/config/cross_field_rules.h"
#include "policy/config/field_rules.h"
#include "policy/config/field_violation.h"
#include "policy/config/write_view.h"

#include <algorithm>
#include <set>

namespace plantainhaven {

namespace {

std::string
Describe(const ResourceKey& aKey)
{
  return aKey.kind + ' ' + Quote(aKey.name);
}

Error
MissingKind(const Resource& aResource)
{
  std::string kinds;
  for (const std::string& kind : AllKinds()) {
    kinds += (kinds.empty() ? "" : ", ") + kind;
  }
  return InvalidResource(aResource,
                         { "spec", "missing", "one kind's fields", "set one of: " + kinds });
}

// Checks that no resource occurs more than once among puts and deletes.
Result<Done>
CheckDistinct(const ApplyRequest& aWrite)
{
  std::set<ResourceKey> seen;
  const auto add = [&](const ResourceKey& aKey) -> Result<Done> {
    if (seen.insert(aKey).second) {
      return Done{};
    }
    return Error{ ErrorKind::kInvalid,
                  Describe(aKey) + " occurs twice in one write, expected once",
                  "keep one of the two",
                  "resources" };
  };
  for (const Resource& resource : aWrite.resources()) {
    if (Result<Done> added = add({ KindOf(resource), resource.name() }); !IsOk(added)) {
      return added;
    }
  }
  for (const ResourceId& id : aWrite.deletes()) {
    if (Result<Done> added = add({ id.kind(), id.name() }); !IsOk(added)) {
      return added;
    }
  }
  return Done{};
}

Result<Done>
CheckPut(const Resource& aResource, const WriteView& aView)
{
  if (aResource.spec_case() == Resource::SPEC_NOT_SET) {
    return MissingKind(aResource);
  }
  if (Result<Done> named = CheckName(aResource); !IsOk(named)) {
    return named;
  }
  if (Result<Done> fields = CheckFieldRules(aResource, aView); !IsOk(fields)) {
    return fields;
  }
  return CheckCrossFieldRules(aResource, aView);
}

Error
StillReferenced(const ResourceKey& aDeleted, const ResourceKey& aBy, const std::string& aField)
{
  return { ErrorKind::kInvalid,
           Describe(aDeleted) + " can't be deleted: " + Describe(aBy) + " refers to it in " +
             aField,
           "delete or change " + Describe(aBy) + " first or in the same write",
           aField };
}

// Checks that no resource in the view refers to a deleted one.
Result<Done>
CheckReferrers(const std::set<ResourceKey>& aDeleted, const WriteView& aView)
{
  Result<Done> result = Done{};
  const auto check = [&](const Resource& aResource) {
    for (const Reference& reference : ReferencesOf(aResource)) {
      const ResourceKey target{ reference.kind, reference.name };
      if (IsOk(result) && aDeleted.count(target) != 0) {
        result = StillReferenced(target, { KindOf(aResource), aResource.name() }, reference.field);
      }
    }
  };
  for (const std::string& kind : AllKinds()) {
    aView.ForEach(kind, check);
  }
  for (const ResourceKey& key : aDeleted) {
    const std::string block = key.kind == "region" ? aView.BlockInRegion(key.name) : "";
    if (IsOk(result) && !block.empty()) {
      result = StillReferenced(key, { "client_block", block }, "client_block.region");
    }
  }
  return result;
}

Result<Done>
CheckDeletes(const Configuration& aConfiguration,
             const ApplyRequest& aWrite,
             const WriteView& aView)
{
  std::set<ResourceKey> deleted;
  for (const ResourceId& id : aWrite.deletes()) {
    const Result<Resource> current = aConfiguration.Get(id.kind(), id.name());
    if (!IsOk(current)) {
      return ErrorOf(current);
    }
    deleted.insert({ id.kind(), id.name() });
  }
  return deleted.empty() ? Result<Done>(Done{}) : CheckReferrers(deleted, aView);
}

// Returns the current version of a resource; 0 if it doesn't exist.
Revision
CurrentVersion(const Configuration& aConfiguration, const ResourceKey& aKey)
{
  const Result<Resource> current = aConfiguration.Get(aKey.kind, aKey.name);
  return IsOk(current) ? ValueOf(current).version() : 0;
}

std::string
DescribeVersion(Revision aVersion)
{
  const bool absent = aVersion == 0 || aVersion == kMustNotExist;
  return absent ? "no such resource" : "version " + std::to_string(aVersion);
}

Result<Done>
CheckVersion(const Configuration& aConfiguration, const ResourceKey& aKey, Revision aStated)
{
  const Revision current = CurrentVersion(aConfiguration, aKey);
  const Revision expected = aStated == kMustNotExist ? 0 : aStated;
  if (aStated == 0 || current == expected) {
    return Done{};
  }
  return Error{ ErrorKind::kConflict,
                Describe(aKey) + ": there is " + DescribeVersion(current) + ", expected " +
                  DescribeVersion(aStated),
                "read it again, make your change to what is there now and write that",
                "version" };
}

} // namespace

Result<Done>
ValidateWrite(const Configuration& aConfiguration, const ApplyRequest& aWrite)
{
  if (Result<Done> distinct = CheckDistinct(aWrite); !IsOk(distinct)) {
    return distinct;
  }
  const WriteView view(aConfiguration, aWrite);
  for (const Resource& resource : aWrite.resources()) {
    if (Result<Done> put = CheckPut(resource, view); !IsOk(put)) {
      return put;
    }
  }
  return CheckDeletes(aConfiguration, aWrite, view);
}

Result<Done>
CheckVersions(const Configuration& aConfiguration,
              const ApplyRequest& aWrite,
              const std::vector<Revision>& aDeleteVersions)
{
  for (const Resource& resource : aWrite.resources()) {
    const ResourceKey key{ KindOf(resource), resource.name() };
    Result<Done> checked = CheckVersion(aConfiguration, key, resource.version());
    if (!IsOk(checked)) {
      return checked;
    }
  }
  const auto count = static_cast<std::size_t>(aWrite.deletes_size());
  for (std::size_t index = 0; index < std::min(count, aDeleteVersions.size()); ++index) {
    const ResourceId& id = aWrite.deletes(static_cast<int>(index));
    Result<Done> checked =
      CheckVersion(aConfiguration, { id.kind(), id.name() }, aDeleteVersions[index]);
    if (!IsOk(checked)) {
      return checked;
    }
  }
  return Done{};
}

} // namespace plantainhaven
