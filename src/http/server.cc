#include "plantainhaven/http/server.h"

#include "http/listener_filter.h"
#include "http/parking.h"
#include "http/text.h"
#include "http/workers.h"

#include <array>
#include <atomic>
#include <cstring>
#include <thread>

#include <sys/socket.h>

namespace plantainhaven {

namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr int kBacklog = 1024;
constexpr std::size_t kMaxHead = 32768;
constexpr std::size_t kMaxConnections = 20000;
// Chunk sizes and trailers may take this much room beside a request's body.
constexpr std::uint64_t kFramingAllowance = 65536;
constexpr std::uint64_t kLargestFramingPerByte = 8;
// Time in which handshakes already begun complete when the server stops.
constexpr milliseconds kHandshakeWait{ 100 };
// Time for which idle connections may still bring a request when the server stops.
constexpr milliseconds kIdleGrace{ 500 };
constexpr milliseconds kStopStep{ 10 };
constexpr int kBadRequest = 400;
constexpr int kRequestTimeout = 408;
constexpr int kContentTooLarge = 413;
constexpr int kTargetTooLong = 414;
constexpr int kHeadersTooLarge = 431;
constexpr int kInternalError = 500;
constexpr int kNotImplemented = 501;
constexpr int kUnavailable = 503;
constexpr int kVersionNotSupported = 505;

// One request on its way through cpp-httplib, and what became of it.
struct Turn
{
  ServerConnection& connection;
  RequestHead head;
  bool close = false;
  bool isAnswered = false;
  bool isAborted = false;
  // Status of the refusal when the body can't be taken, otherwise 0.
  int refusal = 0;
};

// cpp-httplib calls its handlers on the thread that processes the request.
thread_local Turn* sTurn = nullptr;

// The head that cpp-httplib gets to see: only what it needs to read the body and to
// know whether an answer has one. It would decode %XX in values, decompress bodies,
// unpack forms and answer ranges if it saw the real head.
std::string
FrameHeadText(const RequestHead& aHead)
{
  const BodyFrame& frame = aHead.frame;
  if (frame.framing == Framing::kChunked) {
    return "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  }
  if (frame.framing == Framing::kLength) {
    return "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(frame.length) + "\r\n\r\n";
  }
  return aHead.request.method == "HEAD" ? "HEAD / HTTP/1.1\r\n\r\n" : "GET / HTTP/1.1\r\n\r\n";
}

bool
IsFramingHeader(std::string_view aName)
{
  return EqualIgnoringCase(aName, "Content-Length") ||
         EqualIgnoringCase(aName, "Transfer-Encoding") || EqualIgnoringCase(aName, "Connection") ||
         EqualIgnoringCase(aName, "Keep-Alive");
}

// Adds pieces from the handler's source until something can be sent.
bool
SendPiece(const HttpBodySource& aSource, Turn& aTurn, httplib::DataSink& aSink)
{
  aTurn.connection.stream.Flush();
  std::string piece;
  const bool more = aSource(piece, aTurn.isAborted);
  if (aTurn.isAborted) {
    return false;
  }
  if (!piece.empty() && !aSink.write(piece.data(), piece.size())) {
    return false;
  }
  if (!more) {
    aSink.done();
  }
  return true;
}

struct Reason
{
  int status;
  std::string_view phrase;
};

constexpr std::array kReasons = {
  Reason{ kBadRequest, "Bad Request" },
  Reason{ kRequestTimeout, "Request Timeout" },
  Reason{ kContentTooLarge, "Content Too Large" },
  Reason{ kTargetTooLong, "URI Too Long" },
  Reason{ kHeadersTooLarge, "Request Header Fields Too Large" },
  Reason{ kNotImplemented, "Not Implemented" },
  Reason{ kUnavailable, "Service Unavailable" },
  Reason{ kVersionNotSupported, "HTTP Version Not Supported" },
};

std::string
PhraseOf(int aStatus)
{
  for (const Reason& reason : kReasons) {
    if (reason.status == aStatus) {
      return std::string(reason.phrase);
    }
  }
  return "Error";
}

// Text of an answer that the server gives by itself, which also closes.
std::string
RefusalText(int aStatus, const HttpHeaders& aHeaders)
{
  std::string text = "HTTP/1.1 " + std::to_string(aStatus) + ' ' + PhraseOf(aStatus) +
                     "\r\nContent-Length: 0\r\nConnection: close\r\n";
  AppendHeaders(text, aHeaders);
  return text + "\r\n";
}

} // namespace

struct HttpServer::Impl : private httplib::Server
{
  Impl(HttpServerOptions aOptions, HttpServer::Handler aHandler)
    : options(std::move(aOptions))
    , handler(std::move(aHandler))
  {
  }

