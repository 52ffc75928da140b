#pragma once

#include "plantainhaven/common/result.h"
#include "plantainhaven/http/message.h"
#include "plantainhaven/policy/config/configuration.h"

#include <string>
#include <string_view>
#include <vector>

namespace plantainhaven {

// A request whose path is cut into its parts: kind and name as far as the path has
// them.
struct Call
{
  const HttpRequest& request;
  std::string kind;
  std::string name;
};

// Parts of a path between its slashes.
std::vector<std::string>
SplitPath(std::string_view aPath);

// Reads a number without sign; kInvalid names `aField`.
Result<Revision>
ParseRevision(std::string_view aText, const std::string& aField);

// Version demanded by If-Match ("12" or 12) or If-None-Match: *; 0 when neither is
// given.
Result<Revision>
DemandedVersion(const HttpHeaders& aHeaders);

// The caller's change id, or a new one; kInvalid when it is no proper id.
Result<std::string>
ChangeIdOf(const HttpHeaders& aHeaders);

} // namespace plantainhaven
