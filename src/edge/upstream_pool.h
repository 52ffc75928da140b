#pragma once

#include "edge/names.h"
#include "edge/net.h"
#include "plantainhaven/policy/placing/routing.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <cstddef>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace plantainhaven::edge {

// A connection to a backend server.
struct Upstream
{
  explicit Upstream(asio::io_context& aContext)
    : stream(aContext)
  {
  }

  beast::tcp_stream stream;
  beast::flat_buffer buffer{ kMaxBufferBytes };
  // The connection has served an earlier request.
  bool isReused = false;
  BootTime idleSince{};
  // The server may close the connection when it has been idle for longer.
  std::chrono::milliseconds idleLimit{ 0 };
};

using UpstreamPtr = std::shared_ptr<Upstream>;

// Sets the options of a connection that was just opened.
void
PrepareUpstream(Upstream& aUpstream);

// Idle connections, by the backend server or the relaying VM at their other end. Not thread-safe:
// used from the traffic thread only.
class UpstreamPool
{
public:
  // Keeps at most `aMaxIdle` idle connections per server.
  explicit UpstreamPool(std::size_t aMaxIdle)
    : maxIdle(aMaxIdle)
  {
  }

  // Removes and returns the most recently used connection that is still open and has been idle for
  // at most `aMaxIdle`; null when there is none, or when `aMaxIdle` is zero.
  UpstreamPtr Acquire(const std::string& aServer, std::chrono::milliseconds aMaxIdle);
  void Release(const std::string& aServer, UpstreamPtr aUpstream);
  // Closes the idle connections to the server.
  void Close(const std::string& aServer) { this->idle.erase(aServer); }
  // Closes the connections to all servers that aren't in `aServers`.
  void KeepOnly(const std::set<std::string>& aServers);
  // Closes the connections whose idle limit has passed, before their servers close them.
  void CloseExpired();

private:
  std::size_t maxIdle;
  std::map<std::string, std::vector<UpstreamPtr>> idle;
};

} // namespace plantainhaven::edge
