#include "edge/exchange.h"

#include "edge/forwarding.h"
#include "plantainhaven/common/log.h"
#include "platform/decode.h"
#include "platform/names.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <string_view>
#include <utility>

namespace plantainhaven::edge {
namespace {

// Response bodies up to this size are buffered whole before anything is sent to the caller. It is
// several times the typical response of both known deployments.
constexpr std::size_t kMaxBufferedBody = 256 << 10;
constexpr std::size_t kPartBytes = 32 << 10;
constexpr std::uint32_t kMaxHeadBytes = 64 << 10;
// Beast 1.74 treats boost::none as a limit of zero, so "no limit" is expressed as a large number.
constexpr std::uint64_t kMaxBodyBytes = 1ULL << 40;
// Late responses to earlier requests that are skipped before the attempt fails.
constexpr int kMaxStaleResponses = 3;
// Bytes of such a response's body that are skipped before the attempt fails.
constexpr std::size_t kMaxStaleBytes = 1 << 20;
// Idle timeout assumed for servers that state none, within the range of common defaults.
constexpr std::chrono::milliseconds kDefaultIdleLimit{ 4000 };
// Fraction of a stated idle timeout for which a connection is kept, because the server starts its
// timer earlier.
constexpr double kIdleFraction = 0.8;
// Longest Retry-After of a server that is taken at its word.
constexpr double kMaxBackOffSeconds = 3600;
// Longest part of a malformed field that is logged.
constexpr std::size_t kMaxLoggedText = 40;

constexpr std::array<const char*, 9> kOutcomeNames{ "served",      "failed",        "shed",
                                                    "misdirected", "no_connection", "broken",
                                                    "timeout",     "abandoned",     "not_relayed" };

// The outcome that a relaying VM states; kBroken when it states none.
SendOutcome
OutcomeOf(beast::string_view aName)
{
  const auto found = std::find_if(kOutcomeNames.begin(),
                                  kOutcomeNames.end(),
                                  [&](const char* aKnown) { return aName == aKnown; });
  return found == kOutcomeNames.end() ? SendOutcome::kBroken
                                      : static_cast<SendOutcome>(found - kOutcomeNames.begin());
}

bool
IsTimeout(const beast::error_code& aFault)
{
  return aFault == beast::error::timeout;
}

// Whether the response's fields with the request's id differ.
bool
NamesTwoRequests(const ServerHead& aHead)
{
  const auto ids = aHead.equal_range(platform::kRequestIdHeader);
  return std::any_of(ids.first, ids.second, [&ids](const auto& aField) {
    return aField.value() != ids.first->value();
  });
}

// The idle limit derived from the seconds of "timeout=N" in the Keep-Alive field.
std::chrono::milliseconds
IdleLimitOf(const ServerHead& aHead)
{
  const auto text = aHead["Keep-Alive"];
  const std::size_t at = text.find("timeout=");
  int seconds = 0;
  if (at == beast::string_view::npos) {
    return kDefaultIdleLimit;
  }
  const char* const start = text.data() + at + 8;
  const auto [rest, fault] = std::from_chars(start, text.data() + text.size(), seconds);
  if (fault != std::errc()) {
    return kDefaultIdleLimit;
  }
  return std::chrono::milliseconds(static_cast<std::int64_t>(seconds * 1000 * kIdleFraction));
}

} // namespace

ExchangeTarget
DirectTarget(const BackendServer& aServer)
{
  return { .key = aServer.id, .address = aServer.address, .port = aServer.port };
}

ExchangeTarget
RelayedTarget(const std::string& aEndpoint)
{
  const Tcp::endpoint endpoint = ToEndpoint(aEndpoint);
  return { .key = aEndpoint,
           .address = endpoint.address().to_string(),
           .port = endpoint.port(),
           .isRelay = true };
}

const char*
ToString(SendOutcome aOutcome) noexcept
{
  return kOutcomeNames[static_cast<std::size_t>(aOutcome)];
}

Exchange::Exchange(asio::io_context& aContext, UpstreamPool& aPool, ExchangeTarget aTarget)
  : context(aContext)
  , pool(aPool)
  , target(std::move(aTarget))
{
}

Task<bool>
Exchange::Connect(std::chrono::milliseconds aMaxIdle,
                  std::chrono::steady_clock::time_point aDeadline)
{
  this->upstream = this->pool.Acquire(this->target.key, aMaxIdle);
  if (this->upstream != nullptr) {
    co_return true;
  }
  this->upstream = std::make_shared<Upstream>(this->context);
  this->upstream->stream.expires_at(aDeadline);
  beast::error_code fault;
  const auto ip = asio::ip::make_address(this->target.address, fault);
  if (!fault) {
    const Tcp::endpoint endpoint(ip, this->target.port);
    co_await this->upstream->stream.async_connect(endpoint, Into(fault));
  }
  if (fault) {
    this->outcome = SendOutcome::kNoConnection;
    this->errorText = fault.message();
    this->isConnectTimeout = IsTimeout(fault);
    this->connectResult = this->isConnectTimeout ? "timeout" : "refused";
    co_return false;
  }
  this->connectResult = "connected";
  PrepareUpstream(*this->upstream);
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
               std::chrono::steady_clock::time_point aDeadline)
{
  const auto id = aHead[platform::kRequestIdHeader];
  this->requestId.assign(id.data(), id.size());
  this->isHead = aHead.method() == http::verb::head;
  this->upstream->stream.expires_at(aDeadline);
  this->stream.emplace(this->upstream->stream,
                       this->upstream->buffer,
                       wire::ClientStream::Limits{ kMaxHeadBytes, kMaxBodyBytes });
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
      this->isIncomplete = true;
      aBody.Cancel();
      this->upstream->stream.cancel();
      beast::error_code ignored;
      co_await writer->ended.async_wait(Into(ignored));
    }
  }
  if (fault) {
    this->outcome = IsTimeout(fault) ? SendOutcome::kTimeout : SendOutcome::kBroken;
    this->errorText = fault.message();
    co_return;
  }
  this->ClassifyResponse();
}