  ~Impl() override { this->StopAtOnce(); }

  Result<Done> Start()
  {
    this->Configure();
    if (!this->bind_to_port(this->options.address, this->options.port)) {
      return Error{ ErrorKind::kUnavailable,
                    "expected to listen on " + this->options.address + ":" +
                      std::to_string(this->options.port) + ": " + std::strerror(errno),
                    "Choose an address of this VM and a free port." };
    }
    ::listen(this->svr_sock_, kBacklog);
    this->parking = std::make_unique<Parking>(
      [this](std::unique_ptr<ServerConnection> aReady) { this->OnReady(std::move(aReady)); });
    this->workers = std::make_unique<Workers>(
      this->options.threads, this->options.queue, [this](std::unique_ptr<ServerConnection> aTaken) {
        this->Serve(std::move(aTaken));
      });
    this->acceptor = std::thread([this] { this->listen_after_bind(); });
    while (!this->is_running()) {
      std::this_thread::yield(); // stop() has no effect before.
    }
    return Done{};
  }

  std::size_t Stop(milliseconds aLongest)
  {
    if (!this->acceptor.joinable()) {
      return 0;
    }
    const auto start = Clock::now();
    const auto deadline = start + aLongest;
    this->isDraining = true;
    IgnoreNewConnections(this->svr_sock_);
    std::this_thread::sleep_until(std::min(deadline, start + kHandshakeWait));
    this->CloseListener();
    while (Clock::now() < deadline && this->HasWork()) {
      if (Clock::now() >= start + kIdleGrace) {
        this->parking->CloseIdle();
      }
      this->workers->WaitUntilFree(kStopStep);
      std::this_thread::sleep_for(milliseconds(1));
    }
    return this->inFlight;
  }

  HttpServerOptions options;
  HttpServer::Handler handler;
  std::atomic<bool> isDraining{ false };
  std::atomic<std::size_t> inFlight{ 0 };
  std::atomic<std::uint64_t> refused{ 0 };

private:
  // Hands accepted connections to the parking; cpp-httplib's own threads and queue
  // stay unused.
  struct InlineQueue : public httplib::TaskQueue
  {
    void enqueue(std::function<void()> aTask) override { aTask(); }
    void shutdown() override {}
  };

