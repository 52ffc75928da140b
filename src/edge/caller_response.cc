#include "edge/caller_response.h"

#include "edge/forwarding.h"
#include "edge/own_response.h"
#include "plantainhaven/policy/response/response_rules.h"
#include "platform/names.h"

#include <utility>

namespace plantainhaven::edge {
namespace {

// Timeout for each write to the caller.
constexpr std::chrono::seconds kWriteTimeout{ 20 };
constexpr unsigned kHttp11 = 11;

template<typename Message>
void
CopyFields(const http::fields& aFrom, Message& aTo)
{
  for (const auto& field : aFrom) {
    if (!IsHopByHop(aFrom, field.name_string())) {
      aTo.insert(field.name_string(), field.value());
    }
  }
}

} // namespace

void
CallerResponse::SetOutcome(http::fields& aFields) const
{
  if (this->form.relayOutcome != nullptr) {
    aFields.set(kRelayOutcomeField, this->form.relayOutcome);
  }
}

Task<bool>
CallerResponse::Forward(Exchange& aExchange)
{
  if (aExchange.IsWhole()) {
    co_return co_await this->ForwardBuffered(aExchange);
  }
  co_return co_await this->ForwardStream(aExchange);
}

Task<bool>
CallerResponse::ForwardBuffered(Exchange& aExchange)
{
  http::response<http::string_body> response;
  response.result(aExchange.Status());
  response.version(this->form.version);
  CopyFields(aExchange.Head(), response);
  this->SetOutcome(response);
  response.keep_alive(this->form.keepsAlive);
  const bool hasBody = MayHaveBody(static_cast<int>(response.result_int()), this->form.method);
  if (hasBody) {
    response.body() = std::move(aExchange.Body());
    response.content_length(response.body().size());
  }
  http::response_serializer<http::string_body> serializer(response);
  serializer.split(!hasBody);
  beast::error_code fault;
  this->caller.expires_after(kWriteTimeout);
  if (!hasBody) {
    co_await http::async_write_header(this->caller, serializer, Into(fault));
  } else {
    co_await http::async_write(this->caller, serializer, Into(fault));
  }
  co_return !fault;
}

Task<bool>
CallerResponse::ForwardStream(Exchange& aExchange)
{
  http::response<http::buffer_body> response;
  response.result(aExchange.Status());
  response.version(this->form.version);
  CopyFields(aExchange.Head(), response);
  this->SetOutcome(response);
  const auto length = aExchange.ContentLength();
  this->endsWithConnection = !length && this->form.version < kHttp11;
  response.keep_alive(this->form.keepsAlive && !this->endsWithConnection);
  if (length) {
    response.content_length(*length);
  } else if (!this->endsWithConnection) {
    response.chunked(true);
  }
  http::response_serializer<http::buffer_body> serializer(response);
  beast::error_code fault;
  this->caller.expires_after(kWriteTimeout);
  co_await http::async_write_header(this->caller, serializer, Into(fault));
  std::string part = std::move(aExchange.Body());
  while (!fault) {
    const bool isLast = part.empty();
    if (isLast && !aExchange.IsWhole()) {
      this->SignalCut();
      co_return false;
    }
    response.body().data = isLast ? nullptr : part.data();
    response.body().size = part.size();
    response.body().more = !isLast;
    this->caller.expires_after(kWriteTimeout);
    co_await http::async_write(this->caller, serializer, Into(fault));
    if (fault == http::error::need_buffer) {
      fault = {};
    }
    if (isLast) {
      break;
    }
    part = co_await aExchange.ReadMore();
  }
  co_return !fault;
}

// Closing the connection before the end of the response signals to the caller that it is truncated.
// Where that would be its end, only a reset does.
void
CallerResponse::SignalCut()
{
  if (this->endsWithConnection) {
    beast::error_code ignored;
    this->caller.socket().set_option(asio::socket_base::linger(true, 0), ignored);
    this->caller.close();
  }
}

Task<bool>
CallerResponse::Refuse(const Refusal& aRefusal, std::string_view aRequestId)
{
  http::response<http::string_body> response;
  response.result(aRefusal.status);
  response.version(this->form.version);
  if (!aRequestId.empty()) {
    response.set(platform::kRequestIdHeader, { aRequestId.data(), aRequestId.size() });
  }
  if (aRefusal.retryAfter.count() > 0) {
    response.set(http::field::retry_after, FormatSeconds(aRefusal.retryAfter));
  }
  this->SetOutcome(response);
  response.keep_alive(this->form.keepsAlive);
  response.body() = aRefusal.reason + "\n";
  this->caller.expires_after(kWriteTimeout);
  const beast::error_code fault =
    co_await WriteOwnResponse(this->caller, std::move(response), this->form.method);
  co_return !fault;
}

} // namespace plantainhaven::edge
