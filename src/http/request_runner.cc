#include "http/request_runner.h"

#include "plantainhaven/common/log.h"

namespace plantainhaven {

namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

// Chunk sizes and trailers may take this much room beside a request's body.
constexpr std::uint64_t kFramingAllowance = 65536;
constexpr std::uint64_t kLargestFramingPerByte = 8;
// A body may take this many read timeouts in all, so that slow callers hold no thread.
constexpr int kBodyTimeFactor = 6;

// Any value but INVALID_SOCKET.
constexpr socket_t kNeverStopped = 0;

// cpp-httplib calls its handlers on the thread that processes the request.
thread_local Turn* sTurn = nullptr;

int
RefusalOfBody(const SocketStream& aStream, bool aIsTooLarge)
{
  if (aIsTooLarge || aStream.Fault() == StreamFault::kTooLong) {
    return kContentTooLarge;
  }
  return aStream.Fault() == StreamFault::kTimeout ? kStatusRequestTimeout : kBadRequest;
}

} // namespace

RequestRunner::RequestRunner(const HttpServerOptions& aOptions, const HttpServer::Handler& aHandler)
  : options(aOptions)
  , handler(aHandler)
{
  // Without a listening socket cpp-httplib takes itself for stopped and breaks off
  // answers in chunks. This server never listens, so that none is broken off.
  this->svr_sock_ = kNeverStopped;
  this->set_post_routing_handler(
    [](const httplib::Request&, httplib::Response& aOut) { DropAddedHeaders(*sTurn, aOut); });
  this->Get("/", [this](const httplib::Request&, httplib::Response& aOut) { this->Answer(aOut); });
  this->Post("/",
             [this](const httplib::Request&,
                    httplib::Response& aOut,
                    const httplib::ContentReader& aReader) { this->ReadAndAnswer(aOut, aReader); });
}

Outcome
RequestRunner::Serve(ServerConnection& aConnection)
{
  do {
    std::string text;
    aConnection.stream.SetTimes(
      { this->options.readTimeout, Clock::now() + this->options.readTimeout });
    const StreamFault fault = aConnection.stream.ReadHead(kMaxHead, text);
    if (fault != StreamFault::kNone) {
      return this->AfterHeadFault(fault);
    }
    auto head = ParseRequestHead(text);
    if (const auto* refusal = std::get_if<HeadFault>(&head)) {
      return this->Refusal(refusal->status);
    }
    Turn turn{ aConnection, std::move(std::get<RequestHead>(head)) };
    const bool keeps = this->Take(turn);
    if (turn.refusal != 0) {
      return this->Refusal(turn.refusal);
    }
    if (!keeps) {
      const bool isSound = aConnection.stream.Fault() == StreamFault::kNone;
      return { isSound ? NextStep::kCloseGently : NextStep::kDrop };
    }
  } while (aConnection.stream.HasInput());
  return { NextStep::kPark };
}

Outcome
RequestRunner::AfterHeadFault(StreamFault aFault) const
{
  if (aFault == StreamFault::kTooLong) {
    return this->Refusal(kHeadersTooLarge);
  }
  return aFault == StreamFault::kTimeout ? this->Refusal(kStatusRequestTimeout) : Outcome{};
}

Outcome
RequestRunner::Refusal(int aStatus) const
{
  const bool isOversize = aStatus == kContentTooLarge;
  const HttpHeaders headers = isOversize ? this->options.refusalHeaders : HttpHeaders{};
  return { NextStep::kCloseGently, RefusalText(aStatus, headers) };
}

int
RequestRunner::RefusalBefore(const RequestHead& aHead) const
{
  if (aHead.frame.length > this->options.maxBody) {
    return kContentTooLarge;
  }
  // cpp-httplib would take the body of HEAD for the next request.
  const bool hasBody = aHead.frame.framing != Framing::kNone;
  return aHead.request.method == "HEAD" && hasBody ? kBadRequest : 0;
}

bool
RequestRunner::Take(Turn& aTurn)
{
  const RequestHead& head = aTurn.head;
  aTurn.refusal = this->RefusalBefore(head);
  if (aTurn.refusal != 0) {
    return false;
  }
  ServerConnection& connection = aTurn.connection;
  ++connection.requests;
  aTurn.close = head.close || connection.requests >= this->options.keepAliveRequests;
  const milliseconds bodyTime = this->options.readTimeout * kBodyTimeFactor;
  connection.stream.SetTimes({ this->options.readTimeout, Clock::now() + bodyTime });
  if (head.expectsContinue && head.frame.framing != Framing::kNone) {
    connection.stream.write("HTTP/1.1 100 Continue\r\n\r\n");
    connection.stream.Flush();
  }
  ++this->inFlight;
  const bool whole = this->Process(aTurn);
  --this->inFlight;
  return whole && !aTurn.close;
}

bool
RequestRunner::Process(Turn& aTurn)
{
  SocketStream& stream = aTurn.connection.stream;
  stream.SetReadBudget(this->options.maxBody * kLargestFramingPerByte + kFramingAllowance);
  stream.Inject(FrameHeadText(aTurn.head));
  bool closed = false;
  sTurn = &aTurn;
  const bool processed = this->process_request(stream, false, closed, nullptr);
  sTurn = nullptr;
  stream.SetReadBudget(UINT64_MAX);
  const bool flushed = !aTurn.isAborted && aTurn.isAnswered && stream.Flush();
  return processed && flushed;
}

void
RequestRunner::ReadAndAnswer(httplib::Response& aOut, const httplib::ContentReader& aReader)
{
  Turn& turn = *sTurn;
  std::string& body = turn.head.request.body;
  bool isTooLarge = false;
  const bool whole = aReader([&](const char* aBytes, std::size_t aSize) {
    isTooLarge = body.size() + aSize > this->options.maxBody;
    if (!isTooLarge) {
      body.append(aBytes, aSize);
    }
    return !isTooLarge;
  });
  if (whole) {
    this->Answer(aOut);
  } else {
    turn.refusal = RefusalOfBody(turn.connection.stream, isTooLarge);
  }
}

void
RequestRunner::Answer(httplib::Response& aOut)
{
  Turn& turn = *sTurn;
  turn.head.request.remoteAddress = turn.connection.RemoteAddress();
  turn.head.request.remotePort = turn.connection.RemotePort();
  HttpResponse answer = this->Handle(turn.head.request);
  turn.connection.stream.SetTimes({ this->options.writeTimeout, SteadyTime::max() });
  turn.close = turn.close || answer.close || this->isDraining;
  TranslateAnswer(std::move(answer), turn, aOut);
  turn.isAnswered = true;
}

HttpResponse
RequestRunner::Handle(const HttpRequest& aRequest) const
{
  try {
    return this->handler(aRequest);
  } catch (const std::exception& fault) {
    Log(LogLevel::kError, "http_handler_failed", { { "what", fault.what() } });
    return HttpResponse{ kInternalError, {}, {}, {}, true };
  }
}

} // namespace plantainhaven
