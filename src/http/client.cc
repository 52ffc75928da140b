#include "plantainhaven/http/client.h"

#include "http/socket_stream.h"
#include "http/text.h"

#include <array>
#include <mutex>
#include <optional>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace plantainhaven {

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::size_t kMaxAnswerHead = 65536;
// Chunk sizes and trailers may take this much room beside the answer's body.
constexpr std::uint64_t kFramingAllowance = 1 << 20;
constexpr int kSwitchingProtocols = 101;
constexpr int kFirstFinalStatus = 200;

constexpr std::array kFailureNames = { "connect", "timeout", "broken", "truncated", "too_large" };

// Lends cpp-httplib's writing of requests and reading of bodies to a stream of ours.
class Codec : public httplib::ClientImpl
{
public:
  explicit Codec(const HttpClientOptions& aOptions)
    : httplib::ClientImpl(aOptions.address, aOptions.port)
  {
    this->set_keep_alive(true);
    this->set_follow_location(false);
    this->set_decompress(false);
    this->set_url_encode(false);
  }

  bool Run(httplib::Stream& aStream, httplib::Request& aRequest, httplib::Response& aResponse)
  {
    auto error = httplib::Error::Success;
    return this->process_request(aStream, aRequest, aResponse, false, error);
  }
};

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

// The stream of one exchange. cpp-httplib writes the request into it, then reads the
// answer; before its first read the request is sent and the answer's head is taken.
class ExchangeStream : public SocketStream
{
public:
  ExchangeStream(int aDescriptor, std::string aMethod, std::size_t aMaxAnswer)
    : SocketStream(aDescriptor)
    , method(std::move(aMethod))
    , maxAnswer(aMaxAnswer)
  {
  }

  ssize_t read(char* aBytes, size_t aSize) override
  {
    if (!this->hasHead && !this->TakeHead()) {
      return -1;
    }
    return SocketStream::read(aBytes, aSize);
  }
  using SocketStream::write;

  ResponseHead head;
  bool hasHead = false;
  bool isTooLarge = false;

private:
  bool TakeHead()
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
    // A chunk of one byte takes five bytes of framing.
    this->SetReadBudget(this->maxAnswer * 6 + kFramingAllowance);
    return this->hasHead;
  }

  std::string method;
  std::size_t maxAnswer;
};

std::optional<sockaddr_in>
ParseAddress(const HttpClientOptions& aOptions)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aOptions.port);
  if (::inet_pton(AF_INET, aOptions.address.c_str(), &address.sin_addr) != 1) {
    return std::nullopt;
  }
  return address;
}

int
StartConnect(const sockaddr_in& aAddress)
{
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor < 0) {
    return -1;
  }
  const int on = 1;
  ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  const auto* generic = reinterpret_cast<const sockaddr*>(&aAddress);
  if (::connect(descriptor, generic, sizeof(aAddress)) != 0 && errno != EINPROGRESS) {
    ::close(descriptor);
    return -1;
  }
  return descriptor;
}

bool
FinishConnect(int aDescriptor, std::chrono::milliseconds aLongest)
{
  const auto until = Clock::now() + aLongest;
  pollfd entry{ aDescriptor, POLLOUT, 0 };
  int ready = 0;
  do {
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(until - Clock::now());
    ready = ::poll(&entry, 1, static_cast<int>(std::max<std::int64_t>(left.count(), 0)));
  } while (ready < 0 && errno == EINTR);
  int fault = 0;
  socklen_t size = sizeof(fault);
  return ready > 0 && (entry.revents & POLLHUP) == 0 &&
         ::getsockopt(aDescriptor, SOL_SOCKET, SO_ERROR, &fault, &size) == 0 && fault == 0;
}

bool
IsQuiet(int aDescriptor)
{
  pollfd entry{ aDescriptor, POLLIN | POLLRDHUP, 0 };
  return ::poll(&entry, 1, 0) == 0;
}

ExchangeFailure
FailureOf(const ExchangeStream& aStream, bool aExceeded)
{
  if (aStream.BytesSent() == 0) {
    return ExchangeFailure::kConnect;
  }
  if (aExceeded || aStream.isTooLarge || aStream.Fault() == StreamFault::kTooLong) {
    return ExchangeFailure::kTooLarge;
  }
  if (aStream.Fault() == StreamFault::kTimeout) {
    return ExchangeFailure::kTimeout;
  }
  const bool endedEarly = aStream.BytesReceived() > 0 && aStream.Fault() != StreamFault::kNone;
  return endedEarly ? ExchangeFailure::kTruncated : ExchangeFailure::kBroken;
}

} // namespace

const char*
ToString(ExchangeFailure aFailure) noexcept
{
  const auto index = static_cast<std::size_t>(aFailure);
  return index < kFailureNames.size() ? kFailureNames[index] : "broken";
}

struct HttpConnection::Impl
{
  explicit Impl(HttpClientOptions aOptions)
    : options(std::move(aOptions))
    , codec(this->options)
  {
  }

