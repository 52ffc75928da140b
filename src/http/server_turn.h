#pragma once

#include "http/server_connection.h"
#include "http/text.h"
#include "plantainhaven/http/message.h"

#include <string>

#include <httplib.h>

namespace plantainhaven {

constexpr int kBadRequest = 400;
constexpr int kStatusRequestTimeout = 408;
constexpr int kContentTooLarge = 413;
constexpr int kTargetTooLong = 414;
constexpr int kHeadersTooLarge = 431;
constexpr int kInternalError = 500;
constexpr int kNotImplemented = 501;
constexpr int kServiceUnavailable = 503;
constexpr int kVersionNotSupported = 505;

// One request on its way through cpp-httplib, and what became of it.
struct Turn
{
  ServerConnection& connection;
  RequestHead head;
  bool close = false;
  bool isAnswered = false;
  bool isAborted = false;
  // Headers that the handler gave and cpp-httplib would add otherwise.
  bool hasContentType = false;
  bool hasAcceptRanges = false;
  // Status of the refusal when the body can't be taken, otherwise 0.
  int refusal = 0;
};

// The head that cpp-httplib gets to see: only what it needs to read the body and to
// know whether an answer has one. It would decode %XX in values, decompress bodies,
// unpack forms and answer ranges if it saw the real head.
std::string
FrameHeadText(const RequestHead& aHead);

// Turns the handler's answer into one of cpp-httplib's. The framing headers are the
// server's own. `aTurn` must live until the answer is written.
void
TranslateAnswer(HttpResponse aAnswer, Turn& aTurn, httplib::Response& aOut);

// Takes away headers that cpp-httplib adds and the handler didn't ask for.
void
DropAddedHeaders(const Turn& aTurn, httplib::Response& aOut);

// Text of an answer that the server gives by itself, which also closes.
std::string
RefusalText(int aStatus, const HttpHeaders& aHeaders);

} // namespace plantainhaven
