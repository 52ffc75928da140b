#include "policy/config/write_view.h"

#include "policy/config/cidr.h"
#include "policy/config/configuration_impl.h"

namespace plantainhaven {

namespace {

// Number of names that a message lists before it only counts the others.
constexpr std::size_t kMaxNamesShown = 8;

ResourceKey
KeyOf(std::string_view aKind, std::string_view aName)
{
  return { std::string(aKind), std::string(aName) };
}

} // namespace

WriteView::WriteView(const Configuration& aConfiguration, const ApplyRequest& aWrite)
  : configuration(aConfiguration)
{
  for (const Resource& resource : aWrite.resources()) {
    this->puts[KeyOf(KindOf(resource), resource.name())] = &resource;
  }
  for (const ResourceId& id : aWrite.deletes()) {
    this->deletes.insert(KeyOf(id.kind(), id.name()));
  }
}

bool
WriteView::IsReplaced(std::string_view aKind, std::string_view aName) const
{
  const ResourceKey key = KeyOf(aKind, aName);
  return this->puts.count(key) != 0 || this->deletes.count(key) != 0;
}

bool
WriteView::Exists(std::string_view aKind, std::string_view aName) const
{
  if (this->IsReplaced(aKind, aName)) {
    return this->puts.count(KeyOf(aKind, aName)) != 0;
  }
  return IsOk(this->configuration.Get(aKind, aName));
}

const Resource*
WriteView::Find(std::string_view aKind, std::string_view aName) const
{
  const auto put = this->puts.find(KeyOf(aKind, aName));
  if (put != this->puts.end()) {
    return put->second;
  }
  const bool deleted = this->deletes.count(KeyOf(aKind, aName)) != 0;
  return deleted ? nullptr : this->configuration.Find(aKind, aName);
}

void
WriteView::ForEach(std::string_view aKind, const std::function<void(const Resource&)>& aVisit) const
{
  for (auto put = this->puts.lower_bound(KeyOf(aKind, {}));
       put != this->puts.end() && put->first.kind == aKind;
       ++put) {
    aVisit(*put->second);
  }
  if (aKind == kClientBlockKind) {
    return;
  }
  this->configuration.ForEach(aKind, [&](const Resource& aResource) {
    if (!this->IsReplaced(aKind, aResource.name())) {
      aVisit(aResource);
    }
  });
}

std::string
WriteView::BlockInRegion(std::string_view aRegion) const
{
  std::string found;
  this->ForEach(kClientBlockKind, [&](const Resource& aPut) {
    if (aPut.client_block().region() == aRegion) {
      found = aPut.name();
    }
  });
  this->configuration.ForEachBlock(
    [&](std::uint32_t aAddress, std::uint8_t aLength, std::string_view aOther) {
      if (!found.empty() || aOther != aRegion) {
        return;
      }
      const std::string name = BlockName({ aAddress, aLength });
      found = this->IsReplaced(kClientBlockKind, name) ? std::string{} : name;
    });
  return found;
}

std::string
WriteView::NamesOf(std::string_view aKind) const
{
  std::set<std::string> names;
  this->ForEach(aKind, [&](const Resource& aResource) { names.insert(aResource.name()); });
  std::string text;
  std::size_t shown = 0;
  for (const std::string& name : names) {
    if (shown == kMaxNamesShown) {
      return text + " and " + std::to_string(names.size() - shown) + " more";
    }
    text += (shown == 0 ? "" : ", ") + name;
    ++shown;
  }
  return names.empty() ? "none" : text;
}

} // namespace plantainhaven
