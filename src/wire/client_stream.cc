#include "wire/client_stream.h"

#include <cerrno>
#include <sys/socket.h>
#include <variant>

namespace plantainhaven::wire {
namespace {

constexpr unsigned kHttp11 = 11;
constexpr std::size_t kReadBytes = 64 << 10;
// Interim responses that are skipped before the response.
constexpr int kMaxInterimResponses = 3;
constexpr unsigned kFirstFinalStatus = 200;

} // namespace

bool
IsOpenAndEmpty(beast::tcp_stream& aStream)
{
  char byte = 0;
  const auto size =
    ::recv(aStream.socket().native_handle(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
  return size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

ClientStream::ClientStream(beast::tcp_stream& aStream, beast::flat_buffer& aBuffer, Limits aLimits)
  : stream(aStream)
  , buffer(aBuffer)
  , limits(aLimits)
  , written(aStream.get_executor(), asio::steady_timer::time_point::max())
{
}

beast::error_code
ClientStream::EndWrite(beast::error_code aFault)
{
  this->isWriting = false;
  this->written.cancel();
  if (aFault == http::error::need_buffer) {
    return {};
  }
  if (aFault && !this->writeFault) {
    this->writeFault = aFault;
  }
  return aFault;
}

asio::awaitable<void>
ClientStream::EndPendingWrite()
{
  if (this->isWriting) {
    this->stream.cancel();
  }
  while (this->isWriting) {
    beast::error_code ignored;
    co_await this->written.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  }
}

ConnectionEnd
ClientStream::End() const
{
  // A reset after the other end's orderly end is reported as EPIPE, one before it as ECONNRESET.
  const bool isOrderly = !this->writeFault || this->writeFault == asio::error::broken_pipe ||
                         this->writeFault == asio::error::operation_aborted;
  return isOrderly ? ConnectionEnd::kOrderly : ConnectionEnd::kBroken;
}

asio::awaitable<beast::error_code>
ClientStream::ReadHead(bool aIsToHead)
{
  this->head = {};
  this->isWhole = false;
  for (int interim = 0; interim <= kMaxInterimResponses; ++interim) {
    this->parser.emplace();
    this->parser->header_limit(this->limits.headBytes);
    this->parser->body_limit(this->limits.bodyBytes);
    this->parser->skip(aIsToHead);
    beast::error_code fault = co_await this->ParseHead();
    if (fault) {
      co_return fault;
    }
    fault = this->CheckHead(aIsToHead);
    if (fault) {
      co_return fault;
    }
    if (this->parser->get().result_int() >= kFirstFinalStatus) {
      this->TakeHead();
      co_return beast::error_code();
    }
  }
  co_return http::error::bad_status;
}

asio::awaitable<beast::error_code>
ClientStream::ParseHead()
{
  beast::error_code fault;
  while (!fault && !this->parser->is_header_done()) {
    if (HasFoldedLine(this->BufferedHead())) {
      co_return http::error::bad_obs_fold;
    }
    const std::size_t parsed = this->parser->put(this->buffer.data(), fault);
    this->buffer.consume(parsed);
    if (fault == http::error::need_more) {
      fault = co_await this->Receive();
    }
  }
  co_return fault;
}

std::string_view
ClientStream::BufferedHead() const
{
  const auto bytes = this->buffer.data();
  const std::string_view text(static_cast<const char*>(bytes.data()), bytes.size());
  // The rest is part of the body, or of another response.
  return text.substr(0, text.find("\r\n\r\n"));
}

asio::awaitable<beast::error_code>
ClientStream::Receive()
{
  const std::size_t size = beast::read_size(this->buffer, kReadBytes);
  if (size == 0) {
    co_return http::error::buffer_overflow;
  }
  beast::error_code fault;
  const std::size_t received = co_await this->stream.async_read_some(
    this->buffer.prepare(size), asio::redirect_error(asio::use_awaitable, fault));
  this->buffer.commit(received);
  if (fault == asio::error::eof) {
    fault = this->parser->got_some() ? http::error::partial_message : http::error::end_of_stream;
  }
  co_return fault;
}

beast::error_code
ClientStream::CheckHead(bool aIsToHead)
{
  const Head& parsed = this->parser->get().base();
  ResponseFacts facts{ .status = static_cast<int>(parsed.result_int()),
                       .isHttp10 = parsed.version() < kHttp11,
                       .isToHead = aIsToHead,
                       .lengths = parsed.count(http::field::content_length) };
  const auto codings = parsed.equal_range(http::field::transfer_encoding);
  for (auto coding = codings.first; coding != codings.second; ++coding) {
    facts.transferCodings.emplace_back(coding->value().data(), coding->value().size());
  }
  const auto checked = FramingOf(facts);
  if (const ResponseFault* const fault = std::get_if<ResponseFault>(&checked)) {
    return *fault == ResponseFault::kStatus ? http::error::bad_status
                                            : http::error::bad_transfer_encoding;
  }
  this->framing = std::get<Framing>(checked);
  return {};
}

void
ClientStream::TakeHead()
{
  const auto length = this->parser->content_length();
  this->contentLength = length ? std::optional<std::uint64_t>(*length) : std::nullopt;
  this->keepsAlive = this->parser->keep_alive();
  this->head = std::move(this->parser->get().base());
  this->isWhole = this->parser->is_done();
  // Reads of many small chunks would otherwise return one at a time.
  this->parser->eager(true);
}

asio::awaitable<beast::error_code>
ClientStream::ReadPart(std::string& aBody, std::size_t aMaxBytes)
{
  const std::size_t before = aBody.size();
  aBody.resize(before + aMaxBytes);
  auto& part = this->parser->get().body();
  part.data = aBody.data() + before;
  part.size = aMaxBytes;
  beast::error_code fault;
  co_await http::async_read_some(
    this->stream, this->buffer, *this->parser, asio::redirect_error(asio::use_awaitable, fault));
  if (fault == http::error::need_buffer) {
    fault = {};
  }
  aBody.resize(before + aMaxBytes - part.size);
  const bool isComplete = !fault && this->parser->is_done();
  if (isComplete && this->framing == Framing::kUntilClose) {
    co_await this->EndPendingWrite();
  }
  this->isWhole = plantainhaven::IsWhole(this->framing, isComplete, this->End());
  co_return isComplete && !this->isWhole ? this->writeFault : fault;
}

bool
ClientStream::IsReusable() const
{
  return this->isWhole && this->keepsAlive && !this->isWriting && this->buffer.size() == 0;
}

} // namespace plantainhaven::wire
