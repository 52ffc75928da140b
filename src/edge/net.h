#pragma once

// Asio 1.74 needs <utility> before its coroutine headers with g++ 12.
#include <utility>

#include "plantainhaven/common/time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/error.hpp>
#include <chrono>
#include <string>

namespace plantainhaven::edge {

namespace asio = boost::asio;
namespace beast = boost::beast;
using Tcp = asio::ip::tcp;
template<typename T>
using Task = asio::awaitable<T>;

// Completion token that stores the error in `aFault`.
inline auto
Into(beast::error_code& aFault)
{
  return asio::redirect_error(asio::use_awaitable, aFault);
}

// Waits; ends early when the timer is cancelled.
inline Task<void>
Sleep(asio::steady_timer& aTimer, std::chrono::milliseconds aTime)
{
  beast::error_code ignored;
  aTimer.expires_after(aTime);
  co_await aTimer.async_wait(Into(ignored));
}

// "IP:PORT" as an endpoint; port 0 when it can't be read.
inline Tcp::endpoint
ToEndpoint(const std::string& aText)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string::npos) {
    return {};
  }
  beast::error_code fault;
  const auto ip = asio::ip::make_address(aText.substr(0, colon), fault);
  const int port = std::atoi(aText.c_str() + colon + 1);
  return fault ? Tcp::endpoint() : Tcp::endpoint(ip, static_cast<unsigned short>(port));
}

// Opens a listener; throws boost::system::system_error when the address can't be had.
inline Tcp::acceptor
Listen(asio::io_context& aContext, const Tcp::endpoint& aEndpoint)
{
  Tcp::acceptor acceptor(aContext);
  acceptor.open(aEndpoint.protocol());
  acceptor.set_option(Tcp::acceptor::reuse_address(true));
  acceptor.bind(aEndpoint);
  acceptor.listen(1024);
  return acceptor;
}

inline std::chrono::milliseconds
ToMilliseconds(BootClock::duration aTime)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aTime);
}

} // namespace plantainhaven::edge
