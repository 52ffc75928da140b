#pragma once

#include "plantainhaven/fleet/peer_link.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace plantainhaven {

constexpr const char* kLoopback = "127.0.0.1";

inline sockaddr_in
LoopbackAddress(std::uint16_t aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  inet_pton(AF_INET, kLoopback, &address.sin_addr);
  return address;
}

// A listening TCP socket on loopback that never accepts or reads: connections to it
// look open and stay silent.
class SilentListener
{
public:
  explicit SilentListener(std::uint16_t aPort = 0)
    : descriptor(socket(AF_INET, SOCK_STREAM, 0))
  {
    const int yes = 1;
    setsockopt(this->descriptor, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    sockaddr_in address = LoopbackAddress(aPort);
    socklen_t size = sizeof(address);
    auto* const generic = reinterpret_cast<sockaddr*>(&address);
    if (bind(this->descriptor, generic, size) != 0 || listen(this->descriptor, 16) != 0) {
      throw std::runtime_error("no port on loopback");
    }
    getsockname(this->descriptor, generic, &size);
    this->port = ntohs(address.sin_port);
  }
  ~SilentListener() { close(this->descriptor); }
  SilentListener(const SilentListener&) = delete;
  SilentListener& operator=(const SilentListener&) = delete;

  std::uint16_t Port() const { return this->port; }
  int Descriptor() const { return this->descriptor; }

private:
  int descriptor;
  std::uint16_t port = 0;
};

// A port that nobody uses now.
inline std::uint16_t
FreePort()
{
  return SilentListener().Port();
}

inline std::string
LoopbackEndpoint(std::uint16_t aPort)
{
  return std::string("tcp://") + kLoopback + ":" + std::to_string(aPort);
}

// Repeats a step until it holds; false after two thousand tries.
inline bool
Eventually(const std::function<bool()>& aStep)
{
  constexpr int kTries = 2000;
  for (int i = 0; i < kTries; ++i) {
    if (aStep()) {
      return true;
    }
    usleep(5000);
  }
  return false;
}

// A network in memory. Every message passes `rule`, which says what becomes of it.
class MemoryNetwork
{
public:
  enum class Fate
  {
    kDeliver,
    kLose,
    kDuplicate,
    kOvertake, // Delivered ahead of what waits.
  };
  std::function<Fate(const Envelope&)> rule = [](const Envelope&) { return Fate::kDeliver; };
  std::map<std::string, std::vector<Envelope>> queues;
};

// PeerLink over a MemoryNetwork; never waits.
class MemoryPeerLink : public PeerLink
{
public:
  MemoryPeerLink(MemoryNetwork& aNetwork, std::string aEndpoint)
    : network(aNetwork)
    , endpoint(std::move(aEndpoint))
  {
    this->network.queues[this->endpoint];
  }

  bool Send(const std::string& aEndpoint, const Envelope& aMessage) override
  {
    const auto found = this->network.queues.find(aEndpoint);
    if (found == this->network.queues.end()) {
      return false;
    }
    std::vector<Envelope>& queue = found->second;
    const MemoryNetwork::Fate fate = this->network.rule(aMessage);
    const std::size_t copies = fate == MemoryNetwork::Fate::kLose        ? 0
                               : fate == MemoryNetwork::Fate::kDuplicate ? 2
                                                                         : 1;
    const bool ahead = fate == MemoryNetwork::Fate::kOvertake;
    queue.insert(ahead ? queue.begin() : queue.end(), copies, aMessage);
    return true;
  }

  std::optional<Envelope> Receive(std::chrono::milliseconds) override
  {
    std::vector<Envelope>& queue = this->network.queues[this->endpoint];
    if (queue.empty()) {
      return std::nullopt;
    }
    Envelope first = queue.front();
    queue.erase(queue.begin());
    return first;
  }

  void Reset(const std::string&) override {}

private:
  MemoryNetwork& network;
  std::string endpoint;
};

} // namespace plantainhaven
