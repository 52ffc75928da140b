#include "plantainhaven/policy/config/configuration.h"
#include "policy/config/configuration_impl.h"

#include <array>

namespace plantainhaven {

namespace {

// Number of buckets that a configuration is divided into. All VMs must use the same
// number; otherwise equal configurations give different chunks.
constexpr std::size_t kSnapshotBuckets = 512;

struct Bucket
{
  std::vector<const Resource*> resources;
  std::vector<const PackedBlock*> blocks;
};

using Buckets = std::array<Bucket, kSnapshotBuckets>;

// 64-bit FNV-1a: gives the same hash on every machine and in every version of the program.
std::uint64_t
HashName(std::string_view aKind, std::string_view aName)
{
  constexpr std::uint64_t kOffset = 0xcbf29ce484222325;
  constexpr std::uint64_t kPrime = 0x100000001b3;
  std::uint64_t hash = kOffset;
  const auto add = [&](std::string_view aBytes) {
    for (const char byte : aBytes) {
      hash = (hash ^ static_cast<unsigned char>(byte)) * kPrime;
    }
  };
  add(aKind);
  add("/");
  add(aName);
  return hash;
}

std::size_t
BucketOf(std::string_view aKind, std::string_view aName)
{
  // The low bits of FNV-1a are distributed less evenly, so the high bits are mixed in.
  const std::uint64_t hash = HashName(aKind, aName);
  return (hash ^ hash >> 32) % kSnapshotBuckets;
}

// Writes resources in order of kind and name, then blocks in order of address, so that
// equal buckets give equal bytes.
std::string
Serialise(const Bucket& aBucket, const BlockTable& aTable)
{
  SnapshotChunk chunk;
  for (const Resource* resource : aBucket.resources) {
    *chunk.add_resources() = *resource;
  }
  for (const PackedBlock* block : aBucket.blocks) {
    *chunk.add_resources() = UnpackBlock(aTable, *block);
  }
  return chunk.SerializeAsString();
}

Error
InvalidSnapshot(std::string aMessage)
{
  return { ErrorKind::kInvalid,
           "snapshot: " + std::move(aMessage),
           "fetch the snapshot again, or from another place" };
}

// Collects the resources of a snapshot and rejects invalid and duplicate ones.
class SnapshotReader
{
public:
  explicit SnapshotReader(Revision aRevision)
    : revision(aRevision)
  {
  }

  Result<Done> Read(const std::string& aChunk)
  {
    SnapshotChunk chunk;
    if (!chunk.ParseFromString(aChunk)) {
      return InvalidSnapshot("a chunk of " + std::to_string(aChunk.size()) +
                             " bytes doesn't parse");
    }
    for (Resource& resource : *chunk.mutable_resources()) {
      if (Result<Done> added = this->Add(std::move(resource)); !IsOk(added)) {
        return added;
      }
    }
    return Done{};
  }

  Result<Done> Store(std::map<std::string, SharedResourceMap, std::less<>>& aKinds,
                     BlockTable& aBlocks)
  {
    for (auto& [kind, read] : this->resources) {
      aKinds[kind] = std::make_shared<const ResourceMap>(std::move(read));
    }
    const std::size_t expected = this->blocks.size();
    aBlocks.Edit(std::move(this->blocks));
    if (aBlocks.Size() != expected) {
      return InvalidSnapshot("a client block occurs twice");
    }
    return Done{};
  }

private:
  Result<Done> Add(Resource aResource)
  {
    const std::string kind = StoredKindOf(aResource);
    const std::string name = aResource.name();
    if (kind.empty() || name.empty()) {
      return InvalidSnapshot("a resource lacks its kind or its name");
    }
    if (aResource.version() == 0 || aResource.version() > this->revision) {
      return InvalidSnapshot(kind + " \"" + name + "\" has version " +
                             std::to_string(aResource.version()) + ", expected 1 to " +
                             std::to_string(this->revision));
    }
    if (kind == kClientBlockKind) {
      return this->AddBlock(aResource);
    }
    auto stored = std::make_shared<const Resource>(std::move(aResource));
    const bool added = this->resources[kind].emplace(name, std::move(stored)).second;
    return added ? Result<Done>(Done{}) : InvalidSnapshot(kind + " \"" + name + "\" occurs twice");
  }

  Result<Done> AddBlock(const Resource& aResource)
  {
    PackResult edit = PackBlock(aResource, aResource.version());
    if (const auto* violation = std::get_if<FieldViolation>(&edit)) {
      return InvalidSnapshot(InvalidResource(aResource, *violation).message);
    }
    this->blocks.push_back(std::get<BlockEdit>(std::move(edit)));
    return Done{};
  }

  Revision revision;
  std::map<std::string, ResourceMap> resources;
  std::vector<BlockEdit> blocks;
};

} // namespace

std::vector<std::string>
Configuration::ToChunks() const
{
  auto buckets = std::make_unique<Buckets>();
  for (const auto& [kind, resources] : this->impl->kinds) {
    for (const auto& [name, resource] : *resources) {
      (*buckets)[BucketOf(kind, name)].resources.push_back(resource.get());
    }
  }
  this->impl->blocks.ForEach([&](const PackedBlock& aBlock) {
    const std::size_t bucket = BucketOf(kClientBlockKind, BlockName(aBlock.Prefix()));
    (*buckets)[bucket].blocks.push_back(&aBlock);
  });
  std::vector<std::string> chunks;
  for (const Bucket& bucket : *buckets) {
    if (!bucket.resources.empty() || !bucket.blocks.empty()) {
      chunks.push_back(Serialise(bucket, this->impl->blocks));
    }
  }
  return chunks;
}

Result<Configuration>
Configuration::FromChunks(Revision aRevision, const std::vector<std::string>& aChunks)
{
  SnapshotReader reader(aRevision);
  for (const std::string& chunk : aChunks) {
    if (Result<Done> read = reader.Read(chunk); !IsOk(read)) {
      return ErrorOf(read);
    }
  }
  Configuration configuration;
  Impl& impl = *configuration.impl;
  if (Result<Done> stored = reader.Store(impl.kinds, impl.blocks); !IsOk(stored)) {
    return ErrorOf(stored);
  }
  impl.revision = aRevision;
  return configuration;
}

} // namespace plantainhaven
