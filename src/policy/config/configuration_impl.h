#pragma once

#include "plantainhaven/policy/config/configuration.h"
#include "policy/config/block_table.h"
#include "policy/config/faults.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace plantainhaven {

constexpr std::string_view kClientBlockKind = "client_block";

using ResourceMap = std::map<std::string, std::shared_ptr<const Resource>, std::less<>>;

// Resources of one kind; copies of a configuration share the map until one changes.
using SharedResourceMap = std::shared_ptr<const ResourceMap>;

struct Configuration::Impl
{
  Revision revision = 0;
  std::map<std::string, SharedResourceMap, std::less<>> kinds;
  BlockTable blocks;
};

// The client_block resource that a packed block stands for.
Resource
UnpackBlock(const BlockTable& aTable, const PackedBlock& aBlock);

using PackResult = std::variant<BlockEdit, FieldViolation>;

// The edit that stores a client_block resource; a fault when its CIDR doesn't parse
// or its name isn't the one that the CIDR demands.
PackResult
PackBlock(const Resource& aResource, Revision aVersion);

// Calls `aVisit` for every client block in order of name.
void
ForEachBlockByName(const BlockTable& aTable, const std::function<void(const PackedBlock&)>& aVisit);

} // namespace plantainhaven
