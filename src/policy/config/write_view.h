#pragma once

#include "plantainhaven/policy/config/configuration.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <tuple>

namespace plantainhaven {

// Kind and name of a resource as a key of a set or map.
struct ResourceKey
{
  std::string kind;
  std::string name;

  friend bool operator<(const ResourceKey& aLeft, const ResourceKey& aRight)
  {
    return std::tie(aLeft.kind, aLeft.name) < std::tie(aRight.kind, aRight.name);
  }
};

// What a configuration would look like after a set of writes. Refers to both, which
// must outlive it.
class WriteView
{
public:
  WriteView(const Configuration& aConfiguration, const ApplyRequest& aWrite);

  bool Exists(std::string_view aKind, std::string_view aName) const;
  // The resource after the write or null; not for client blocks.
  const Resource* Find(std::string_view aKind, std::string_view aName) const;
  // Visits every resource of a kind as it is after the write, client blocks only as
  // far as the write itself holds them.
  void ForEach(std::string_view aKind, const std::function<void(const Resource&)>& aVisit) const;
  // Name of a client block that keeps referring to a region; empty when none does.
  std::string BlockInRegion(std::string_view aRegion) const;
  // Names that exist, for messages: "a, b, c and 4 more", or "none".
  std::string NamesOf(std::string_view aKind) const;

private:
  bool IsReplaced(std::string_view aKind, std::string_view aName) const;

  const Configuration& configuration;
  std::map<ResourceKey, const Resource*> puts;
  std::set<ResourceKey> deletes;
};

} // namespace plantainhaven
