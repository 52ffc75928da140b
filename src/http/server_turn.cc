#include "http/server_turn.h"

#include <array>

namespace plantainhaven {

namespace {

constexpr int kNoContent = 204;

struct Reason
{
  int status;
  std::string_view phrase;
};

constexpr std::array kReasons = {
  Reason{ kBadRequest, "Bad Request" },
  Reason{ kStatusRequestTimeout, "Request Timeout" },
  Reason{ kContentTooLarge, "Content Too Large" },
  Reason{ kTargetTooLong, "URI Too Long" },
  Reason{ kHeadersTooLarge, "Request Header Fields Too Large" },
  Reason{ kNotImplemented, "Not Implemented" },
  Reason{ kServiceUnavailable, "Service Unavailable" },
  Reason{ kVersionNotSupported, "HTTP Version Not Supported" },
};

constexpr std::array<std::string_view, 4> kFramingHeaders = { "Content-Length",
                                                              "Transfer-Encoding",
                                                              "Connection",
                                                              "Keep-Alive" };

std::string
PhraseOf(int aStatus)
{
  for (const Reason& reason : kReasons) {
    if (reason.status == aStatus) {
      return std::string(reason.phrase);
    }
  }
  return "Error";
}

bool
IsFramingHeader(std::string_view aName)
{
  for (const std::string_view name : kFramingHeaders) {
    if (EqualIgnoringCase(aName, name)) {
      return true;
    }
  }
  return false;
}

// Adds a piece from the handler's source. False when the answer can't go on.
bool
SendPiece(const HttpBodySource& aSource, Turn& aTurn, httplib::DataSink& aSink)
{
  // What is there goes out first, since the source may wait.
  if (!aTurn.connection.stream.Flush()) {
    return false;
  }
  std::string piece;
  const bool more = aSource(piece, aTurn.isAborted);
  if (aTurn.isAborted) {
    return false;
  }
  if (!piece.empty() && !aSink.write(piece.data(), piece.size())) {
    return false;
  }
  if (!more) {
    aSink.done();
  }
  return true;
}

void
CopyHeaders(const HttpHeaders& aHeaders, bool aIsHead, httplib::Response& aOut)
{
  for (const HttpHeader& field : aHeaders.All()) {
    // An answer to HEAD tells the length that GET would have.
    const bool tellsLength = aIsHead && EqualIgnoringCase(field.name, "Content-Length");
    if (tellsLength || !IsFramingHeader(field.name)) {
      aOut.set_header(field.name, field.value);
    }
  }
}

void
SetSource(HttpBodySource aSource, Turn& aTurn, httplib::Response& aOut)
{
  // set_chunked_content_provider() sets the type; the handler's one must stay single.
  const std::string type = aOut.get_header_value("Content-Type");
  aOut.headers.erase("Content-Type");
  aOut.set_chunked_content_provider(
    type.empty() ? "application/octet-stream" : type,
    [source = std::move(aSource), &aTurn](std::size_t, httplib::DataSink& aSink) {
      return SendPiece(source, aTurn, aSink);
    });
}

} // namespace

std::string
FrameHeadText(const RequestHead& aHead)
{
  const BodyFrame& frame = aHead.frame;
  if (frame.framing == Framing::kChunked) {
    return "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  }
  if (frame.framing == Framing::kLength) {
    return "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(frame.length) + "\r\n\r\n";
  }
  return aHead.request.method == "HEAD" ? "HEAD / HTTP/1.1\r\n\r\n" : "GET / HTTP/1.1\r\n\r\n";
}

void
TranslateAnswer(HttpResponse aAnswer, Turn& aTurn, httplib::Response& aOut)
{
  aOut.status = aAnswer.status;
  CopyHeaders(aAnswer.headers, aTurn.head.request.method == "HEAD", aOut);
  aTurn.hasContentType = aAnswer.headers.CountOf("Content-Type") > 0;
  aTurn.hasAcceptRanges = aAnswer.headers.CountOf("Accept-Ranges") > 0;
  if (aTurn.close) {
    aOut.set_header("Connection", "close");
  }
  if (aAnswer.source) {
    SetSource(std::move(aAnswer.source), aTurn, aOut);
  } else {
    aOut.body = std::move(aAnswer.body);
  }
}

void
DropAddedHeaders(const Turn& aTurn, httplib::Response& aOut)
{
  aOut.headers.erase("Keep-Alive");
  if (!aTurn.hasContentType) {
    aOut.headers.erase("Content-Type");
  }
  if (!aTurn.hasAcceptRanges) {
    aOut.headers.erase("Accept-Ranges");
  }
  if (aOut.status == kNoContent) {
    aOut.headers.erase("Content-Length");
  }
}

std::string
RefusalText(int aStatus, const HttpHeaders& aHeaders)
{
  std::string text = "HTTP/1.1 " + std::to_string(aStatus) + ' ' + PhraseOf(aStatus) +
                     "\r\nContent-Length: 0\r\nConnection: close\r\n";
  AppendHeaders(text, aHeaders);
  return text + "\r\n";
}

} // namespace plantainhaven
