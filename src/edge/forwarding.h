#pragma once

#include "edge/caller_body.h"
#include "edge/names.h"

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

// A whole number; nothing when the text isn't one.
std::optional<std::int64_t>
ReadNumber(beast::string_view aText);

// "1.250" for 1250 ms.
std::string
SecondsText(std::chrono::milliseconds aTime);

// Host without its port, in lower case.
std::string
HostOf(beast::string_view aText);

// True for fields that concern one connection only: by their name, or because `aFields`
// name them in Connection.
bool
IsOfConnection(const http::fields& aFields, beast::string_view aName);

// The head that a backend server gets: the caller's, without what concerns its connection
// and without its key, with what the server must know. `aAccount` may be null.
ServerRequestHead
ForwardedHead(const CallerRequest& aRequest,
              const BackendServer& aServer,
              const Account* aAccount,
              std::chrono::milliseconds aLeft);

} // namespace plantainhaven::edge
