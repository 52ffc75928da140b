#include "plantainhaven/policy/config/configuration.h"

#include "policy/config/cidr.h"
#include "policy/config/configuration_impl.h"

#include <algorithm>
#include <utility>

namespace plantainhaven {

namespace {

Error
NotFound(std::string_view aKind, std::string_view aName)
{
  return { ErrorKind::kNotFound,
           std::string(aKind) + " \"" + std::string(aName) + "\" doesn't exist",
           "list the kind to see the names that exist" };
}

// Collects the edits of a change by kind. Nothing is applied until all of them are valid.
class ChangeBuilder
{
public:
  explicit ChangeBuilder(Revision aRevision)
    : revision(aRevision)
  {
  }

  Result<Done> Put(const Resource& aResource)
  {
    const std::string kind = StoredKindOf(aResource);
    if (kind.empty() || aResource.name().empty()) {
      return InvalidRecord("resource \"" + aResource.name() + "\" lacks its kind or its name");
    }
    if (kind == kClientBlockKind) {
      return this->PutBlock(aResource);
    }
    auto stored = std::make_shared<Resource>(aResource);
    stored->set_version(this->revision);
    this->resources[kind][aResource.name()] = std::move(stored);
    return Done{};
  }

  Result<Done> Delete(const ResourceId& aId)
  {
    if (aId.kind().empty()) {
      return InvalidRecord("a deletion of \"" + aId.name() + "\" lacks its kind");
    }
    if (aId.kind() != kClientBlockKind) {
      this->resources[aId.kind()][aId.name()] = nullptr;
      return Done{};
    }
    if (const std::optional<Ipv4Prefix> prefix = PrefixOfBlockName(aId.name())) {
      this->blocks.push_back({ *prefix, {}, this->revision, true });
    }
    return Done{};
  }

  // Applies the collected edits; a null resource is a deletion.
  void Commit(std::map<std::string, SharedResourceMap, std::less<>>& aKinds, BlockTable& aBlocks)
  {
    for (auto& [kind, edits] : this->resources) {
      SharedResourceMap& stored = aKinds[kind];
      auto changed =
        stored ? std::make_shared<ResourceMap>(*stored) : std::make_shared<ResourceMap>();
      for (auto& [name, resource] : edits) {
        changed->erase(name);
        if (resource) {
          changed->emplace(name, std::move(resource));
        }
      }
      stored = std::move(changed);
    }
    aBlocks.Edit(std::move(this->blocks));
  }

private:
  static Error InvalidRecord(std::string aMessage)
  {
    return { ErrorKind::kInvalid,
             "change record: " + std::move(aMessage),
             "validate a write before it is committed" };
  }

  Result<Done> PutBlock(const Resource& aResource)
  {
    PackResult edit = PackBlock(aResource, this->revision);
    if (const auto* violation = std::get_if<FieldViolation>(&edit)) {
      return InvalidResource(aResource, *violation);
    }
    this->blocks.push_back(std::get<BlockEdit>(std::move(edit)));
    return Done{};
  }

  Revision revision;
  std::map<std::string, ResourceMap> resources;
  std::vector<BlockEdit> blocks;
};

Result<Done>
CollectEdits(const ChangeRecord& aChange, ChangeBuilder& aBuilder)
{
  for (const Resource& resource : aChange.puts()) {
    if (Result<Done> put = aBuilder.Put(resource); !IsOk(put)) {
      return put;
    }
  }
  for (const ResourceId& id : aChange.deletes()) {
    if (Result<Done> deleted = aBuilder.Delete(id); !IsOk(deleted)) {
      return deleted;
    }
  }
  return Done{};
}

} // namespace

Configuration::Configuration()
  : impl(std::make_unique<Impl>())
{
}

Configuration::~Configuration() = default;

Configuration::Configuration(const Configuration& aOther)
  : impl(std::make_unique<Impl>(*aOther.impl))
{
}

// Leaves the source empty but usable.
Configuration::Configuration(Configuration&& aOther) noexcept
  : impl(std::exchange(aOther.impl, std::make_unique<Impl>()))
{
}

Configuration&
Configuration::operator=(const Configuration& aOther)
{
  if (this != &aOther) {
    *this->impl = *aOther.impl;
  }
  return *this;
}

Configuration&
Configuration::operator=(Configuration&& aOther) noexcept
{
  std::swap(this->impl, aOther.impl);
  return *this;
}

Revision
Configuration::AppliedRevision() const
{
  return this->impl->revision;
}

const Resource*
Configuration::Find(std::string_view aKind, std::string_view aName) const
{
  const auto kind = this->impl->kinds.find(aKind);
  if (kind == this->impl->kinds.end()) {
    return nullptr;
  }
  const auto found = kind->second->find(aName);
  return found == kind->second->end() ? nullptr : found->second.get();
}

Result<Resource>
Configuration::Get(std::string_view aKind, std::string_view aName) const
{
  if (aKind != kClientBlockKind) {
    const Resource* found = this->Find(aKind, aName);
    return found == nullptr ? Result<Resource>(NotFound(aKind, aName)) : Result<Resource>(*found);
  }
  const std::optional<Ipv4Prefix> prefix = PrefixOfBlockName(aName);
  const PackedBlock* block = prefix ? this->impl->blocks.Find(*prefix) : nullptr;
  if (block == nullptr) {
    return NotFound(aKind, aName);
  }
  return UnpackBlock(this->impl->blocks, *block);
}

void
Configuration::ForEach(std::string_view aKind,
                       const std::function<void(const Resource&)>& aVisit) const
{
  if (aKind == kClientBlockKind) {
    const BlockTable& blocks = this->impl->blocks;
    ForEachBlockByName(blocks,
                       [&](const PackedBlock& aBlock) { aVisit(UnpackBlock(blocks, aBlock)); });
    return;
  }
  const auto kind = this->impl->kinds.find(aKind);
  if (kind == this->impl->kinds.end()) {
    return;
  }
  for (const auto& [name, resource] : *kind->second) {
    aVisit(*resource);
  }
}

void
Configuration::ForEachBlock(const BlockVisitor& aVisit) const
{
  const BlockTable& blocks = this->impl->blocks;
  blocks.ForEach([&](const PackedBlock& aBlock) {
    aVisit(aBlock.address, static_cast<std::uint8_t>(aBlock.length), blocks.RegionOf(aBlock));
  });
}

std::size_t
Configuration::Count(std::string_view aKind) const
{
  if (aKind == kClientBlockKind) {
    return this->impl->blocks.Size();
  }
  const auto kind = this->impl->kinds.find(aKind);
  return kind == this->impl->kinds.end() ? 0 : kind->second->size();
}

Result<Done>
Configuration::Apply(const ChangeRecord& aChange)
{
  const Revision expected = this->impl->revision + 1;
  if (aChange.revision() != expected) {
    return Error{ ErrorKind::kConflict,
                  "change has revision " + std::to_string(aChange.revision()) + ", expected " +
                    std::to_string(expected),
                  "apply changes in order without gaps, or load a newer snapshot" };
  }
  ChangeBuilder builder(aChange.revision());
  if (Result<Done> collected = CollectEdits(aChange, builder); !IsOk(collected)) {
    return collected;
  }
  builder.Commit(this->impl->kinds, this->impl->blocks);
  this->impl->revision = aChange.revision();
  return Done{};
}

} // namespace plantainhaven
