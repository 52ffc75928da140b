#include "edge/upstream_pool.h"

#include <algorithm>
#include <cerrno>
#include <sys/socket.h>
#include <utility>

namespace plantainhaven::edge {
namespace {

// Idle connections kept per server; more than a VM's typical share of a server's slots.
constexpr std::size_t kMostIdle = 16;

// True when the connection is open and has no bytes to read. Bytes received while no request is in
// flight belong to no request, so such a connection can't be reused.
bool
IsQuiet(Upstream& aUpstream)
{
  char byte = 0;
  const auto size =
    ::recv(aUpstream.stream.socket().native_handle(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
  return size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

bool
IsFresh(const Upstream& aUpstream, std::chrono::milliseconds aLongestIdle, BootTime aNow)
{
  return aNow - aUpstream.idleSince <= std::min(aLongestIdle, aUpstream.idleLimit);
}

} // namespace

UpstreamPtr
UpstreamPool::Take(const std::string& aServer, std::chrono::milliseconds aLongestIdle)
{
  const auto found = this->idle.find(aServer);
  const BootTime now = BootClock::Now();
  while (found != this->idle.end() && !found->second.empty()) {
    UpstreamPtr upstream = std::move(found->second.back());
    found->second.pop_back();
    if (IsFresh(*upstream, aLongestIdle, now) && IsQuiet(*upstream)) {
      upstream->isReused = true;
      return upstream;
    }
  }
  return nullptr;
}

void
UpstreamPool::Put(const std::string& aServer, UpstreamPtr aUpstream)
{
  aUpstream->idleSince = BootClock::Now();
  std::vector<UpstreamPtr>& connections = this->idle[aServer];
  if (connections.size() < kMostIdle) {
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
      return !IsFresh(*aUpstream, aUpstream->idleLimit, now);
    });
  }
}

} // namespace plantainhaven::edge
