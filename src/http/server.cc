#include "plantainhaven/http/server.h"

#include "http/acceptor.h"
#include "http/parking.h"
#include "http/request_runner.h"
#include "http/workers.h"

#include <atomic>
#include <cstring>
#include <mutex>
#include <thread>
#include <unordered_set>

namespace plantainhaven {

namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr std::size_t kMaxConnections = 20000;
// Time for which idle connections may still bring a request when the server stops.
constexpr milliseconds kIdleGrace{ 500 };
constexpr milliseconds kStopStep{ 10 };

} // namespace

struct HttpServer::Impl
{
  Impl(HttpServerOptions aOptions, Handler aHandler)
    : options(std::move(aOptions))
    , handler(std::move(aHandler))
    , runner(this->options, this->handler)
    , parking(kMaxHead,
              this->options.readTimeout,
              [this](auto aReady) { this->OnReady(std::move(aReady)); })
    , acceptor(this->options.address, this->options.port, [this](int aDescriptor) {
      this->OnAccepted(aDescriptor);
    })
  {
  }

  ~Impl()
  {
    this->acceptor.CloseGently(Clock::now());
    this->parking.Stop();
    this->CutServed();
    this->workers.reset();
  }

  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  Result<Done> Start()
  {
    this->workers =
      std::make_unique<Workers>(this->options.threads,
                                this->options.queue,
                                [this](auto aConnection) { this->Serve(std::move(aConnection)); });
    if (this->acceptor.Start()) {
      return Done{};
    }
    return Error{ ErrorKind::kUnavailable,
                  "expected to listen on " + this->options.address + ":" +
                    std::to_string(this->options.port) + ": " + std::strerror(errno),
                  "Choose an address of this VM and a free port." };
  }

  std::size_t Stop(milliseconds aLongest)
  {
    const auto start = Clock::now();
    const auto deadline = start + aLongest;
    this->runner.BeginDrain();
    this->acceptor.CloseGently(deadline);
    while (Clock::now() < deadline && this->HasWork()) {
      if (Clock::now() >= start + kIdleGrace) {
        this->parking.CloseIdle();
      }
      this->workers->WaitUntilFree(kStopStep);
      std::this_thread::sleep_for(milliseconds(1));
    }
    return this->runner.InFlight();
  }

  HttpServerOptions options;
  Handler handler;
  std::atomic<std::uint64_t> refused{ 0 };
  RequestRunner runner;
  std::mutex servedMutex;
  std::unordered_set<ServerConnection*> served;
  std::unique_ptr<Workers> workers;
  Parking parking;
  Acceptor acceptor;

private:
  bool HasWork() const
  {
    // In this order a connection on its way from the parking to the workers counts.
    return this->parking.Idle() > 0 || (this->workers && this->workers->Busy() > 0);
  }

  // Called on the acceptor's thread.
  void OnAccepted(int aDescriptor)
  {
    auto connection = std::make_unique<ServerConnection>(aDescriptor);
    if (this->parking.Size() >= kMaxConnections) {
      this->Refuse(std::move(connection));
    } else {
      this->Park(std::move(connection));
    }
  }

  void Park(std::unique_ptr<ServerConnection> aConnection)
  {
    aConnection->expiry = Clock::now() + this->options.keepAlive;
    this->parking.Park(std::move(aConnection));
  }

  // Called on the parking's thread.
  void OnReady(std::unique_ptr<ServerConnection> aConnection)
  {
    if (!this->workers->Offer(aConnection)) {
      this->Refuse(std::move(aConnection));
    }
  }

  void Refuse(std::unique_ptr<ServerConnection> aConnection)
  {
    ++this->refused;
    HttpHeaders headers = this->options.refusalHeaders;
    if (headers.CountOf("Retry-After") == 0) {
      headers.Add("Retry-After", "1");
    }
    const std::string text = RefusalText(kServiceUnavailable, headers);
    this->parking.CloseGently(std::move(aConnection), text);
  }

  // Called on a worker's thread.
  void Serve(std::unique_ptr<ServerConnection> aConnection)
  {
    this->Register(*aConnection);
    const Outcome outcome = this->runner.Serve(*aConnection);
    this->Unregister(*aConnection);
    if (outcome.step == NextStep::kPark) {
      this->Park(std::move(aConnection));
    } else if (outcome.step == NextStep::kCloseGently) {
      this->parking.CloseGently(std::move(aConnection), outcome.lastBytes);
    }
  }

  void Register(ServerConnection& aConnection)
  {
    const std::lock_guard guard(this->servedMutex);
    this->served.insert(&aConnection);
  }

  void Unregister(ServerConnection& aConnection)
  {
    const std::lock_guard guard(this->servedMutex);
    this->served.erase(&aConnection);
  }

  void CutServed()
  {
    const std::lock_guard guard(this->servedMutex);
    for (ServerConnection* connection : this->served) {
      connection->Cut();
    }
  }
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
  this->impl->runner.BeginDrain();
}

std::size_t
HttpServer::Stop(std::chrono::milliseconds aLongest)
{
  return this->impl->Stop(aLongest);
}

std::uint16_t
HttpServer::Port() const
{
  return this->impl->acceptor.Port();
}

std::size_t
HttpServer::InFlight() const
{
  return this->impl->runner.InFlight();
}

std::uint64_t
HttpServer::RefusedConnections() const
{
  return this->impl->refused;
}

} // namespace plantainhaven