Task<void>
Exchange::Write(http::request_header<http::fields> aHead, CallerBody& aBody)
{
  const bool hasBody = aHead.count(http::field::content_length) > 0 || !aBody.First().empty();
  http::request<http::string_body> request(std::move(aHead), aBody.First());
  if (hasBody) {
    request.content_length(request.body().size());
  }
  const beast::error_code fault = co_await this->stream->Write(request);
  // A server may respond and close the connection before it has read the body, so the response is
  // read even after a failed write.
  this->isIncomplete = static_cast<bool>(fault);
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
  beast::error_code fault = co_await this->stream->WriteHead(serializer);
  std::string part = aBody.First();
  while (!fault) {
    const bool isLast = part.empty();
    if (isLast && !aBody.IsWhole()) {
      break;
    }
    request.body().data = isLast ? nullptr : part.data();
    request.body().size = part.size();
    request.body().more = !isLast;
    fault = co_await this->stream->Write(serializer);
    if (fault || isLast) {
      break;
    }
    part = co_await aBody.ReadMore();
  }
  this->isIncomplete = fault || !aBody.IsWhole();
  if (aBody.Fault() && !aBody.IsCancelled()) {
    // The server would wait for the rest of a body that the caller won't send.
    this->upstream->stream.close();
  }
  aWriter->hasEnded = true;
  aWriter->ended.cancel();
}

Task<beast::error_code>
Exchange::ReadResponse()
{
  beast::error_code fault = co_await this->ReadHead();
  this->hasHead = !fault;
  if (!fault) {
    fault = co_await this->ReadBody();
  }
  co_return fault;
}

Task<beast::error_code>
Exchange::ReadHead()
{
  for (int stale = 0; stale <= kMaxStaleResponses; ++stale) {
    beast::error_code fault = co_await this->stream->ReadHead(this->isHead);
    if (fault) {
      co_return fault;
    }
    if (NamesTwoRequests(this->Head())) {
      co_return http::error::bad_field;
    }
    const auto id = this->Head()[platform::kRequestIdHeader];
    if (id.empty() || id == this->requestId) {
      co_return beast::error_code();
    }
    this->isOutOfSync = true;
    fault = co_await this->SkipBody();
    if (fault) {
      co_return fault;
    }
  }
  co_return http::error::bad_status;
}

Task<beast::error_code>
Exchange::SkipBody()
{
  beast::error_code fault;
  std::size_t skipped = 0;
  while (!fault && !this->IsWhole()) {
    this->body.clear();
    fault = co_await this->stream->ReadPart(this->body, kPartBytes);
    skipped += this->body.size();
    if (!fault && skipped > kMaxStaleBytes) {
      fault = http::error::body_limit;
    }
  }
  this->body.clear();
  co_return fault;
}

Task<beast::error_code>
Exchange::ReadBody()
{
  while (!this->IsWhole() && this->body.size() < kMaxBufferedBody) {
    const beast::error_code fault = co_await this->stream->ReadPart(this->body, kPartBytes);
    if (fault) {
      co_return fault;
    }
  }
  co_return beast::error_code();
}

Task<std::string>
Exchange::ReadMore()
{
  this->body.clear();
  while (this->body.empty() && !this->IsWhole()) {
    const beast::error_code fault = co_await this->stream->ReadPart(this->body, kPartBytes);
    if (fault) {
      this->outcome = IsTimeout(fault) ? SendOutcome::kTimeout : SendOutcome::kBroken;
      this->errorText = fault.message();
      this->body.clear();
      break;
    }
  }
  co_return std::move(this->body);
}

