#include "edge/caller_body.h"

#include <boost/asio/error.hpp>

namespace plantainhaven::edge {
namespace {

constexpr std::size_t kPartBytes = 32 << 10;
// Limits of the time and the bytes for which a caller may go on sending its body after an early
// response.
constexpr std::chrono::milliseconds kDrainTime{ 1000 };
constexpr std::size_t kDrainBytes = 4 << 20;

} // namespace

CallerBody::CallerBody(beast::tcp_stream& aStream,
                       beast::flat_buffer& aBuffer,
                       CallerParser& aParser,
                       std::chrono::milliseconds aReadTimeout)
  : stream(aStream)
  , buffer(aBuffer)
  , parser(aParser)
  , readTimeout(aReadTimeout)
{
}

Task<std::string>
CallerBody::ReadPart(std::size_t aMaxBytes)
{
  std::string part(aMaxBytes, '\0');
  auto& target = this->parser.get().body();
  target.data = part.data();
  target.size = aMaxBytes;
  this->stream.expires_after(this->readTimeout);
  co_await http::async_read_some(this->stream, this->buffer, this->parser, Into(this->fault));
  if (this->fault == http::error::need_buffer) {
    this->fault = {};
  }
  this->stream.expires_never();
  part.resize(aMaxBytes - target.size);
  co_return part;
}

Task<void>
CallerBody::ReadFirst()
{
  while (!this->fault && !this->parser.is_done() && this->first.size() < kMaxBufferedBytes) {
    this->first += co_await this->ReadPart(kPartBytes);
  }
}

Task<std::string>
CallerBody::ReadMore()
{
  this->isConsumed = true;
  std::string part;
  while (!this->fault && !this->isCancelled && part.empty() && !this->parser.is_done()) {
    part = co_await this->ReadPart(kPartBytes);
  }
  if (this->isCancelled && !this->parser.is_done()) {
    this->fault = asio::error::operation_aborted;
    part.clear();
  }
  co_return part;
}

void
CallerBody::Cancel()
{
  this->isCancelled = true;
  this->stream.cancel();
}

Task<void>
CallerBody::Drain()
{
  this->fault = {};
  this->isCancelled = false;
  this->readTimeout = kDrainTime;
  std::size_t drained = 0;
  const BootTime until = BootClock::Now() + kDrainTime;
  while (!this->fault && !this->parser.is_done() && drained < kDrainBytes &&
         BootClock::Now() < until) {
    const std::string part = co_await this->ReadPart(kPartBytes);
    drained += part.size();
  }
}

} // namespace plantainhaven::edge
