#pragma once

#include "edge/caller_body.h"
#include "edge/names.h"
#include "edge/net.h"
#include "edge/upstream_pool.h"
#include "plantainhaven/policy/placing/placement.h"

#include <boost/beast/http.hpp>
#include <memory>
#include <optional>
#include <string>

namespace plantainhaven::edge {

using ServerHead = http::response_header<http::fields>;
using ServerParser = http::response_parser<http::buffer_body>;

// One request at one backend server, up to the point where its response is known to be
// usable. Small bodies are read whole, so that a response that breaks off can be repeated;
// what is longer follows with ReadMore().
class Exchange
{
public:
  Exchange(asio::io_context& aContext, UpstreamPool& aPool, const BackendServer& aServer);

  // Takes an idle connection or opens one. False when none can be had by `aUntil`; nothing
  // was sent then.
  Task<bool> Connect(std::chrono::milliseconds aLongestIdle,
                     std::chrono::steady_clock::time_point aUntil);
  // Sends the request and reads the response's head and the first part of its body. A
  // server may answer before it has read a long body; the rest is then not sent.
  Task<void> Send(http::request_header<http::fields> aHead,
                  CallerBody& aBody,
                  std::chrono::steady_clock::time_point aUntil);
  // The next part of the body; empty at its end or when it broke off.
  Task<std::string> ReadMore();
  // Ends what is under way: the caller has left.
  void Cancel();
  // Gives the connection back if it can serve another request.
  void Finish();

  // Whether the response can be passed on, and otherwise what went wrong.
  SendOutcome Outcome() const { return this->outcome; }
  // The server states that the request didn't run, on a connection where it can't have
  // meant another one.
  bool IsNotRun() const { return this->isNotRun; }
  const ServerHead& Head() const { return this->parser->get(); }
  unsigned Status() const { return this->parser->get().result_int(); }
  // The first part of the body, and whether it is all of it.
  std::string& Body() { return this->body; }
  bool IsWhole() const { return this->parser->is_done(); }
  // Bytes of the whole body, or of its first part when the head doesn't tell.
  std::uint64_t BodyBytes() const { return this->ContentLength().value_or(this->body.size()); }
  // A head was read that can be judged.
  bool IsAnswered() const { return this->isAnswered; }
  std::optional<std::uint64_t> ContentLength() const;
  std::optional<ServerLoad> Load() const { return this->load; }
  // What ended the exchange, for the log; empty when nothing did.
  const std::string& Fault() const { return this->faultText; }

private:
  // A body that is being sent while the response is read.
  struct Writer;

  Task<void> Write(http::request_header<http::fields> aHead, CallerBody& aBody);
  Task<void> WriteParts(http::request_header<http::fields> aHead,
                        CallerBody& aBody,
                        std::shared_ptr<Writer> aWriter);
  Task<beast::error_code> ReadResponse();
  Task<beast::error_code> ReadHead();
  Task<beast::error_code> ReadBody();
  Task<beast::error_code> ReadPart(std::size_t aMost);
  void Judge();

  asio::io_context& context;
  UpstreamPool& pool;
  BackendServer server;
  UpstreamPtr upstream;
  std::optional<ServerParser> parser;
  // Of the request: its id, and whether its response has no body.
  std::string requestId;
  bool isHead = false;
  std::string body;
  SendOutcome outcome = SendOutcome::kBroken;
  bool isNotRun = false;
  // Bytes of another response came first, or follow: the connection serves no other request.
  bool isTainted = false;
  // The request wasn't sent to its end: the connection serves no other request.
  bool isUnfinished = false;
  bool isCancelled = false;
  bool isAnswered = false;
  std::optional<ServerLoad> load;
  std::string faultText;
};

} // namespace plantainhaven::edge
