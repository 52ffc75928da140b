#pragma once

#include "plantainhaven/policy/config/configuration.h"
#include "policy/config/block_table.h"
#include "policy/config/field_violation.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace plantainhaven {

constexpr std::string_view kClientBlockKind = "client_block";

using ResourceMap = std::map<std::string, std::shared_ptr<const Resource>, std::less<>>;

// Resources of one kind. Copies of a configuration share the map until one of them changes it.
using SharedResourceMap = std::shared_ptr<const ResourceMap>;

struct Configuration::Impl
{
  Revision revision = 0;
  std::map<std::string, SharedResourceMap, std::less<>> kinds;
  BlockTable blocks;
};

// Builds the client_block resource of a packed block.
Resource
UnpackBlock(const BlockTable& aTable, const PackedBlock& aBlock);

using PackResult = std::variant<BlockEdit, FieldViolation>;

// Converts a client_block resource to an edit that stores it. Returns a violation if the
// CIDR doesn't parse or the resource's name isn't BlockName() of its prefix.
PackResult
PackBlock(const Resource& aResource, Revision aVersion);

// Calls `aVisit` for every client block in order of name.
void
ForEachBlockByName(const BlockTable& aTable, const std::function<void(const PackedBlock&)>& aVisit);

} // namespace plantainhaven
