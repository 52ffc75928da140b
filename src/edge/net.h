#pragma once

// With g++ 12, Asio 1.74 requires <utility> before its coroutine headers.
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
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace plantainhaven::edge {

namespace asio = boost::asio;
namespace beast = boost::beast;
using Tcp = asio::ip::tcp;
template<typename T>
using Task = asio::awaitable<T>;

// Completion token for coroutines that stores the error in `aFault` instead of throwing.
inline auto
Into(beast::error_code& aFault)
{
  return asio::redirect_error(asio::use_awaitable, aFault);
}

// Waits for `aTime`, or until the timer is cancelled.
inline Task<void>
Sleep(asio::steady_timer& aTimer, std::chrono::milliseconds aTime)
{
  beast::error_code ignored;
  aTimer.expires_after(aTime);
  co_await aTimer.async_wait(Into(ignored));
}

// Parses "IP:PORT". Returns an endpoint with port 0 when the text is invalid.
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

// Opens a listening socket. Throws boost::system::system_error when the address can't be bound.
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

// Listens at the first free port from `aPorts.front()` to `aPorts.back()` that isn't in
// `aReserved`, or at one that the operating system chooses if `aPorts` is empty. Returns nothing
// when the address is invalid or no port is free.
inline std::optional<Tcp::acceptor>
ListenInRange(asio::io_context& aContext,
              const std::string& aAddress,
              const std::vector<std::uint32_t>& aPorts,
              const std::set<std::uint32_t>& aReserved)
{
  const std::uint32_t first = aPorts.empty() ? 0 : aPorts.front();
  const std::uint32_t last = aPorts.empty() ? 0 : aPorts.back();
  beast::error_code fault;
  const auto address = asio::ip::make_address(aAddress, fault);
  for (std::uint32_t port = first; !fault && port <= last; ++port) {
    if (port != 0 && aReserved.contains(port)) {
      continue;
    }
    try {
      return Listen(aContext, { address, static_cast<unsigned short>(port) });
    } catch (const boost::system::system_error&) {
      // The port is taken; the next one may be free.
      continue;
    }
  }
  return std::nullopt;
}

inline std::chrono::milliseconds
ToMilliseconds(BootClock::duration aTime)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aTime);
}

// Most bytes of a connection that are buffered before they are parsed, beyond the head. The parser
// doesn't bound the lines of chunk headers and trailers.
inline constexpr std::size_t kMaxBufferBytes = 128 << 10;

} // namespace plantainhaven::edge
