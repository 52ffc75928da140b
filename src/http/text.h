#pragma once

#include "plantainhaven/http/message.h"
#include "plantainhaven/policy/response/response_rules.h"

#include <cstdint>
#include <string_view>
#include <variant>

namespace plantainhaven {

// Compares ASCII text without regard to case.
bool
EqualIgnoringCase(std::string_view aLeft, std::string_view aRight);

// True when a header with a comma-separated list, such as Connection, holds a word.
bool
HasToken(const HttpHeaders& aHeaders, std::string_view aName, std::string_view aToken);

struct BodyFrame
{
  Framing framing = Framing::kNone;
  std::uint64_t length = 0;
};

struct RequestHead
{
  HttpRequest request;
  BodyFrame frame;
  // True when the caller asked to close after the answer, also by HTTP/1.0.
  bool close = false;
  bool expectsContinue = false;
};

struct ResponseHead
{
  HttpResponse response;
  BodyFrame frame;
  bool close = false;
};

// The status that answers a request head which can't be served.
struct HeadFault
{
  int status = 400;
};

// Reads a request head, up to and with the blank line. Anything that two programs
// could frame differently is refused: conflicting lengths, Content-Length beside
// Transfer-Encoding, folded lines, blanks before a colon. Values are kept as sent.
std::variant<RequestHead, HeadFault>
ParseRequestHead(std::string_view aHead);

// Reads a response head; `aMethod` is that of the request. False when malformed.
bool
ParseResponseHead(std::string_view aHead, std::string_view aMethod, ResponseHead& aParsed);

// Appends "Name: value" lines. Line breaks within a value become blanks.
void
AppendHeaders(std::string& aText, const HttpHeaders& aHeaders);

} // namespace plantainhaven