// Determines the outcome from the response's head, after the first part of its body was read.
void
Exchange::ClassifyResponse()
{
  this->isAnswered = true;
  const ServerHead& head = this->Head();
  const auto loadText = head[platform::kLoadHeader];
  if (const auto reported = platform::DecodeLoad({ loadText.data(), loadText.size() })) {
    this->load = ServerLoad{ reported->running, reported->waiting, reported->slots };
  }
  const bool isEchoed = head[platform::kRequestIdHeader] == this->requestId;
  const bool isSigned = head.find(platform::kSignatureHeader) != head.end();
  if (this->target.isRelay) {
    this->ClassifyRelayed(isSigned, isEchoed);
    return;
  }
  const bool statesNotExecuted = head.find(platform::kNotExecutedHeader) != head.end();
  const bool isMisdirected = this->Status() == 421;
  // On a reused connection, a statement without the request's id may belong to an earlier request.
  const bool isForThisRequest = isEchoed || !this->upstream->isReused;
  if (isForThisRequest && !isMisdirected && !this->isOutOfSync) {
    this->ReadLimit(isEchoed && isSigned);
    this->ReadDeparture();
  }
  if ((statesNotExecuted || isMisdirected) && isForThisRequest && !this->isOutOfSync) {
    this->isNotExecuted = true;
    this->outcome = isMisdirected ? SendOutcome::kMisdirected : SendOutcome::kShed;
    return;
  }
  const bool isEncoded = head.find(http::field::content_encoding) != head.end();
  if (!isSigned || isEncoded || !isEchoed) {
    this->outcome = SendOutcome::kFailed;
    this->errorText = isSigned ? "response without the request's id, or encoded" : "no signature";
    this->isOutOfSync = true;
    return;
  }
  this->outcome = this->Status() >= 500 ? SendOutcome::kFailed : SendOutcome::kServed;
}

void
Exchange::ClassifyRelayed(bool aIsSigned, bool aIsEchoed)
{
  this->outcome = OutcomeOf(this->Head()[kRelayOutcomeField]);
  this->stream->EraseField(kRelayOutcomeField);
  this->errorText = "stated by the relaying VM";
  if (this->outcome == SendOutcome::kShed || this->outcome == SendOutcome::kServed ||
      this->outcome == SendOutcome::kFailed) {
    this->ReadDeparture();
  }
  switch (this->outcome) {
    case SendOutcome::kNoConnection:
    case SendOutcome::kNotRelayed:
      this->isNotExecuted = true;
      break;
    case SendOutcome::kShed:
    case SendOutcome::kMisdirected:
      this->isNotExecuted = true;
      this->ReadLimit(false);
      break;
    case SendOutcome::kServed:
      if (!aIsSigned || !aIsEchoed) {
        this->outcome = SendOutcome::kFailed;
        this->isOutOfSync = true;
        break;
      }
      this->ReadLimit(true);
      break;
    case SendOutcome::kFailed:
      this->ReadLimit(aIsSigned && aIsEchoed);
      break;
    case SendOutcome::kBroken:
    case SendOutcome::kTimeout:
    case SendOutcome::kAbandoned:
      break;
  }
}

// Only a response that the server has signed withdraws a limit by naming none: one that was
// created in the server's place may lack the field.
void
Exchange::ReadLimit(bool aIsSigned)
{
  const ServerHead& head = this->Head();
  const auto field = head.find(platform::kRateLimitHeader);
  if (field == head.end()) {
    if (aIsSigned) {
      this->limit = LimitStatement{};
    }
    return;
  }
  const std::string_view text(field->value().data(), field->value().size());
  if (const auto rate = platform::DecodeRate(text)) {
    this->limit = LimitStatement{ rate };
    return;
  }
  Log(LogLevel::kWarning,
      "server_limit_unreadable",
      { { "server", this->target.key }, { "text", text.substr(0, kMaxLoggedText) } });
}

void
Exchange::ReadDeparture()
{
  const ServerHead& head = this->Head();
  this->isServerLeaving = head[platform::kLeavingHeader] == platform::kLeavingValue;
  const auto retryAfter = head[http::field::retry_after];
  if (this->Status() != 503 || retryAfter.empty()) {
    return;
  }
  if (const auto seconds = platform::DecodeRate({ retryAfter.data(), retryAfter.size() })) {
    this->backOff = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::duration<double>(std::min(*seconds, kMaxBackOffSeconds)));
  }
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
  const bool isUsable = this->upstream != nullptr && this->stream && this->stream->IsReusable() &&
                        !this->isOutOfSync && !this->isIncomplete && !this->isCancelled;
  if (isUsable) {
    this->upstream->idleLimit = IdleLimitOf(this->Head());
    this->upstream->stream.expires_never();
    this->pool.Release(this->target.key, std::move(this->upstream));
  }
  this->upstream.reset();
}

} // namespace plantainhaven::edge
