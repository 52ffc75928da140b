#include "http/text.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace plantainhaven {

namespace {

constexpr std::size_t kMaxHeaders = 128;
constexpr std::size_t kMaxTarget = 8000;
constexpr std::string_view kLineEnd = "\r\n";
constexpr int kBadRequest = 400;
constexpr int kTargetTooLong = 414;
constexpr int kHeadersTooLarge = 431;
constexpr int kNotImplemented = 501;
constexpr int kVersionNotSupported = 505;

constexpr std::array<std::string_view, 7> kMethods = { "GET",   "HEAD",   "POST",   "PUT",
                                                       "PATCH", "DELETE", "OPTIONS" };

char
Lower(char aLetter)
{
  return aLetter >= 'A' && aLetter <= 'Z' ? static_cast<char>(aLetter - 'A' + 'a') : aLetter;
}

bool
IsTokenLetter(char aLetter)
{
  constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
  const char lower = Lower(aLetter);
  return (lower >= 'a' && lower <= 'z') || (lower >= '0' && lower <= '9') ||
         marks.find(lower) != std::string_view::npos;
}

bool
IsToken(std::string_view aText)
{
  return !aText.empty() && std::all_of(aText.begin(), aText.end(), IsTokenLetter);
}

bool
HasControls(std::string_view aText)
{
  constexpr unsigned char firstPrintable = 0x20;
  constexpr unsigned char erase = 0x7F;
  return std::any_of(aText.begin(), aText.end(), [](char aLetter) {
    const auto code = static_cast<unsigned char>(aLetter);
    return (code < firstPrintable && aLetter != '\t') || code == erase;
  });
}

std::string_view
TrimBlanks(std::string_view aText)
{
  const std::size_t first = aText.find_first_not_of(" \t");
  if (first == std::string_view::npos) {
    return {};
  }
  return aText.substr(first, aText.find_last_not_of(" \t") - first + 1);
}

// Takes the next line off the head, without its end.
std::string_view
TakeLine(std::string_view& aRest)
{
  const std::size_t end = std::min(aRest.find(kLineEnd), aRest.size());
  const std::string_view line = aRest.substr(0, end);
  aRest.remove_prefix(std::min(end + kLineEnd.size(), aRest.size()));
  return line;
}

// Returns 0, or the status that refuses the headers.
int
ParseHeaders(std::string_view aRest, HttpHeaders& aHeaders)
{
  while (!aRest.empty()) {
    const std::string_view line = TakeLine(aRest);
    if (line.empty()) {
      return 0;
    }
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos || !IsToken(line.substr(0, colon))) {
      return kBadRequest;
    }
    const std::string_view value = TrimBlanks(line.substr(colon + 1));
    if (HasControls(value)) {
      return kBadRequest;
    }
    if (aHeaders.All().size() == kMaxHeaders) {
      return kHeadersTooLarge;
    }
    aHeaders.Add(std::string(line.substr(0, colon)), std::string(value));
  }
  return 0;
}

bool
ParseLength(std::string_view aText, std::uint64_t& aLength)
{
  const char* end = aText.data() + aText.size();
  const bool startsWithDigit = !aText.empty() && aText.front() >= '0' && aText.front() <= '9';
  return startsWithDigit && std::from_chars(aText.data(), end, aLength).ptr == end &&
         std::from_chars(aText.data(), end, aLength).ec == std::errc{};
}

// Reads the only Content-Length field.
bool
ParseLengthField(const HttpHeaders& aHeaders, BodyFrame& aFrame)
{
  if (aHeaders.CountOf("Content-Length") > 1 ||
      !ParseLength(aHeaders.Get("Content-Length"), aFrame.length)) {
    return false;
  }
  aFrame.framing = aFrame.length == 0 ? Framing::kNone : Framing::kLength;
  return true;
}

// Finds the frame of a request's body in Content-Length and Transfer-Encoding.
int
ParseFrame(const HttpHeaders& aHeaders, BodyFrame& aFrame)
{
  const std::size_t lengths = aHeaders.CountOf("Content-Length");
  const std::size_t encodings = aHeaders.CountOf("Transfer-Encoding");
  if (encodings > 0) {
    if (lengths > 0 || encodings > 1) {
      return kBadRequest;
    }
    aFrame.framing = Framing::kChunked;
    const bool isChunked = EqualIgnoringCase(aHeaders.Get("Transfer-Encoding"), "chunked");
    return isChunked ? 0 : kNotImplemented;
  }
  return lengths == 0 || ParseLengthField(aHeaders, aFrame) ? 0 : kBadRequest;
}

int
ParseRequestLine(std::string_view aLine, HttpRequest& aRequest, std::string_view& aVersion)
{
  const std::size_t first = aLine.find(' ');
  const std::size_t last = aLine.rfind(' ');
  if (first == std::string_view::npos || first == last || !IsToken(aLine.substr(0, first))) {
    return kBadRequest;
  }
  aRequest.method = aLine.substr(0, first);
  aRequest.target = aLine.substr(first + 1, last - first - 1);
  aVersion = aLine.substr(last + 1);
  if (std::find(kMethods.begin(), kMethods.end(), aRequest.method) == kMethods.end()) {
    return kNotImplemented;
  }
  if (aRequest.target.size() > kMaxTarget) {
    return kTargetTooLong;
  }
  if (aRequest.target.front() != '/' || HasControls(aRequest.target) ||
      aRequest.target.find_first_of(" \t") != std::string::npos) {
    return kBadRequest;
  }
  aRequest.path = aRequest.target.substr(0, aRequest.target.find('?'));
  return aVersion == "HTTP/1.1" || aVersion == "HTTP/1.0" ? 0 : kVersionNotSupported;
}

