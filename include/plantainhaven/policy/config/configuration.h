#pragma once

#include "plantainhaven/common/result.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "resources.pb.h"

namespace plantainhaven {

using Revision = std::uint64_t;

// All resources of all kinds at one revision. Client blocks, of which there may be
// hundreds of thousands, are stored in packed form. A value type with copy-on-write:
// copies share resource maps and block chunks until one of them changes these. Not
// thread-safe, but one thread may use a copy while another changes the original.
class Configuration
{
public:
  Configuration();
  ~Configuration();
  Configuration(const Configuration& aOther);
  Configuration(Configuration&& aOther) noexcept;
  Configuration& operator=(const Configuration& aOther);
  Configuration& operator=(Configuration&& aOther) noexcept;

  // --- Reading ---------------------------------------------------------------

  // Revision of the last applied change or loaded snapshot; 0 for a new configuration.
  Revision AppliedRevision() const;
  // Returns the resource, or null if it doesn't exist. The pointer is valid until the
  // next change. Always null for client blocks, which are stored packed: use Get().
  const Resource* Find(std::string_view aKind, std::string_view aName) const;
  // Returns a copy of the resource, also of a client block; kNotFound if it doesn't exist.
  Result<Resource> Get(std::string_view aKind, std::string_view aName) const;
  // Calls `aVisit` for every resource of a kind in order of name. Client blocks are
  // unpacked one at a time.
  void ForEach(std::string_view aKind, const std::function<void(const Resource&)>& aVisit) const;
  // Calls `aVisit` for every client block in order of address and length, without
  // building resources. The region's name is valid until the next change.
  using BlockVisitor =
    std::function<void(std::uint32_t aAddress, std::uint8_t aLength, std::string_view aRegion)>;
  void ForEachBlock(const BlockVisitor& aVisit) const;
  std::size_t Count(std::string_view aKind) const;

  // --- Changing --------------------------------------------------------------

  // Applies the change with the next revision. Returns kConflict if the change's revision
  // isn't AppliedRevision() + 1, and kInvalid if a resource lacks its kind or name or a
  // client block's CIDR is invalid or doesn't match its name. After an error the
  // configuration is unchanged.
  Result<Done> Apply(const ChangeRecord& aChange);

  // --- Snapshots -------------------------------------------------------------

  // Divides the configuration into serialised SnapshotChunks. The chunk of a resource
  // depends on its kind and name only, so that a change of one resource changes one
  // chunk. Equal content gives equal bytes.
  std::vector<std::string> ToChunks() const;
  // Builds a configuration from serialised SnapshotChunks in any order. Returns kInvalid
  // if a chunk doesn't parse or a resource is invalid or occurs twice.
  static Result<Configuration> FromChunks(Revision aRevision,
                                          const std::vector<std::string>& aChunks);

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

// Returns the kind of a resource as operators write it, for example "backend_server";
// empty if no spec is set.
std::string
KindOf(const Resource& aResource);

// Like KindOf(), but for a stored resource: if its spec is of a kind that only a newer
// version of the program knows, returns the kind's name that the writer has stored with it.
std::string
StoredKindOf(const Resource& aResource);

// Returns the names of all kinds in the order of the schema.
const std::vector<std::string>&
AllKinds();

// Returns true for the kinds that plantain-entryd needs: all but client_block.
bool
IsTrafficKind(std::string_view aKind);

} // namespace plantainhaven
