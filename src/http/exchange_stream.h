#pragma once

#include "http/socket_stream.h"
#include "http/text.h"
#include "plantainhaven/http/client.h"

#include <string>

namespace plantainhaven {

// The stream of one exchange. cpp-httplib writes the request into it, then reads the
// answer; before its first read the request is sent and the answer's head is taken.
class ExchangeStream : public SocketStream
{
public:
  ExchangeStream(int aDescriptor, std::string aMethod, std::size_t aMaxAnswer);

  ssize_t read(char* aBytes, size_t aSize) override;
  using SocketStream::write;

  // Why the exchange failed, once it did. `aExceeded` tells that the body was too long.
  ExchangeFailure FailureOf(bool aExceeded) const;

  // True when the answer came to its end as its frame tells.
  bool HasWholeAnswer() const;

  ResponseHead head;
  bool hasHead = false;
  bool isTooLarge = false;

private:
  // Sends the request and reads the head of the answer.
  bool TakeHead();

  std::string method;
  std::size_t maxAnswer;
};

// Text of a request's head, with Host and Content-Length.
std::string
RequestHeadText(const HttpRequest& aRequest, const HttpClientOptions& aOptions);

} // namespace plantainhaven
