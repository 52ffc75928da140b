#include "callers.h"

#include "platform/names.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>
#include <utility>

namespace plantainhaven::soak {
namespace {

namespace asio = edge::asio;
namespace beast = edge::beast;
namespace http = beast::http;
using edge::Into;
using edge::Sleep;
using edge::Task;
using edge::Tcp;
using std::chrono::milliseconds;

constexpr milliseconds kLookupTime{ 1000 };
constexpr milliseconds kDeadline{ 2000 };
constexpr milliseconds kLongestPause{ 160 };
constexpr int kMostRequests = 30;

struct Kind
{
  const char* method;
  const char* path;
  const char* account;
  bool isIdempotent;
};
// Chosen with equal probability; the limited account sends more than its limit.
constexpr Kind kKinds[] = {
  { "POST", "/book/1", kFreeAccount, false },  { "POST", "/book/2?x=1", kFreeAccount, false },
  { "GET", "/page/1", kFreeAccount, true },    { "GET", "/page/2", kFreeAccount, true },
  { "GET", "/page/3", kLimitedAccount, true }, { "POST", "/book/3", kLimitedAccount, false },
};

} // namespace

Callers::Callers(asio::io_context& aContext,
                 std::vector<KnownVm> aVms,
                 Ledger& aLedger,
                 std::uint64_t aSeed)
  : context(aContext)
  , vms(std::move(aVms))
  , ledger(aLedger)
  , random(aSeed)
{
}

void
Callers::Start(int aCount)
{
  for (int i = 0; i < aCount; ++i) {
    asio::co_spawn(this->context, this->Run(i), asio::detached);
  }
}

const KnownVm*
Callers::VmAt(const std::string& aAddress) const
{
  for (const KnownVm& vm : this->vms) {
    if (aAddress == "127.0.0.1:" + std::to_string(vm.callers)) {
      return &vm;
    }
  }
  return nullptr;
}

Task<void>
Callers::Run(int aNumber)
{
  asio::steady_timer timer(this->context);
  const std::string region = this->vms[static_cast<std::size_t>(aNumber) % this->vms.size()].region;
  while (!this->isStopped) {
    const KnownVm& asked = this->vms[this->random() % this->vms.size()];
    const std::string address = co_await this->LookUp(asked, region);
    const KnownVm* const vm = this->VmAt(address);
    if (vm == nullptr) {
      co_await Sleep(timer, kLongestPause);
      continue;
    }
    co_await this->UseConnection(*vm);
  }
}

Task<std::string>
Callers::LookUp(const KnownVm& aVm, const std::string& aRegion)
{
  beast::tcp_stream stream(this->context);
  stream.expires_after(kLookupTime);
  beast::error_code fault;
  co_await stream.async_connect(Tcp::endpoint(asio::ip::address_v4::loopback(), aVm.lookups),
                                Into(fault));
  http::request<http::empty_body> request(http::verb::get,
                                          "/v1/resolve?name=soak.example&region=" + aRegion +
                                            "&zone=" + aRegion + "-a",
                                          11);
  request.set(http::field::host, "lookups");
  if (!fault) {
    co_await http::async_write(stream, request, Into(fault));
  }
  beast::flat_buffer buffer;
  http::response<http::string_body> response;
  if (!fault) {
    co_await http::async_read(stream, buffer, response, Into(fault));
  }
  if (fault || response.result_int() != 200) {
    co_return std::string();
  }
  const auto json = nlohmann::json::parse(response.body(), nullptr, false);
  const auto addresses = json.value("addresses", std::vector<std::string>());
  co_return addresses.empty() ? std::string() : addresses[this->random() % addresses.size()];
}

Task<void>
Callers::UseConnection(const KnownVm& aVm)
{
  beast::tcp_stream stream(this->context);
  stream.expires_after(kLookupTime);
  beast::error_code fault;
  co_await stream.async_connect(Tcp::endpoint(asio::ip::address_v4::loopback(), aVm.callers),
                                Into(fault));
  beast::flat_buffer buffer;
  asio::steady_timer timer(this->context);
  const auto count = 1 + this->random() % kMostRequests;
  for (std::uint64_t i = 0; i < count && !fault && !this->isStopped; ++i) {
    const bool isOpen = co_await this->SendRequest(stream, buffer, aVm.name);
    if (!isOpen) {
      break;
    }
    co_await Sleep(timer, milliseconds(this->random() % kLongestPause.count()));
  }
}

Task<bool>
Callers::SendRequest(beast::tcp_stream& aStream,
                     beast::flat_buffer& aBuffer,
                     const std::string& aVm)
{
  const Kind& kind = kKinds[this->random() % std::size(kKinds)];
  const std::string id = "r" + std::to_string(this->nextId++);
  http::request<http::string_body> request;
  request.method_string(kind.method);
  request.target(kind.path);
  request.version(11);
  request.set(http::field::host, "soak.example");
  request.set(platform::kRequestIdHeader, id);
  request.set(platform::kDeadlineHeader, std::to_string(kDeadline.count()));
  request.set(platform::kAffinityKeyHeader, std::to_string(this->random() % 50));
  request.set(http::field::authorization,
              std::string(platform::kKeyScheme) + "key-" + kind.account);
  if (!kind.isIdempotent) {
    request.body() = "body of " + id;
  }
  request.prepare_payload();
  this->ledger.OnSent(
    id, { aVm, kind.method, kind.path, kind.account, kind.isIdempotent, BootClock::Now() });
  aStream.expires_after(kDeadline + milliseconds(1500));
  beast::error_code fault;
  co_await http::async_write(aStream, request, Into(fault));
  http::response<http::string_body> response;
  if (!fault) {
    co_await http::async_read(aStream, aBuffer, response, Into(fault));
  }
  ReceivedResponse got;
  got.at = BootClock::Now();
  if (!fault) {
    got.status = response.result_int();
    got.body = response.body();
    got.isSigned = response.find(platform::kSignatureHeader) != response.end();
  }
  this->ledger.OnResponse(id, std::move(got));
  co_return !fault && response.keep_alive();
}

} // namespace plantainhaven::soak