  void Configure()
  {
    this->new_task_queue = [] { return new InlineQueue; };
    this->set_tcp_nodelay(true);
    this->set_socket_options([](socket_t aSocket) {
      const int on = 1;
      ::setsockopt(aSocket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    });
    this->Get("/",
              [this](const httplib::Request&, httplib::Response& aOut) { this->Answer(aOut); });
    this->Post(
      "/",
      [this](const httplib::Request&,
             httplib::Response& aOut,
             const httplib::ContentReader& aReader) { this->ReadAndAnswer(aOut, aReader); });
  }

  // Called by cpp-httplib for each accepted connection.
  bool process_and_close_socket(socket_t aSocket) override
  {
    auto connection = std::make_unique<ServerConnection>(aSocket);
    if (this->parking->Size() >= kMaxConnections) {
      this->Refuse(std::move(connection));
    } else {
      this->Park(std::move(connection));
    }
    return true;
  }

  void Park(std::unique_ptr<ServerConnection> aConnection)
  {
    aConnection->expiry = Clock::now() + this->options.keep_alive;
    this->parking->Park(std::move(aConnection));
  }

  void OnReady(std::unique_ptr<ServerConnection> aConnection)
  {
    if (!this->workers->Offer(aConnection)) {
      this->Refuse(std::move(aConnection));
    }
  }

  void Refuse(std::unique_ptr<ServerConnection> aConnection)
  {
    ++this->refused;
    HttpHeaders headers = this->options.refusal_headers;
    if (headers.CountOf("Retry-After") == 0) {
      headers.Add("Retry-After", "1");
    }
    aConnection->Discard();
    this->parking->CloseGently(std::move(aConnection), RefusalText(kUnavailable, headers));
  }

  void RefuseTurn(std::unique_ptr<ServerConnection> aConnection, int aStatus)
  {
    const bool keepsPromise = aStatus == kContentTooLarge;
    const HttpHeaders headers = keepsPromise ? this->options.refusal_headers : HttpHeaders{};
    this->parking->CloseGently(std::move(aConnection), RefusalText(aStatus, headers));
  }

  // Serves the request that arrives, and those that were sent along with it.
  void Serve(std::unique_ptr<ServerConnection> aConnection)
  {
    bool keeps = true;
    do {
      std::string text;
      this->SetTimes(*aConnection, Clock::now() + this->options.read_timeout);
      const StreamFault fault = aConnection->stream.ReadHead(kMaxHead, text);
      if (fault != StreamFault::kNone) {
        this->OnHeadFault(std::move(aConnection), fault);
        return;
      }
      auto head = ParseRequestHead(text);
      if (const auto* refusal = std::get_if<HeadFault>(&head)) {
        this->RefuseTurn(std::move(aConnection), refusal->status);
        return;
      }
      Turn turn{ *aConnection, std::move(std::get<RequestHead>(head)) };
      keeps = this->Take(turn);
      if (turn.refusal != 0) {
        this->RefuseTurn(std::move(aConnection), turn.refusal);
        return;
      }
    } while (keeps && aConnection->stream.HasInput());
    if (keeps) {
      this->Park(std::move(aConnection));
    } else if (aConnection->stream.Fault() == StreamFault::kNone) {
      this->parking->CloseGently(std::move(aConnection), {});
    }
  }

  void OnHeadFault(std::unique_ptr<ServerConnection> aConnection, StreamFault aFault)
  {
    if (aFault == StreamFault::kTooLong) {
      this->RefuseTurn(std::move(aConnection), kHeadersTooLarge);
    } else if (aFault == StreamFault::kTimeout) {
      this->RefuseTurn(std::move(aConnection), kRequestTimeout);
    }
  }

  void SetTimes(ServerConnection& aConnection, SteadyTime aDeadline) const
  {
    aConnection.stream.SetTimes({ this->options.read_timeout, aDeadline });
  }

  // Runs one request through cpp-httplib. True when the connection may stay open.
  bool Take(Turn& aTurn)
  {
    const RequestHead& head = aTurn.head;
    if (head.frame.length > this->options.max_body) {
      aTurn.refusal = kContentTooLarge;
      return false;
    }
    if (head.request.method == "HEAD" && head.frame.framing != Framing::kNone) {
      aTurn.refusal = kBadRequest;
      return false;
    }
    ServerConnection& connection = aTurn.connection;
    ++connection.requests;
    aTurn.close = head.close || connection.requests >= this->options.keep_alive_requests;
    if (head.expects_continue && head.frame.framing != Framing::kNone) {
      connection.stream.write("HTTP/1.1 100 Continue\r\n\r\n");
      connection.stream.Flush();
    }
    this->SetTimes(connection, SteadyTime::max());
    ++this->inFlight;
    const bool whole = this->Process(aTurn);
    --this->inFlight;
    return whole && !aTurn.close;
  }

  bool Process(Turn& aTurn)
  {
    SocketStream& stream = aTurn.connection.stream;
    stream.SetReadBudget(this->options.max_body * kLargestFramingPerByte + kFramingAllowance);
    stream.Inject(FrameHeadText(aTurn.head));
    bool closed = false;
    sTurn = &aTurn;
    const bool processed = this->process_request(stream, false, closed, nullptr);
    sTurn = nullptr;
    stream.SetReadBudget(UINT64_MAX);
    const bool flushed = !aTurn.isAborted && aTurn.isAnswered && stream.Flush();
    return processed && flushed;
  }

  void ReadAndAnswer(httplib::Response& aOut, const httplib::ContentReader& aReader)
  {
    Turn& turn = *sTurn;
    std::string& body = turn.head.request.body;
    bool isTooLarge = false;
    const bool whole = aReader([&](const char* aBytes, std::size_t aSize) {
      isTooLarge = body.size() + aSize > this->options.max_body;
      if (!isTooLarge) {
        body.append(aBytes, aSize);
      }
      return !isTooLarge;
    });
    if (whole) {
      this->Answer(aOut);
      return;
    }
    const bool tooLong = turn.connection.stream.Fault() == StreamFault::kTooLong;
    const bool timedOut = turn.connection.stream.Fault() == StreamFault::kTimeout;
    turn.refusal = isTooLarge || tooLong ? kContentTooLarge
                   : timedOut            ? kRequestTimeout
                                         : kBadRequest;
  }

  void Answer(httplib::Response& aOut)
  {
    Turn& turn = *sTurn;
    turn.head.request.remote_address = turn.connection.RemoteAddress();
    HttpResponse answer = this->Handle(turn.head.request);
    turn.connection.stream.SetTimes({ this->options.write_timeout, SteadyTime::max() });
    turn.close = turn.close || answer.close || this->isDraining;
    Translate(std::move(answer), turn, aOut);
    turn.isAnswered = true;
  }

  HttpResponse Handle(const HttpRequest& aRequest) const
  {
    try {
      return this->handler(aRequest);
    } catch (const std::exception&) {
      return HttpResponse{ kInternalError, {}, {}, {}, true };
    }
  }

  static void Translate(HttpResponse aAnswer, Turn& aTurn, httplib::Response& aOut)
  {
    aOut.status = aAnswer.status;
    const bool isHead = aTurn.head.request.method == "HEAD";
    for (const HttpHeader& field : aAnswer.headers.All()) {
      const bool tellsLength = isHead && EqualIgnoringCase(field.name, "Content-Length");
      if (tellsLength || !IsFramingHeader(field.name)) {
        aOut.set_header(field.name, field.value);
      }
    }
    if (aTurn.close) {
      aOut.set_header("Connection", "close");
    }
    if (!aAnswer.source) {
      aOut.body = std::move(aAnswer.body);
      return;
    }
    const std::string type(aAnswer.headers.Get("Content-Type"));
    aOut.headers.erase("Content-Type");
    aOut.set_chunked_content_provider(
      type.empty() ? "application/octet-stream" : type,
      [source = std::move(aAnswer.source), &aTurn](std::size_t, httplib::DataSink& aSink) {
        return SendPiece(source, aTurn, aSink);
      });
  }

  bool HasWork() const { return this->workers->Busy() > 0 || this->parking->Idle() > 0; }

  void CloseListener()
  {
    this->stop();
    this->acceptor.join();
  }

  void StopAtOnce()
  {
    if (this->acceptor.joinable()) {
      this->CloseListener();
    }
    if (this->parking) {
      this->parking->Stop();
    }
    this->workers.reset();
    this->parking.reset();
  }

  std::unique_ptr<Parking> parking;
  std::unique_ptr<Workers> workers;
  std::thread acceptor;
};

HttpServer::HttpServer(HttpServerOptions aOptions, Handler aHandler)
  : impl(std::make_unique<Impl>(std::move(aOptions), std::move(aHandler)))
{
}

HttpServer::~HttpServer() = default;

Result<Done>
HttpServer::Start()
{
  return this->impl->Start();
}

void
HttpServer::BeginDrain()
{
  this->impl->isDraining = true;
}

std::size_t
HttpServer::Stop(std::chrono::milliseconds aLongest)
{
  return this->impl->Stop(aLongest);
}

std::size_t
HttpServer::InFlight() const
{
  return this->impl->inFlight;
}

std::uint64_t
HttpServer::RefusedConnections() const
{
  return this->impl->refused;
}

} // namespace plantainhaven
