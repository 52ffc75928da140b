#pragma once

#include "plantainhaven/common/result.h"
#include "plantainhaven/http/message.h"

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace plantainhaven {

// Returns the client key from the Authorization header, or nullopt without that header.
// Returns kInvalid when there are several such headers or the value isn't "Bearer KEY".
Result<std::optional<std::string>>
ReadCallerKey(const std::vector<HttpHeader>& aHeaders);

// Returns the percent-decoded path of a request target, against which routes are matched.
// Returns kInvalid for a path that two servers may interpret differently: one without a
// leading slash or with bad escapes, control characters, backslashes, encoded slashes or
// dot segments.
Result<std::string>
ReadPath(std::string_view aTarget);

// Returns true for a valid client key.
using KeyPredicate = std::function<bool(std::string_view)>;

// Returns true when the target, a header other than Authorization or the body contains a
// client key, plain or percent-encoded: either `aOwnKey` (may be empty) at any place, or a
// run of exactly 64 hexadecimal digits for which `aIsKey` returns true.
bool
HasKeyOutsideAuthorization(const HttpRequest& aRequest,
                           std::string_view aOwnKey,
                           const KeyPredicate& aIsKey);

// Request metadata that entryd sends to the backend server in headers of its own.
struct ForwardedIdentity
{
  // Empty on an open route, which needs no client key.
  std::string account;
  std::string requestId;
  std::chrono::milliseconds deadline{ 0 };
};

// Returns the headers to send to the backend server: the caller's headers without
// Authorization, account headers, Plantainhaven- headers, hop-by-hop headers and those
// listed in Connection, followed by the headers for `aIdentity`. Returns kInvalid for a
// name that isn't a token or a value with control characters.
Result<std::vector<HttpHeader>>
HeadersForServer(const std::vector<HttpHeader>& aHeaders, const ForwardedIdentity& aIdentity);

// Returns the headers to send to the caller: the backend server's headers without
// hop-by-hop headers, Content-Length and Plantainhaven- headers. Only entryd itself may set
// the latter.
std::vector<HttpHeader>
HeadersForCaller(const std::vector<HttpHeader>& aHeaders);

} // namespace plantainhaven
