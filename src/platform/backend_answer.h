#pragma once

#include "plantainhaven/http/message.h"
#include "platform/pause_gate.h"

#include <chrono>
#include <cstddef>
#include <string>

namespace plantainhaven {

// How an answer's body is sent.
struct BodyDelivery
{
  // Cut the connection after half of the body.
  bool truncated = false;
  // Send ten pieces with this pause before each; zero sends the body at once.
  std::chrono::milliseconds drip{ 0 };
};

// The id that names the operation of a request: its Idempotency-Key, else its
// Plantainhaven-Request-Id, else its X-Request-Id; empty when it has none.
std::string
OperationId(const HttpRequest& aRequest);

// True unless the request has an X-Request-Id that is too long or holds other
// characters than printable ASCII.
bool
HasValidRequestId(const HttpRequest& aRequest);

// The content of an answer: a BackendAnswer in JSON, padded with blanks.
std::string
AnswerBody(const std::string& aServer,
           const HttpRequest& aRequest,
           const std::string& aRequestId,
           std::size_t aBytes);

// Makes the body of a response arrive in the given way. The gate must outlive it.
void
Deliver(const BodyDelivery& aDelivery, PauseGate& aGate, HttpResponse& aResponse);

} // namespace plantainhaven
