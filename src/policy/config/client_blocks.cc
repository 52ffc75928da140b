#include "policy/config/configuration_impl.h"

#include <algorithm>

namespace plantainhaven {

namespace {

struct NamedBlock
{
  std::string name;
  const PackedBlock* block = nullptr;
};

} // namespace

Resource
UnpackBlock(const BlockTable& aTable, const PackedBlock& aBlock)
{
  Resource resource;
  resource.set_name(BlockName(aBlock.Prefix()));
  resource.set_version(aBlock.version);
  resource.mutable_client_block()->set_cidr(FormatCidr(aBlock.Prefix()));
  resource.mutable_client_block()->set_region(aTable.RegionOf(aBlock));
  return resource;
}

PackResult
PackBlock(const Resource& aResource, Revision aVersion)
{
  const ClientBlock& block = aResource.client_block();
  const std::variant<Ipv4Prefix, FieldViolation> parsed = ParseCidr(block.cidr());
  if (const auto* violation = std::get_if<FieldViolation>(&parsed)) {
    FieldViolation named = *violation;
    named.field = "client_block.cidr";
    return named;
  }
  const Ipv4Prefix prefix = std::get<Ipv4Prefix>(parsed);
  const std::string name = BlockName(prefix);
  if (aResource.name() != name) {
    return FieldViolation{ "name",
                           Quote(aResource.name()),
                           Quote(name),
                           "name the block after its CIDR, with _ in place of /" };
  }
  return BlockEdit{ prefix, block.region(), aVersion, false };
}

void
ForEachBlockByName(const BlockTable& aTable, const std::function<void(const PackedBlock&)>& aVisit)
{
  std::vector<NamedBlock> named;
  named.reserve(aTable.Size());
  aTable.ForEach([&](const PackedBlock& aBlock) {
    named.push_back({ BlockName(aBlock.Prefix()), &aBlock });
  });
  std::sort(named.begin(), named.end(), [](const NamedBlock& aLeft, const NamedBlock& aRight) {
    return aLeft.name < aRight.name;
  });
  for (const NamedBlock& entry : named) {
    aVisit(*entry.block);
  }
}

} // namespace plantainhaven
