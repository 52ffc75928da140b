#pragma once

#include "plantainhaven/http/message.h"
#include "plantainhaven/policy/request/refusal.h"

#include <chrono>
#include <string>

namespace plantainhaven {

// What a refusal tells beyond its rule.
struct RefusalDetails
{
  std::string requestId;
  // When the caller may come back, if it is known better than the rule says.
  std::chrono::nanoseconds retryAfter{ 0 };
  // Added to the remedy.
  std::string note = {};
};

// The answer that refuses a request.
HttpResponse
RefusalResponse(RefusalReason aReason, const RefusalDetails& aDetails);

} // namespace plantainhaven
