#pragma once

#include "plantainhaven/policy/config/configuration.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <tuple>

namespace plantainhaven {

// Kind and name of a resource, for use as a key.
struct ResourceKey
{
  std::string kind;
  std::string name;

  friend bool operator<(const ResourceKey& aLeft, const ResourceKey& aRight)
  {
    return std::tie(aLeft.kind, aLeft.name) < std::tie(aRight.kind, aRight.name);
  }
};

// A view of the configuration as it would be after a write. Keeps references to both the
// configuration and the write, which must outlive the view.
class WriteView
{
public:
  WriteView(const Configuration& aConfiguration, const ApplyRequest& aWrite);

  bool Exists(std::string_view aKind, std::string_view aName) const;
  // Returns the resource after the write, or null if there is none. Not for client blocks.
  const Resource* Find(std::string_view aKind, std::string_view aName) const;
  // Calls `aVisit` for every resource of a kind after the write; of client blocks, only for
  // those that the write puts.
  void ForEach(std::string_view aKind, const std::function<void(const Resource&)>& aVisit) const;
  // Returns the name of a client block that refers to a region after the write; empty if
  // none does.
  std::string BlockInRegion(std::string_view aRegion) const;
  // Lists the names of a kind after the write for messages: "a, b, c and 4 more" or "none".
  std::string NamesOf(std::string_view aKind) const;

private:
  bool IsReplaced(std::string_view aKind, std::string_view aName) const;

  const Configuration& configuration;
  std::map<ResourceKey, const Resource*> puts;
  std::set<ResourceKey> deletes;
};

} // namespace plantainhaven
