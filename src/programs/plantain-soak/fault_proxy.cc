#include "fault_proxy.h"

#include "edge/net.h"

#include <array>
#include <boost/asio/write.hpp>
#include <set>
#include <utility>

namespace plantainhaven::soak {
namespace {

namespace asio = edge::asio;
namespace beast = edge::beast;
using edge::Into;
using edge::Sleep;
using edge::Task;
using edge::Tcp;

struct ProxiedConnection
{
  explicit ProxiedConnection(Tcp::socket aCaller)
    : caller(std::move(aCaller))
    , target(this->caller.get_executor())
  {
  }
  void Close()
  {
    beast::error_code ignored;
    this->caller.close(ignored);
    this->target.close(ignored);
  }
  void Reset()
  {
    beast::error_code ignored;
    this->caller.set_option(asio::socket_base::linger(true, 0), ignored);
    this->target.set_option(asio::socket_base::linger(true, 0), ignored);
    this->Close();
  }

  Tcp::socket caller;
  Tcp::socket target;
  bool hasLostBytes = false;
};

} // namespace

struct FaultProxy::Impl : std::enable_shared_from_this<FaultProxy::Impl>
{
  Impl(asio::io_context& aContext, std::uint16_t aTarget)
    : context(aContext)
    , acceptor(edge::Listen(aContext, { asio::ip::address_v4::loopback(), 0 }))
    , target(asio::ip::address_v4::loopback(), aTarget)
  {
  }

  Task<void> Accept();
  Task<void> Serve(std::shared_ptr<ProxiedConnection> aPair);
  Task<void> Forward(std::shared_ptr<ProxiedConnection> aPair, bool aIsUp);
  bool DropsBytes(bool aIsUp) const
  {
    return this->linkFault == LinkFault::kDropBoth ||
           this->linkFault == (aIsUp ? LinkFault::kDropToTarget : LinkFault::kDropFromTarget);
  }

  asio::io_context& context;
  Tcp::acceptor acceptor;
  Tcp::endpoint target;
  LinkFault linkFault = LinkFault::kNone;
  std::chrono::milliseconds delay{ 0 };
  std::set<std::shared_ptr<ProxiedConnection>> pairs;
};

Task<void>
FaultProxy::Impl::Forward(std::shared_ptr<ProxiedConnection> aPair, bool aIsUp)
{
  const auto self = this->shared_from_this();
  Tcp::socket& from = aIsUp ? aPair->caller : aPair->target;
  Tcp::socket& to = aIsUp ? aPair->target : aPair->caller;
  std::array<char, 16384> bytes{};
  beast::error_code fault;
  asio::steady_timer timer(this->context);
  while (!fault) {
    const std::size_t size = co_await from.async_read_some(asio::buffer(bytes), Into(fault));
    if (fault) {
      break;
    }
    if (this->linkFault == LinkFault::kDelayed) {
      co_await Sleep(timer, this->delay);
    }
    aPair->hasLostBytes = aPair->hasLostBytes || this->DropsBytes(aIsUp);
    if (!aPair->hasLostBytes) {
      co_await asio::async_write(to, asio::buffer(bytes.data(), size), Into(fault));
    }
  }
  // A link that drops bytes doesn't forward the end of the connection either.
  if (!this->DropsBytes(aIsUp) && !aPair->hasLostBytes) {
    aPair->Close();
  }
  this->pairs.erase(aPair);
}

Task<void>
FaultProxy::Impl::Serve(std::shared_ptr<ProxiedConnection> aPair)
{
  const auto self = this->shared_from_this();
  if (this->linkFault == LinkFault::kReset) {
    aPair->Reset();
    co_return;
  }
  beast::error_code fault;
  co_await aPair->target.async_connect(this->target, Into(fault));
  if (fault) {
    aPair->Reset();
    co_return;
  }
  this->pairs.insert(aPair);
  asio::co_spawn(this->context, this->Forward(aPair, true), asio::detached);
  asio::co_spawn(this->context, this->Forward(aPair, false), asio::detached);
}

Task<void>
FaultProxy::Impl::Accept()
{
  const auto self = this->shared_from_this();
  beast::error_code fault;
  while (this->acceptor.is_open()) {
    Tcp::socket socket(this->context);
    co_await this->acceptor.async_accept(socket, Into(fault));
    if (!fault) {
      const auto pair = std::make_shared<ProxiedConnection>(std::move(socket));
      asio::co_spawn(this->context, this->Serve(pair), asio::detached);
    }
  }
}

FaultProxy::FaultProxy(asio::io_context& aContext, std::uint16_t aTarget)
  : impl(std::make_shared<Impl>(aContext, aTarget))
{
  asio::co_spawn(aContext, this->impl->Accept(), asio::detached);
}

FaultProxy::~FaultProxy()
{
  beast::error_code ignored;
  this->impl->acceptor.close(ignored);
  for (const auto& pair : this->impl->pairs) {
    pair->Close();
  }
}

std::uint16_t
FaultProxy::Port() const
{
  return this->impl->acceptor.local_endpoint().port();
}

void
FaultProxy::SetFault(LinkFault aFault, std::chrono::milliseconds aDelay)
{
  this->impl->linkFault = aFault;
  this->impl->delay = aDelay;
  if (aFault == LinkFault::kReset) {
    for (const auto& pair : this->impl->pairs) {
      pair->Reset();
    }
  }
}

} // namespace plantainhaven::soak