bool
AsksToClose(const HttpHeaders& aHeaders, std::string_view aVersion)
{
  return HasToken(aHeaders, "Connection", "close") ||
         (aVersion == "HTTP/1.0" && !HasToken(aHeaders, "Connection", "keep-alive"));
}

// Reads what follows the version in a status line.
bool
ParseStatus(std::string_view aRest, int& aStatus)
{
  constexpr std::size_t digits = 3;
  if (aRest.size() < 1 + digits || (aRest.size() > 1 + digits && aRest[1 + digits] != ' ')) {
    return false;
  }
  const char* const first = aRest.data() + 1;
  return std::from_chars(first, first + digits, aStatus).ptr == first + digits;
}

ResponseFacts
FactsOf(const HttpResponse& aResponse, std::string_view aVersion, std::string_view aMethod)
{
  ResponseFacts facts{ .status = aResponse.status,
                       .isHttp10 = aVersion == "HTTP/1.0",
                       .isToHead = aMethod == "HEAD",
                       .lengths = aResponse.headers.CountOf("Content-Length") };
  for (const HttpHeader& field : aResponse.headers.All()) {
    if (EqualIgnoringCase(field.name, "Transfer-Encoding")) {
      facts.transferCodings.emplace_back(field.value);
    }
  }
  return facts;
}

} // namespace

bool
EqualIgnoringCase(std::string_view aLeft, std::string_view aRight)
{
  return std::equal(
    aLeft.begin(), aLeft.end(), aRight.begin(), aRight.end(), [](char aOne, char aOther) {
      return Lower(aOne) == Lower(aOther);
    });
}

bool
HasToken(const HttpHeaders& aHeaders, std::string_view aName, std::string_view aToken)
{
  for (const HttpHeader& field : aHeaders.All()) {
    std::string_view rest = field.value;
    while (EqualIgnoringCase(field.name, aName) && !rest.empty()) {
      const std::size_t end = std::min(rest.find(','), rest.size());
      if (EqualIgnoringCase(TrimBlanks(rest.substr(0, end)), aToken)) {
        return true;
      }
      rest.remove_prefix(std::min(end + 1, rest.size()));
    }
  }
  return false;
}

std::variant<RequestHead, HeadFault>
ParseRequestHead(std::string_view aHead)
{
  RequestHead head;
  std::string_view rest = aHead;
  std::string_view version;
  if (const int fault = ParseRequestLine(TakeLine(rest), head.request, version); fault != 0) {
    return HeadFault{ fault };
  }
  if (const int fault = ParseHeaders(rest, head.request.headers); fault != 0) {
    return HeadFault{ fault };
  }
  if (const int fault = ParseFrame(head.request.headers, head.frame); fault != 0) {
    return HeadFault{ fault };
  }
  if (head.request.headers.CountOf("Host") > 1) {
    return HeadFault{ kBadRequest };
  }
  head.close = AsksToClose(head.request.headers, version);
  head.expectsContinue = EqualIgnoringCase(head.request.headers.Get("Expect"), "100-continue");
  return head;
}

bool
ParseResponseHead(std::string_view aHead, std::string_view aMethod, ResponseHead& aParsed)
{
  std::string_view rest = aHead;
  const std::string_view line = TakeLine(rest);
  const std::string_view version = line.substr(0, std::min(line.find(' '), line.size()));
  HttpHeaders& headers = aParsed.response.headers;
  if ((version != "HTTP/1.1" && version != "HTTP/1.0") ||
      !ParseStatus(line.substr(version.size()), aParsed.response.status) ||
      ParseHeaders(rest, headers) != 0) {
    return false;
  }
  const auto framing = FramingOf(FactsOf(aParsed.response, version, aMethod));
  if (std::holds_alternative<ResponseFault>(framing)) {
    return false;
  }
  // A response without a body may state the length that it would have.
  BodyFrame stated;
  if (headers.CountOf("Content-Length") > 0 && !ParseLengthField(headers, stated)) {
    return false;
  }
  aParsed.frame.framing = std::get<Framing>(framing);
  if (aParsed.frame.framing == Framing::kLength) {
    aParsed.frame = stated;
  }
  aParsed.close = AsksToClose(headers, version) || aParsed.frame.framing == Framing::kUntilClose;
  return true;
}

void
AppendHeaders(std::string& aText, const HttpHeaders& aHeaders)
{
  for (const HttpHeader& field : aHeaders.All()) {
    if (!IsToken(field.name)) {
      continue;
    }
    aText += field.name;
    aText += ": ";
    for (const char letter : field.value) {
      aText += letter == '\r' || letter == '\n' || letter == '\0' ? ' ' : letter;
    }
    aText += kLineEnd;
  }
}

} // namespace plantainhaven
