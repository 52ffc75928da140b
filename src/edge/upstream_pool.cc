#include "edge/upstream_pool.h"

#include <algorithm>
#include <cerrno>
#include <sys/socket.h>
#include <utility>

namespace plantainhaven::edge {
namespace {

// Idle connections kept per server; more than a VM's typical share of a server's slots.
constexpr std::size_t kMaxIdlePerServer = 16;

// True when the connection is open and has no bytes to read. Bytes received while no request is in
// flight belong to no request, so such a connection can't be reused.
bool
IsOpenAndEmpty(Upstream& aUpstream)
{
  char byte = 0;
  const auto size =
    ::recv(aUpstream.stream.socket().native_handle(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
  return size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

bool
IsWithinIdleLimit(const Upstream& aUpstream, std::chrono::milliseconds aMaxIdle, BootTime aNow)
{
  return aNow - aUpstream.idleSince <= std::min(aMaxIdle, aUpstream.idleLimit);
}

} // namespace

UpstreamPtr
UpstreamPool::Acquire(const std::string& aServer, std::chrono::milliseconds aMaxIdle)
{
  const auto found = this->idle.find(aServer);
  const BootTime now = BootClock::Now();
  while (found != this->idle.end() && !found->second.empty()) {
    UpstreamPtr upstream = std::move(found->second.back());
    found->second.pop_back();
    if (IsWithinIdleLimit(*upstream, aMaxIdle, now) && IsOpenAndEmpty(*upstream)) {
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
  if (connections.size() < kMaxIdlePerServer) {
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
