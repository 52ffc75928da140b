#pragma once

#include <cstddef>
#include <string_view>
#include <variant>
#include <vector>

namespace plantainhaven {

// How the end of a message's body is found.
enum class Framing
{
  kNone,       // There is no body.
  kLength,     // Content-Length bytes follow.
  kChunked,    // Chunks follow.
  kUntilClose, // The body ends with the connection; responses only.
};

// What decides whether a response is one of HTTP/1.1 (RFC 9112), and how its body ends.
struct ResponseFacts
{
  // As in the status line.
  int status = 0;
  bool isHttp10 = false;
  // The request's method is HEAD.
  bool isToHead = false;
  // Number of Content-Length fields.
  std::size_t lengths = 0;
  // Values of the Transfer-Encoding fields.
  std::vector<std::string_view> transferCodings{};
};

// Why a response must not be used.
enum class ResponseFault
{
  kStatus,         // Not between 100 and 599.
  kTransferCoding, // Another one than chunked, a length beside it, or any in HTTP/1.0.
};

// The framing of a response's body, or why the response must not be used.
std::variant<Framing, ResponseFault>
FramingOf(const ResponseFacts& aFacts);

// Whether a response with this status to a request with this method may have a body. The method is
// empty if the request couldn't be read as far as that; it may then be HEAD.
bool
MayHaveBody(int aStatus, std::string_view aMethod);

// Whether a line of the head begins with a blank or a tab, and so continues the field before it.
// HTTP/1.1 has no such lines any more, and two programs may read them differently.
bool
HasFoldedLine(std::string_view aHead);

// How the other end stopped sending, as far as the errors of all reads and writes tell.
enum class ConnectionEnd
{
  kOrderly, // It has sent all that it wanted to send.
  kBroken,  // A reset, a timeout or the like.
};

// Whether the body of a response was received to its end. `aIsComplete`: all that its framing
// promises was received. A body that ends with the connection promises nothing, so there the end of
// the connection decides.
bool
IsWhole(Framing aFraming, bool aIsComplete, ConnectionEnd aEnd);

} // namespace plantainhaven
