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

// The whole configuration at one revision: every resource of every kind. Client
// blocks, of which there may be hundreds of thousands, are held compactly. A value
// type: copies share what didn't change where that is cheap. Not thread-safe, but a
// copy may be used by another thread while the original changes.
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

  // Revision of the last change applied, 0 for an empty configuration.
  Revision AppliedRevision() const;
  // The resource or null. The pointer holds until the next change.
  // Client blocks are held packed, so that only Get() answers them.
  const Resource* Find(std::string_view aKind, std::string_view aName) const;
  // Any resource by kind and name, client blocks included; kNotFound if absent.
  Result<Resource> Get(std::string_view aKind, std::string_view aName) const;
  // Calls `aVisit` for every resource of a kind in order of name; for client
  // blocks too, which are rebuilt one by one.
  void ForEach(std::string_view aKind, const std::function<void(const Resource&)>& aVisit) const;
  // Calls `aVisit` for every client block in order of address, without building
  // resources. The region's name holds until the next change.
  using BlockVisitor =
    std::function<void(std::uint32_t aAddress, std::uint8_t aLength, std::string_view aRegion)>;
  void ForEachBlock(const BlockVisitor& aVisit) const;
  std::size_t Count(std::string_view aKind) const;

  // --- Changing --------------------------------------------------------------

  // Applies a change if it is the next one. kConflict when its revision isn't
  // AppliedRevision() + 1; the configuration is then unchanged.
  Result<Done> Apply(const ChangeRecord& aChange);

  // --- Snapshots -------------------------------------------------------------

  // Cuts the configuration into chunks. The cut depends on names only, so that a
  // change of one resource changes one chunk. Bytes are deterministic.
  std::vector<std::string> ToChunks() const;
  // Builds a configuration from serialised SnapshotChunks; kInvalid on bad bytes.
  static Result<Configuration> FromChunks(Revision aRevision,
                                          const std::vector<std::string>& aChunks);

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

// Kind of a resource as operators write it, for example "backend_server"; empty when
// no spec is set.
std::string
KindOf(const Resource& aResource);

// The same for a resource that was written: a kind of a newer version, whose spec this
// version can't see, is known by the name that its writer gave it.
std::string
StoredKindOf(const Resource& aResource);

// Every kind's name, in the order of the schema.
const std::vector<std::string>&
AllKinds();

// Kinds that plantain-entryd needs: all but client_block.
bool
IsTrafficKind(std::string_view aKind);

} // namespace plantainhaven
