#pragma once

#include "edge/caller_body.h"
#include "edge/names.h"
#include "plantainhaven/policy/placing/crash_ledger.h"

#include <boost/beast/http.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace plantainhaven::edge {

using ServerRequestHead = http::request_header<http::fields>;

inline std::string_view
ToStd(beast::string_view aText)
{
  return { aText.data(), aText.size() };
}

// Parses a decimal integer; std::nullopt when the text isn't exactly one integer.
std::optional<std::int64_t>
ParseInteger(beast::string_view aText);

// Formats seconds with three decimals, such as "1.250" for 1250 ms.
std::string
FormatSeconds(std::chrono::milliseconds aTime);

// The host name of a Host field in lower case, without its port.
std::string
NormalizeHost(beast::string_view aText);

// True for hop-by-hop fields: the standard ones, and those that the Connection field of `aFields`
// lists.
bool
IsHopByHop(const http::fields& aFields, beast::string_view aName);

// Field of a relaying VM's response that states how the attempt at the backend server ended.
inline constexpr const char* kRelayOutcomeField = "Plantainhaven-Relay-Outcome";

// Builds the request head for a backend server: the caller's fields without hop-by-hop fields and
// without its key, plus the deadline, the target server and the account. `aLeft` is the time until
// the deadline. `aAccount` may be null.
ServerRequestHead
ForwardedHead(const CallerRequest& aRequest,
              const BackendServer& aServer,
              const Account* aAccount,
              std::chrono::milliseconds aLeft);

// The digest of what makes two requests the same; the id and the deadline don't. `aAccount` is the
// account's name, and `aBody` the first part of the body.
placing::RequestDigest
DigestOf(const CallerRequest& aRequest, std::string_view aAccount, std::string_view aBody);

// Builds the request head for a backend server from a request that another VM relays through this
// one, which is such a head already.
ServerRequestHead
RelayedHead(const CallerRequest& aRequest, std::chrono::milliseconds aLeft);

} // namespace plantainhaven::edge