  bool Open(std::chrono::milliseconds aLongest)
  {
    this->CloseOwn();
    const auto address = ParseAddress(this->options);
    const int fresh = address ? StartConnect(*address) : -1;
    if (fresh < 0) {
      return false;
    }
    {
      const std::lock_guard guard(this->mutex);
      this->descriptor = fresh;
      this->isBusy = true;
    }
    const bool connected = FinishConnect(fresh, std::min(aLongest, this->options.connect_timeout));
    const bool kept = this->EndUse() && connected;
    if (!kept) {
      this->CloseOwn();
    }
    return kept;
  }

  // Marks the descriptor as in use, so that Cancel() only shuts it down. Returns it.
  int BeginUse()
  {
    const std::lock_guard guard(this->mutex);
    this->isBusy = this->descriptor >= 0;
    return this->descriptor;
  }

  // False when Cancel() came meanwhile.
  bool EndUse()
  {
    const std::lock_guard guard(this->mutex);
    this->isBusy = false;
    return !std::exchange(this->isCancelled, false);
  }

  void CloseOwn()
  {
    const std::lock_guard guard(this->mutex);
    this->CloseLocked();
  }

  void Cancel()
  {
    const std::lock_guard guard(this->mutex);
    if (this->isBusy) {
      this->isCancelled = true;
      ::shutdown(this->descriptor, SHUT_RDWR);
    } else {
      this->CloseLocked();
    }
  }

  bool IsOpen() const
  {
    const std::lock_guard guard(this->mutex);
    return this->descriptor >= 0 && !this->isCancelled && IsQuiet(this->descriptor);
  }

  std::variant<HttpResponse, ExchangeFailure> Run(int aDescriptor,
                                                  const HttpRequest& aRequest,
                                                  Clock::time_point aDeadline,
                                                  bool& aKeep)
  {
    ExchangeStream stream(aDescriptor, aRequest.method, this->options.max_answer);
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(aDeadline - Clock::now());
    stream.SetTimes({ std::max(left, std::chrono::milliseconds(1)), aDeadline });
    stream.ReplaceNextWrite(RequestHeadText(aRequest, this->options));
    bool exceeded = false;
    std::string body;
    httplib::Request request = this->Translate(aRequest, body, exceeded);
    httplib::Response response;
    const bool whole = this->codec.Run(stream, request, response);
    const bool endedInFrame =
      stream.Fault() == StreamFault::kEnd && stream.head.frame.framing != Framing::kUntilClose;
    if (!whole || !stream.hasHead || endedInFrame) {
      return FailureOf(stream, exceeded);
    }
    aKeep = !stream.head.close && !stream.HasInput();
    HttpResponse answer = std::move(stream.head.response);
    answer.close = !aKeep;
    answer.body = std::move(body);
    return answer;
  }

  httplib::Request Translate(const HttpRequest& aRequest, std::string& aBody, bool& aExceeded) const
  {
    httplib::Request request;
    request.method = aRequest.method;
    request.path = aRequest.target;
    request.body = aRequest.body;
    request.content_receiver =
      [this, &aBody, &aExceeded](const char* aBytes, std::size_t aSize, auto, auto) {
        aExceeded = aBody.size() + aSize > this->options.max_answer;
        if (!aExceeded) {
          aBody.append(aBytes, aSize);
        }
        return !aExceeded;
      };
    return request;
  }

  HttpClientOptions options;
  Codec codec;
  mutable std::mutex mutex;
  int descriptor = -1;
  bool isBusy = false;
  bool isCancelled = false;

private:
  void CloseLocked()
  {
    if (this->descriptor >= 0) {
      ::close(this->descriptor);
    }
    this->descriptor = -1;
    this->isCancelled = false;
  }
};

HttpConnection::HttpConnection(HttpClientOptions aOptions)
  : impl(std::make_unique<Impl>(std::move(aOptions)))
{
}

HttpConnection::~HttpConnection()
{
  this->impl->CloseOwn();
}

bool
HttpConnection::Connect()
{
  return this->impl->IsOpen() || this->impl->Open(this->impl->options.connect_timeout);
}

bool
HttpConnection::IsOpen() const
{
  return this->impl->IsOpen();
}

std::variant<HttpResponse, ExchangeFailure>
HttpConnection::Exchange(const HttpRequest& aRequest, std::chrono::milliseconds aTimeout)
{
  const auto deadline = Clock::now() + aTimeout;
  if (!this->impl->IsOpen() && !this->impl->Open(aTimeout)) {
    return ExchangeFailure::kConnect;
  }
  const int descriptor = this->impl->BeginUse();
  if (descriptor < 0) {
    return ExchangeFailure::kConnect;
  }
  bool keep = false;
  auto result = this->impl->Run(descriptor, aRequest, deadline, keep);
  if (!this->impl->EndUse() || !keep) {
    this->impl->CloseOwn();
  }
  return result;
}

void
HttpConnection::Close()
{
  this->impl->Cancel();
}

} // namespace plantainhaven
