#include "plantainhaven/standin/server_standin.h"

#include "edge/net.h"
#include "platform/names.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

namespace plantainhaven::standin {
namespace {

namespace asio = edge::asio;
namespace beast = edge::beast;
namespace http = beast::http;
using edge::Into;
using edge::Sleep;
using edge::Task;
using edge::Tcp;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

constexpr std::uint64_t kMostBodyBytes = 16 << 20;
constexpr std::chrono::seconds kKeepAlive{ 5 };

bool
IsDue(int aEvery, int aCount)
{
  return aEvery > 0 && aCount % aEvery == 0;
}

std::string
Field(const Request& aRequest, const char* aName)
{
  const auto value = aRequest[aName];
  return { value.data(), value.size() };
}

} // namespace

struct ServerStandin::Impl : std::enable_shared_from_this<ServerStandin::Impl>
{
  Impl(asio::io_context& aContext, ServerOptions aOptions, OnRun aOnRun)
    : context(aContext)
    , options(std::move(aOptions))
    , onRun(std::move(aOnRun))
    , acceptor(edge::Listen(aContext, { asio::ip::make_address(this->options.address), 0 }))
    , bornUnixMs(std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
                   .count())
  {
  }

  Task<void> Accept();
  Task<void> Serve(std::shared_ptr<beast::tcp_stream> aStream);
  // Returns the response, or nothing when the connection must close without one.
  Task<std::optional<Response>> Answer(const Request& aRequest);
  Response MakeResponse(const Request& aRequest, unsigned aStatus) const;
  Response NotRun(const Request& aRequest, unsigned aStatus) const;

  asio::io_context& context;
  ServerOptions options;
  OnRun onRun;
  Tcp::acceptor acceptor;
  std::int64_t bornUnixMs;
  std::int64_t sequence = 0;
  std::set<std::shared_ptr<beast::tcp_stream>> open;
  ServerFaults faults;
  std::optional<double> limit;
  int running = 0;
  int count = 0;
  bool isEnded = false;
};

Response
ServerStandin::Impl::MakeResponse(const Request& aRequest, unsigned aStatus) const
{
  Response response;
  response.result(aStatus);
  response.version(11);
  response.set(platform::kRequestIdHeader, Field(aRequest, platform::kRequestIdHeader));
  response.set(platform::kLoadHeader,
               std::to_string(this->running) + ",0," + std::to_string(this->options.slots));
  if (this->limit) {
    response.set(platform::kRateLimitHeader, std::to_string(*this->limit));
  }
  response.set(http::field::keep_alive, "timeout=" + std::to_string(kKeepAlive.count()));
  response.keep_alive(aRequest.keep_alive());
  return response;
}

Response
ServerStandin::Impl::NotRun(const Request& aRequest, unsigned aStatus) const
{
  Response response = this->MakeResponse(aRequest, aStatus);
  response.set(platform::kNotExecutedHeader, "1");
  response.prepare_payload();
  return response;
}

Task<std::optional<Response>>
ServerStandin::Impl::Answer(const Request& aRequest)
{
  if (Field(aRequest, platform::kTargetHeader) != this->options.id) {
    co_return this->NotRun(aRequest, 421);
  }
  const int number = ++this->count;
  if (this->running >= this->options.slots || IsDue(this->faults.shedEvery, number)) {
    co_return this->NotRun(aRequest, 503);
  }
  const std::string id = Field(aRequest, platform::kRequestIdHeader);
  this->onRun({ this->options.id,
                id,
                std::string(aRequest.method_string()),
                std::string(aRequest.target()),
                Field(aRequest, platform::kAccountHeader),
                aRequest.find(http::field::authorization) != aRequest.end(),
                this->limit.has_value() });
  ++this->running;
  asio::steady_timer timer(this->context);
  co_await Sleep(timer, this->options.work + this->faults.extraLatency);
  --this->running;
  if (this->isEnded || IsDue(this->faults.dropResponseEvery, number)) {
    co_return std::nullopt;
  }
  const unsigned status = IsDue(this->faults.failEvery, number) ? 500 : 200;
  Response response = this->MakeResponse(aRequest, status);
  response.set(platform::kSignatureHeader, "standin." + this->options.id);
  response.body() = this->options.id + " " + id;
  response.prepare_payload();
  co_return response;
}

Task<void>
ServerStandin::Impl::Serve(std::shared_ptr<beast::tcp_stream> aStream)
{
  const auto self = this->shared_from_this();
  beast::flat_buffer buffer;
  beast::error_code fault;
  while (!fault && !this->isEnded) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(kMostBodyBytes);
    co_await http::async_read(*aStream, buffer, parser, Into(fault));
    if (fault) {
      break;
    }
    const Request request = parser.release();
    const std::optional<Response> response = co_await this->Answer(request);
    if (!response || this->isEnded) {
      break;
    }
    if (IsDue(this->faults.malformedResponseEvery, this->count)) {
      co_await asio::async_write(
        *aStream, asio::buffer("no response at all\r\n\r\n", 22), Into(fault));
      break;
    }
    co_await http::async_write(*aStream, *response, Into(fault));
  }
  aStream->close();
  this->open.erase(aStream);
}

Task<void>
ServerStandin::Impl::Accept()
{
  const auto self = this->shared_from_this();
  beast::error_code fault;
  while (this->acceptor.is_open()) {
    Tcp::socket socket(this->context);
    co_await this->acceptor.async_accept(socket, Into(fault));
    if (!fault) {
      const auto stream = std::make_shared<beast::tcp_stream>(std::move(socket));
      this->open.insert(stream);
      asio::co_spawn(this->context, this->Serve(stream), asio::detached);
    }
  }
}

ServerStandin::ServerStandin(asio::io_context& aContext, ServerOptions aOptions, OnRun aOnRun)
  : impl(std::make_shared<Impl>(aContext, std::move(aOptions), std::move(aOnRun)))
{
  asio::co_spawn(aContext, this->impl->Accept(), asio::detached);
}

ServerStandin::~ServerStandin()
{
  this->impl->isEnded = true;
  beast::error_code ignored;
  this->impl->acceptor.close(ignored);
  for (const auto& stream : this->impl->open) {
    stream->close();
  }
}

std::uint16_t
ServerStandin::Port() const
{
  return this->impl->acceptor.local_endpoint().port();
}

const std::string&
ServerStandin::Id() const
{
  return this->impl->options.id;
}

void
ServerStandin::SetFaults(const ServerFaults& aFaults)
{
  this->impl->faults = aFaults;
}

void
ServerStandin::SetLimit(std::optional<double> aRate)
{
  this->impl->limit = aRate;
}

std::string
ServerStandin::Report(std::uint16_t aPort, bool aIsDraining)
{
  const ServerOptions& options = this->impl->options;
  const nlohmann::json report{ { "service", options.service },
                               { "address", options.address + ":" + std::to_string(aPort) },
                               { "zone", options.failureDomain },
                               { "version", "1" },
                               { "max_concurrency", options.slots },
                               { "state", aIsDraining ? "draining" : "ready" },
                               { "warmup_left_ms", 0 },
                               { "sequence", ++this->impl->sequence },
                               { "born", this->impl->bornUnixMs } };
  return report.dump();
}

} // namespace plantainhaven::standin
