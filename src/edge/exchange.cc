#include "edge/exchange.h"

#include "platform/decode.h"
#include "platform/names.h"

#include <algorithm>
#include <charconv>
#include <netinet/tcp.h>
#include <utility>

namespace plantainhaven::edge {
namespace {

// Bodies up to this size are read whole before the caller gets anything; several times the
// usual response of either user.
constexpr std::size_t kWholeBody = 256 << 10;
constexpr std::size_t kPartBytes = 32 << 10;
constexpr std::uint32_t kMaxHeadBytes = 64 << 10;
// Beast 1.74 takes boost::none as a limit of zero, so "no limit" is a number.
constexpr std::uint64_t kMaxBodyBytes = 1ULL << 40;
// Late responses to earlier requests that are passed over before the connection is given up.
constexpr int kMaxStale = 3;
// Idle limit of servers that state none, in the range of usual defaults.
constexpr std::chrono::milliseconds kDefaultIdle{ 4000 };
// A stated idle limit is used up to this part, since the server's clock started earlier.
constexpr double kIdleShare = 0.8;
// Unacknowledged bytes end a connection after this time: a partition or a dead host.
constexpr unsigned kUserTimeoutMs = 3000;

bool
IsTimeout(const beast::error_code& aFault)
{
  return aFault == beast::error::timeout;
}

// The seconds of "timeout=N" in a Keep-Alive field.
std::chrono::milliseconds
IdleLimitOf(const ServerHead& aHead)
{
  const auto text = aHead["Keep-Alive"];
  const std::size_t at = text.find("timeout=");
  int seconds = 0;
  if (at == beast::string_view::npos) {
    return kDefaultIdle;
  }
  const char* const start = text.data() + at + 8;
  const auto [rest, fault] = std::from_chars(start, text.data() + text.size(), seconds);
  if (fault != std::errc()) {
    return kDefaultIdle;
  }
  return std::chrono::milliseconds(static_cast<std::int64_t>(seconds * 1000 * kIdleShare));
}

} // namespace

Exchange::Exchange(asio::io_context& aContext, UpstreamPool& aPool, const BackendServer& aServer)
  : context(aContext)
  , pool(aPool)
  , server(aServer)
{
}

Task<bool>
Exchange::Connect(std::chrono::milliseconds aLongestIdle,
                  std::chrono::steady_clock::time_point aUntil)
{
  this->upstream = this->pool.Take(this->server.id, aLongestIdle);
  if (this->upstream != nullptr) {
    co_return true;
  }
  this->upstream = std::make_shared<Upstream>(this->context);
  this->upstream->stream.expires_at(aUntil);
  beast::error_code fault;
  const auto ip = asio::ip::make_address(this->server.address, fault);
  if (!fault) {
    const Tcp::endpoint endpoint(ip, this->server.port);
    co_await this->upstream->stream.async_connect(endpoint, Into(fault));
  }
  if (fault) {
    this->outcome = SendOutcome::kNoConnection;
    this->faultText = fault.message();
    co_return false;
  }
  Tcp::socket& socket = this->upstream->stream.socket();
  socket.set_option(Tcp::no_delay(true), fault);
  const unsigned timeout = kUserTimeoutMs;
  ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
  co_return true;
}

struct Exchange::Writer
{
  explicit Writer(asio::io_context& aContext)
    : ended(aContext)
  {
    this->ended.expires_at(asio::steady_timer::time_point::max());
  }
  asio::steady_timer ended;
  bool hasEnded = false;
};

Task<void>
Exchange::Send(http::request_header<http::fields> aHead,
               CallerBody& aBody,
               std::chrono::steady_clock::time_point aUntil)
{
  const auto id = aHead[platform::kRequestIdHeader];
  this->requestId.assign(id.data(), id.size());
  this->isHead = aHead.method() == http::verb::head;
  this->upstream->stream.expires_at(aUntil);
  beast::error_code fault;
  if (aBody.IsWhole()) {
    co_await this->Write(std::move(aHead), aBody);
    fault = co_await this->ReadResponse();
  } else {
    const auto writer = std::make_shared<Writer>(this->context);
    asio::co_spawn(
      this->context, this->WriteParts(std::move(aHead), aBody, writer), asio::detached);
    fault = co_await this->ReadResponse();
    if (!writer->hasEnded) {
      this->isUnfinished = true;
      aBody.Cancel();
      this->upstream->stream.cancel();
      beast::error_code ignored;
      co_await writer->ended.async_wait(Into(ignored));
    }
  }
  if (fault) {
    this->outcome = IsTimeout(fault) ? SendOutcome::kTimeout : SendOutcome::kBroken;
    this->faultText = fault.message();
    co_return;
  }
  this->Judge();
}

Task<void>
Exchange::Write(http::request_header<http::fields> aHead, CallerBody& aBody)
{
  const bool hasBody = aHead.count(http::field::content_length) > 0 || !aBody.First().empty();
  http::request<http::string_body> request(std::move(aHead), aBody.First());
  if (hasBody) {
    request.content_length(request.body().size());
  }
  beast::error_code fault;
  co_await http::async_write(this->upstream->stream, request, Into(fault));
  // A server may answer and close before it has read a body, so a failed write doesn't end
  // the exchange before the read does.
  this->isUnfinished = static_cast<bool>(fault);
}

Task<void>
Exchange::WriteParts(http::request_header<http::fields> aHead,
                     CallerBody& aBody,
                     std::shared_ptr<Writer> aWriter)
{
  http::request<http::buffer_body> request(std::move(aHead));
  if (request.count(http::field::content_length) == 0) {
    request.chunked(true);
  }
  http::request_serializer<http::buffer_body> serializer(request);
  request.body().data = nullptr;
  request.body().more = true;
  beast::error_code fault;
  co_await http::async_write_header(this->upstream->stream, serializer, Into(fault));
  std::string part = aBody.First();
  while (!fault) {
    const bool isLast = part.empty();
    if (isLast && !aBody.IsWhole()) {
      break;
    }
    request.body().data = isLast ? nullptr : part.data();
    request.body().size = part.size();
    request.body().more = !isLast;
    co_await http::async_write(this->upstream->stream, serializer, Into(fault));
    if (fault == http::error::need_buffer) {
      fault = {};
    }
    if (isLast) {
      break;
    }
    part = co_await aBody.ReadMore();
  }
  this->isUnfinished = fault || !aBody.IsWhole();
  if (aBody.Fault()) {
    // The server waits for a rest that won't come.
    this->upstream->stream.close();
  }
  aWriter->hasEnded = true;
  aWriter->ended.cancel();
}

Task<beast::error_code>
Exchange::ReadResponse()
{
  beast::error_code fault = co_await this->ReadHead();
  if (!fault) {
    fault = co_await this->ReadBody();
  }
  co_return fault;
}

Task<beast::error_code>
Exchange::ReadHead()
{
  beast::tcp_stream& stream = this->upstream->stream;
  for (int stale = 0; stale <= kMaxStale; ++stale) {
    this->parser.emplace();
    this->parser->header_limit(kMaxHeadBytes);
    this->parser->body_limit(kMaxBodyBytes);
    this->parser->skip(this->isHead);
    beast::error_code fault;
    co_await http::async_read_header(stream, this->upstream->buffer, *this->parser, Into(fault));
    if (fault) {
      co_return fault;
    }
    const auto id = this->Head()[platform::kRequestIdHeader];
    const bool isInterim = this->Status() / 100 == 1;
    if (!isInterim && (id.empty() || id == this->requestId)) {
      co_return beast::error_code();
    }
    this->isTainted = this->isTainted || !isInterim;
    while (!fault && !this->parser->is_done()) {
      this->body.clear();
      fault = co_await this->ReadPart(kPartBytes);
    }
    this->body.clear();
    if (fault) {
      co_return fault;
    }
  }
  co_return http::error::bad_status;
}

Task<beast::error_code>
Exchange::ReadBody()
{
  while (!this->parser->is_done() && this->body.size() < kWholeBody) {
    const beast::error_code fault = co_await this->ReadPart(kPartBytes);
    if (fault) {
      co_return fault;
    }
  }
  co_return beast::error_code();
}

// Appends up to `aMost` bytes of the body.
Task<beast::error_code>
Exchange::ReadPart(std::size_t aMost)
{
  const std::size_t before = this->body.size();
  this->body.resize(before + aMost);
  auto& target = this->parser->get().body();
  target.data = this->body.data() + before;
  target.size = aMost;
  beast::error_code fault;
  co_await http::async_read_some(
    this->upstream->stream, this->upstream->buffer, *this->parser, Into(fault));
  if (fault == http::error::need_buffer) {
    fault = {};
  }
  this->body.resize(before + aMost - target.size);
  co_return fault;
}

Task<std::string>
Exchange::ReadMore()
{
  this->body.clear();
  while (this->body.empty() && !this->parser->is_done()) {
    const beast::error_code fault = co_await this->ReadPart(kPartBytes);
    if (fault) {
      this->outcome = IsTimeout(fault) ? SendOutcome::kTimeout : SendOutcome::kBroken;
      this->body.clear();
      break;
    }
  }
  co_return std::move(this->body);
}

// Decides what the response is worth once its head and first part are there.
void
Exchange::Judge()
{
  this->isAnswered = true;
  const ServerHead& head = this->Head();
  const auto loadText = head[platform::kLoadHeader];
  if (const auto reported = platform::DecodeLoad({ loadText.data(), loadText.size() })) {
    this->load = ServerLoad{ reported->running, reported->waiting, reported->slots };
  }
  const bool isEchoed = head[platform::kRequestIdHeader] == this->requestId;
  const bool statesNotRun = head.find(platform::kNotExecutedHeader) != head.end();
  const bool isMisdirected = this->Status() == 421;
  // Without the id on a used connection, the statement may belong to an earlier request.
  const bool isOurs = isEchoed || !this->upstream->isReused;
  if ((statesNotRun || isMisdirected) && isOurs && !this->isTainted) {
    this->isNotRun = true;
    this->outcome = isMisdirected ? SendOutcome::kMisdirected : SendOutcome::kShed;
    return;
  }
  const bool isSigned = head.find(platform::kSignatureHeader) != head.end();
  const bool isEncoded = head.find(http::field::content_encoding) != head.end();
  if (!isSigned || isEncoded || !isEchoed) {
    this->outcome = SendOutcome::kFailed;
    this->faultText = isSigned ? "response without the request's id, or encoded" : "no signature";
    this->isTainted = true;
    return;
  }
  this->outcome = this->Status() >= 500 ? SendOutcome::kFailed : SendOutcome::kServed;
}

std::optional<std::uint64_t>
Exchange::ContentLength() const
{
  const auto length = this->parser->content_length();
  return length ? std::optional<std::uint64_t>(*length) : std::nullopt;
}

void
Exchange::Cancel()
{
  this->isCancelled = true;
  if (this->upstream != nullptr) {
    this->upstream->stream.close();
  }
}

void
Exchange::Finish()
{
  const bool isUsable = this->upstream != nullptr && this->parser && this->parser->is_done() &&
                        this->parser->keep_alive() && !this->isTainted && !this->isUnfinished &&
                        !this->isCancelled && this->upstream->buffer.size() == 0;
  if (isUsable) {
    this->upstream->idleLimit = IdleLimitOf(this->Head());
    this->upstream->stream.expires_never();
    this->pool.Put(this->server.id, std::move(this->upstream));
  }
  this->upstream.reset();
}

} // namespace plantainhaven::edge
