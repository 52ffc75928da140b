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

// The key that the caller shows. Nothing when there is no Authorization header;
// kInvalid when there are several or the header isn't "Bearer KEY".
Result<std::optional<std::string>>
ReadCallerKey(const std::vector<HttpHeader>& aHeaders);

// The path of a request target, percent-decoded, as routes are matched against it.
// kInvalid for what two readers might understand differently: no leading slash, bad
// escapes, control characters, backslashes, encoded slashes and dot segments.
Result<std::string>
ReadPath(std::string_view aTarget);

// Says whether a word is a client key in force.
using KeyTest = std::function<bool(std::string_view)>;

// Looks for client keys outside the Authorization header: `aOwnKey` (may be empty)
// anywhere in target, headers or body, plain or percent-encoded, and any word of 64
// hexadecimal digits there that `aIsKey` recognises.
bool
HasKeyOutsideAuthorization(const HttpRequest& aRequest,
                           std::string_view aOwnKey,
                           const KeyTest& aIsKey);

// What entryd tells the backend server about a request.
struct ForwardedIdentity
{
  // Empty on an open route.
  std::string account;
  std::string requestId;
  std::chrono::milliseconds deadline{ 0 };
};

// The headers for the backend server: the caller's without Authorization, without
// everything that names an account or begins with Plantainhaven-, without hop-by-hop
// fields and those that Connection names; then the module's own. kInvalid for a name
// that isn't a token or a value with control characters.
Result<std::vector<HttpHeader>>
HeadersForServer(const std::vector<HttpHeader>& aHeaders, const ForwardedIdentity& aIdentity);

// The headers for the caller: the server's without hop-by-hop fields, Content-Length
// and everything that begins with Plantainhaven-, which is the module's to say.
std::vector<HttpHeader>
HeadersForCaller(const std::vector<HttpHeader>& aHeaders);

} // namespace plantainhaven
