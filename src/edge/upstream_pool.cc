#include "edge/upstream_pool.h"

#include "wire/client_stream.h"

#include <algorithm>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <utility>

namespace plantainhaven::edge {
namespace {

// A connection is closed when sent bytes stay unacknowledged for this long, as in a network
// partition or after a host failure. TCP applies it to keep-alive probes as well.
constexpr std::chrono::milliseconds kUserTimeout{ 3000 };

bool
IsWithinIdleLimit(const Upstream& aUpstream, std::chrono::milliseconds aMaxIdle, BootTime aNow)
{
  return aNow - aUpstream.idleSince <= std::min(aMaxIdle, aUpstream.idleLimit);
}

} // namespace

void
PrepareUpstream(Upstream& aUpstream)
{
  Tcp::socket& socket = aUpstream.stream.socket();
  beast::error_code ignored;
  socket.set_option(Tcp::no_delay(true), ignored);
  const auto timeout = static_cast<unsigned>(kUserTimeout.count());
  ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
}

UpstreamPtr
UpstreamPool::Acquire(const std::string& aServer, std::chrono::milliseconds aMaxIdle)
{
  if (aMaxIdle == std::chrono::milliseconds(0)) {
    return nullptr;
  }
  const auto found = this->idle.find(aServer);
  const BootTime now = BootClock::Now();
  while (found != this->idle.end() && !found->second.empty()) {
    UpstreamPtr upstream = std::move(found->second.back());
    found->second.pop_back();
    if (IsWithinIdleLimit(*upstream, aMaxIdle, now) && wire::IsOpenAndEmpty(upstream->stream)) {
      upstream->isReused = true;
      return upstream;
    }
  }
  return nullptr;
}

void
UpstreamPool::Release(const std::string& aServer, UpstreamPtr aUpstream)
{
  aUpstream->idleSince = BootClock::Now();
  std::vector<UpstreamPtr>& connections = this->idle[aServer];
  if (connections.size() < this->maxIdle) {
    connections.push_back(std::move(aUpstream));
  }
}

void
UpstreamPool::KeepOnly(const std::set<std::string>& aServers)
{
  std::erase_if(this->idle,
                [&aServers](const auto& aEntry) { return !aServers.contains(aEntry.first); });
}

void
UpstreamPool::CloseExpired()
{
  const BootTime now = BootClock::Now();
  for (auto& [server, connections] : this->idle) {
    std::erase_if(connections, [now](const UpstreamPtr& aUpstream) {
      return !IsWithinIdleLimit(*aUpstream, aUpstream->idleLimit, now);
    });
  }
}

} // namespace plantainhaven::edge
