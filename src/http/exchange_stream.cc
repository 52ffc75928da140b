#include "http/exchange_stream.h"

namespace plantainhaven {

namespace {

constexpr std::size_t kMaxAnswerHead = 65536;
// Chunk sizes and trailers may take this much room beside the answer's body.
constexpr std::uint64_t kFramingAllowance = 1 << 20;
constexpr std::uint64_t kLargestFramingPerByte = 8;
constexpr int kSwitchingProtocols = 101;
constexpr int kFirstFinalStatus = 200;

// The head that cpp-httplib gets to see: only what it needs to read the body.
std::string
FrameHeadText(const BodyFrame& aFrame)
{
  constexpr std::string_view start = "HTTP/1.1 200 OK\r\n";
  switch (aFrame.framing) {
    case Framing::kChunked:
      return std::string(start) + "Transfer-Encoding: chunked\r\n\r\n";
    case Framing::kUntilClose:
      return std::string(start) + "\r\n";
    default:
      return std::string(start) + "Content-Length: " + std::to_string(aFrame.length) + "\r\n\r\n";
  }
}

} // namespace

ExchangeStream::ExchangeStream(int aDescriptor, std::string aMethod, std::size_t aMaxAnswer)
  : SocketStream(aDescriptor)
  , method(std::move(aMethod))
  , maxAnswer(aMaxAnswer)
{
}

ssize_t
ExchangeStream::read(char* aBytes, size_t aSize)
{
  if (!this->hasHead && !this->TakeHead()) {
    return -1;
  }
  return SocketStream::read(aBytes, aSize);
}

bool
ExchangeStream::TakeHead()
{
  if (!this->Flush()) {
    return false;
  }
  std::string text;
  do {
    this->head = {};
    const StreamFault status = this->ReadHead(kMaxAnswerHead, text);
    this->isTooLarge = status == StreamFault::kTooLong;
    if (status != StreamFault::kNone || !ParseResponseHead(text, this->method, this->head)) {
      return false;
    }
  } while (this->head.response.status < kFirstFinalStatus &&
           this->head.response.status != kSwitchingProtocols);
  this->isTooLarge = this->head.frame.length > this->maxAnswer;
  this->hasHead = !this->isTooLarge && this->head.response.status >= kFirstFinalStatus;
  this->Inject(FrameHeadText(this->head.frame));
  this->SetReadBudget(this->maxAnswer * kLargestFramingPerByte + kFramingAllowance);
  return this->hasHead;
}

bool
ExchangeStream::HasWholeAnswer() const
{
  const Framing framing = this->head.frame.framing;
  const bool hasEnded = this->Fault() == StreamFault::kEnd;
  const bool isComplete = !hasEnded || framing == Framing::kUntilClose;
  const bool isOrderly = hasEnded || this->Fault() == StreamFault::kNone;
  return this->hasHead &&
         IsWhole(framing, isComplete, isOrderly ? ConnectionEnd::kOrderly : ConnectionEnd::kBroken);
}

ExchangeFailure
ExchangeStream::FailureOf(bool aExceeded) const
{
  if (this->BytesSent() == 0) {
    return ExchangeFailure::kConnect;
  }
  if (aExceeded || this->isTooLarge || this->Fault() == StreamFault::kTooLong) {
    return ExchangeFailure::kTooLarge;
  }
  if (this->Fault() == StreamFault::kTimeout) {
    return ExchangeFailure::kTimeout;
  }
  const bool endedEarly = this->BytesReceived() > 0 && this->Fault() != StreamFault::kNone;
  return endedEarly ? ExchangeFailure::kTruncated : ExchangeFailure::kBroken;
}

std::string
RequestHeadText(const HttpRequest& aRequest, const HttpClientOptions& aOptions)
{
  HttpHeaders headers = aRequest.headers;
  headers.Remove("Content-Length");
  headers.Remove("Transfer-Encoding");
  std::string text = aRequest.method + ' ' + aRequest.target + " HTTP/1.1\r\n";
  if (headers.CountOf("Host") == 0) {
    text += "Host: " + aOptions.address + ':' + std::to_string(aOptions.port) + "\r\n";
  }
  AppendHeaders(text, headers);
  const bool mayHaveBody = aRequest.method != "GET" && aRequest.method != "HEAD";
  if (mayHaveBody || !aRequest.body.empty()) {
    text += "Content-Length: " + std::to_string(aRequest.body.size()) + "\r\n";
  }
  return text + "\r\n";
}

} // namespace plantainhaven
