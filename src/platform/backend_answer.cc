#include "platform/backend_answer.h"

#include "platform/json.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "backend.pb.h"

namespace plantainhaven {

namespace {

constexpr std::string_view kIdHeaders[] = { "Idempotency-Key",
                                            "Plantainhaven-Request-Id",
                                            "X-Request-Id" };
constexpr std::size_t kLongestRequestId = 128;
constexpr std::size_t kDripPieces = 10;

bool
IsPrintable(char aCharacter)
{
  return aCharacter > ' ' && aCharacter <= '~';
}

// Hands out a body piece by piece.
struct PieceSource
{
  bool operator()(std::string& aPiece, bool& aAbort);

  std::string body;
  std::size_t pieceBytes;
  // Position after which the connection is cut; past the end when it isn't.
  std::size_t cut;
  std::chrono::milliseconds pause;
  PauseGate* gate;
  std::size_t sent = 0;
};

bool
PieceSource::operator()(std::string& aPiece, bool& aAbort)
{
  if (this->sent >= this->cut) {
    aAbort = true;
    return false;
  }
  this->gate->Pause(this->pause);
  const std::size_t end = std::min(this->body.size(), this->cut);
  const std::size_t size = std::min(this->pieceBytes, end - this->sent);
  aPiece.append(this->body, this->sent, size);
  this->sent += size;
  return this->sent < this->body.size();
}

} // namespace

std::string
OperationId(const HttpRequest& aRequest)
{
  for (const std::string_view name : kIdHeaders) {
    if (const std::string_view value = aRequest.headers.Get(name); !value.empty()) {
      return std::string(value);
    }
  }
  return {};
}

bool
HasValidRequestId(const HttpRequest& aRequest)
{
  const std::string_view id = aRequest.headers.Get("X-Request-Id");
  return id.size() <= kLongestRequestId && std::all_of(id.begin(), id.end(), IsPrintable);
}

std::string
AnswerBody(const std::string& aServer,
           const HttpRequest& aRequest,
           const std::string& aRequestId,
           std::size_t aBytes)
{
  BackendAnswer answer;
  answer.set_server(aServer);
  answer.set_request_id(aRequestId);
  answer.set_method(aRequest.method);
  answer.set_target(aRequest.target);
  answer.set_body_bytes(static_cast<std::uint32_t>(aRequest.body.size()));
  for (const HttpHeader& header : aRequest.headers.All()) {
    BackendHeader* field = answer.add_headers();
    field->set_name(header.name);
    field->set_value(header.value);
  }
  std::string body = WriteJson(answer, true);
  body.resize(std::max(body.size(), aBytes), ' ');
  return body;
}

void
Deliver(const BodyDelivery& aDelivery, PauseGate& aGate, HttpResponse& aResponse)
{
  const bool drips = aDelivery.drip > std::chrono::milliseconds(0);
  if (!aDelivery.truncated && !drips) {
    return;
  }
  const std::size_t size = aResponse.body.size();
  const std::size_t pieces = drips ? kDripPieces : 1;
  const std::size_t pieceBytes = std::max<std::size_t>(1, (size + pieces - 1) / pieces);
  const std::size_t cut = aDelivery.truncated ? size / 2 : size + 1;
  aResponse.close = aResponse.close || aDelivery.truncated;
  aResponse.source =
    PieceSource{ std::move(aResponse.body), pieceBytes, cut, aDelivery.drip, &aGate };
  aResponse.body.clear();
}

} // namespace plantainhaven
