#include "plantainhaven/http/client.h"

#include "http/client_socket.h"
#include "http/exchange_stream.h"

#include <array>
#include <mutex>

#include <sys/socket.h>
#include <unistd.h>

namespace plantainhaven {

namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

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

  // From here to EndUse() a Cancel() only shuts the socket down.
  void BeginUse()
  {
    const std::lock_guard guard(this->mutex);
    this->isBusy = true;
    this->isCancelled = false;
  }

  // Closes the connection unless it may be used again.
  void EndUse(bool aKeep)
  {
    const std::lock_guard guard(this->mutex);
    if (!aKeep || this->isCancelled) {
      this->CloseLocked();
    }
    this->isBusy = false;
  }

  void Cancel()
  {
    const std::lock_guard guard(this->mutex);
    this->isCancelled = true;
    if (!this->isBusy) {
      this->CloseLocked();
    } else if (this->descriptor >= 0) {
      ::shutdown(this->descriptor, SHUT_RDWR);
    }
  }

  bool IsOpen() const
  {
    const std::lock_guard guard(this->mutex);
    return this->descriptor >= 0 && IsQuiet(this->descriptor);
  }

  // Opens the connection if it isn't open. To be called between BeginUse() and EndUse().
  bool EnsureOpen(milliseconds aLongest)
  {
    if (this->IsOpen()) {
      return true;
    }
    const int fresh = this->Replace(StartConnect(this->options));
    return fresh >= 0 && FinishConnect(fresh, std::min(aLongest, this->options.connectTimeout));
  }

  std::variant<HttpResponse, ExchangeFailure> Run(const HttpRequest& aRequest,
                                                  Clock::time_point aDeadline)
  {
    ExchangeStream stream(this->descriptor, aRequest.method, this->options.maxAnswer);
    const auto left = std::chrono::ceil<milliseconds>(aDeadline - Clock::now());
    stream.SetTimes({ left, aDeadline });
    stream.ReplaceNextWrite(RequestHeadText(aRequest, this->options));
    bool exceeded = false;
    std::string body;
    httplib::Request request = this->Translate(aRequest, body, exceeded);
    httplib::Response response;
    const bool whole = this->codec.Run(stream, request, response);
    if (!whole || !stream.HasWholeAnswer()) {
      return stream.FailureOf(exceeded);
    }
    HttpResponse answer = std::move(stream.head.response);
    // Bytes beyond the answer belong to no request of ours.
    answer.close = stream.head.close || stream.HasInput();
    answer.body = std::move(body);
    return answer;
  }

  HttpClientOptions options;

private:
  // Takes over a fresh descriptor in place of the old one. Returns -1 when cancelled.
  int Replace(int aFresh)
  {
    const std::lock_guard guard(this->mutex);
    this->CloseLocked();
    this->descriptor = aFresh;
    return this->isCancelled ? -1 : aFresh;
  }

  void CloseLocked()
  {
    if (this->descriptor >= 0) {
      ::close(this->descriptor);
    }
    this->descriptor = -1;
  }

  httplib::Request Translate(const HttpRequest& aRequest, std::string& aBody, bool& aExceeded) const
  {
    httplib::Request request;
    request.method = aRequest.method;
    request.path = aRequest.target;
    request.body = aRequest.body;
    request.content_receiver =
      [this, &aBody, &aExceeded](const char* aBytes, std::size_t aSize, auto, auto) {
        aExceeded = aBody.size() + aSize > this->options.maxAnswer;
        if (!aExceeded) {
          aBody.append(aBytes, aSize);
        }
        return !aExceeded;
      };
    return request;
  }

  Codec codec;
  mutable std::mutex mutex;
  int descriptor = -1;
  bool isBusy = false;
  bool isCancelled = false;
};

HttpConnection::HttpConnection(HttpClientOptions aOptions)
  : impl(std::make_unique<Impl>(std::move(aOptions)))
{
}

HttpConnection::~HttpConnection()
{
  this->impl->Cancel();
}

bool
HttpConnection::Connect()
{
  this->impl->BeginUse();
  const bool isOpen = this->impl->EnsureOpen(this->impl->options.connectTimeout);
  this->impl->EndUse(isOpen);
  return isOpen;
}

bool
HttpConnection::IsOpen() const
{
  return this->impl->IsOpen();
}

std::variant<HttpResponse, ExchangeFailure>
HttpConnection::Exchange(const HttpRequest& aRequest, milliseconds aTimeout)
{
  const auto deadline = Clock::now() + aTimeout;
  this->impl->BeginUse();
  if (!this->impl->EnsureOpen(aTimeout)) {
    this->impl->EndUse(false);
    return ExchangeFailure::kConnect;
  }
  auto result = this->impl->Run(aRequest, deadline);
  const auto* answer = std::get_if<HttpResponse>(&result);
  this->impl->EndUse(answer != nullptr && !answer->close);
  return result;
}

void
HttpConnection::Close()
{
  this->impl->Cancel();
}

} // namespace plantainhaven
