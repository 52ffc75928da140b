#pragma once

#include "edge/caller_body.h"
#include "edge/names.h"
#include "edge/net.h"
#include "edge/upstream_pool.h"
#include "plantainhaven/policy/placing/placement.h"
#include "wire/client_stream.h"

#include <boost/beast/http.hpp>
#include <memory>
#include <optional>
#include <string>

namespace plantainhaven::edge {

using ServerHead = wire::ClientStream::Head;

// The request rate that a response names; no rate means that the server has no limit now.
struct LimitStatement
{
  std::optional<double> rate;
};

// The other end of an exchange's connection.
struct ExchangeTarget
{
  // The backend server's id, or the relaying VM's endpoint; the key of its idle connections.
  std::string key;
  std::string address;
  std::uint16_t port = 0;
  // A VM that sends the request on to the backend server and states in its response how that
  // ended.
  bool isRelay = false;
};

ExchangeTarget
DirectTarget(const BackendServer& aServer);
// `aEndpoint` is the "ADDRESS:PORT" of the relaying VM.
ExchangeTarget
RelayedTarget(const std::string& aEndpoint);

// The outcome's name in logs, metrics and responses of relaying VMs.
const char*
ToString(SendOutcome aOutcome) noexcept;

// One attempt of a request at one backend server, up to the point where its response is known to
// be usable. Short response bodies are buffered whole, so that the request can be retried when
// the response is truncated. The rest of a longer body is read with ReadMore().
class Exchange
{
public:
  Exchange(asio::io_context& aContext, UpstreamPool& aPool, ExchangeTarget aTarget);

  // Reuses an idle connection or opens a new one. Returns false when no connection was
  // established by `aDeadline`; nothing has been sent in that case.
  Task<bool> Connect(std::chrono::milliseconds aMaxIdle,
                     std::chrono::steady_clock::time_point aDeadline);
  // Sends the request and reads the response's head and the first part of its body. If the server
  // responds before it has read a long request body, the rest of that body isn't sent.
  Task<void> Send(http::request_header<http::fields> aHead,
                  CallerBody& aBody,
                  std::chrono::steady_clock::time_point aDeadline);
  // Reads the next part of the body. Returns an empty string at its end, or when it is truncated.
  Task<std::string> ReadMore();
  // Cancels the pending operations after the caller has disconnected.
  void Cancel();
  // Returns the connection to the pool if it can be reused.
  void Finish();

  // Whether the response can be forwarded, and otherwise the kind of failure.
  SendOutcome Outcome() const { return this->outcome; }
  // The server states that it didn't execute the request, on a connection where the statement
  // can't belong to another request.
  bool IsNotExecuted() const { return this->isNotExecuted; }
  const ServerHead& Head() const { return this->stream->ResponseHead(); }
  unsigned Status() const { return this->Head().result_int(); }
  // The first part of the body.
  std::string& Body() { return this->body; }
  bool IsWhole() const { return this->stream->IsWhole(); }
  // Size of the whole body, or of its first part when the head states no length.
  std::uint64_t BodyBytes() const { return this->ContentLength().value_or(this->body.size()); }
  // The response head was received; its body may still be arriving.
  bool HasHead() const { return this->hasHead; }
  // The response can be forwarded: its head was received, and its body as far as it is buffered.
  bool IsAnswered() const { return this->isAnswered; }
  std::optional<std::uint64_t> ContentLength() const { return this->stream->ContentLength(); }
  std::optional<ServerLoad> Load() const { return this->load; }
  // What the response states about the server's rate limit; nothing when it states nothing.
  std::optional<LimitStatement> Limit() const { return this->limit; }
  // The server says that it is leaving.
  bool IsServerLeaving() const { return this->isServerLeaving; }
  // How long the server, which has rejected the request, wants none from this VM.
  std::optional<std::chrono::milliseconds> BackOff() const { return this->backOff; }
  // Error text for the log; empty when there was no error.
  const std::string& Fault() const { return this->errorText; }
  // The connection has served an earlier request.
  bool IsReused() const { return this->upstream != nullptr && this->upstream->isReused; }
  // How opening a new connection ended, for metrics.
  const char* ConnectResult() const { return this->connectResult; }
  // No connection was established because nothing answered.
  bool IsConnectTimeout() const { return this->isConnectTimeout; }

private:
  // State of a request body that is sent while the response is read.
  struct Writer;

  Task<void> Write(http::request_header<http::fields> aHead, CallerBody& aBody);
  Task<void> WriteParts(http::request_header<http::fields> aHead,
                        CallerBody& aBody,
                        std::shared_ptr<Writer> aWriter);
  Task<beast::error_code> ReadResponse();
  Task<beast::error_code> ReadHead();
  // Skips the body of a response to another request.
  Task<beast::error_code> SkipBody();
  Task<beast::error_code> ReadBody();
  void ClassifyResponse();
  // Adopts the outcome that a relaying VM states.
  void ClassifyRelayed(bool aIsSigned, bool aIsEchoed);
  void ReadLimit(bool aIsSigned);
  // Reads whether the server is leaving, and for how long it wants no requests.
  void ReadDeparture();

  asio::io_context& context;
  UpstreamPool& pool;
  ExchangeTarget target;
  UpstreamPtr upstream;
  // The request and its response on the connection, once it is established.
  std::optional<wire::ClientStream> stream;
  std::string requestId;
  // The request's method is HEAD, so its response has no body.
  bool isHead = false;
  std::string body;
  SendOutcome outcome = SendOutcome::kBroken;
  bool isNotExecuted = false;
  // Bytes of another response precede or follow this response, so the connection isn't reused.
  bool isOutOfSync = false;
  // The request wasn't sent completely, so the connection isn't reused.
  bool isIncomplete = false;
  bool isCancelled = false;
  bool hasHead = false;
  bool isAnswered = false;
  std::optional<ServerLoad> load;
  std::optional<LimitStatement> limit;
  bool isServerLeaving = false;
  std::optional<std::chrono::milliseconds> backOff;
  std::string errorText;
  const char* connectResult = "reused";
  bool isConnectTimeout = false;
};

} // namespace plantainhaven::edge
