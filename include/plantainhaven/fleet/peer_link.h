#pragma once

#include "plantainhaven/common/result.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "peer.pb.h"

namespace plantainhaven {

// Carries envelopes between VMs. Sending is best effort: a message may be lost,
// delayed, duplicated or reordered, and every protocol above expects that.
class PeerLink
{
public:
  virtual ~PeerLink() = default;

  // Queues a message to "tcp://ADDRESS:PORT". Never blocks; a full queue drops it
  // and returns false.
  virtual bool Send(const std::string& aEndpoint, const Envelope& aMessage) = 0;
  // The next message, or nothing after `aTimeout`. Malformed messages are dropped.
  virtual std::optional<Envelope> Receive(std::chrono::milliseconds aTimeout) = 0;
  // Drops the connection to an endpoint; the next Send opens a new one.
  virtual void Reset(const std::string& aEndpoint) = 0;
};

// PeerLink over ZeroMQ: one PULL socket for all that arrives, one PUSH socket per
// endpoint. Must be used from one thread.
class ZmqPeerLink : public PeerLink
{
public:
  ZmqPeerLink();
  ~ZmqPeerLink() override;

  // Begins to hear messages on an address.
  Result<Done> Bind(const std::string& aAddress, std::uint16_t aPort);

  bool Send(const std::string& aEndpoint, const Envelope& aMessage) override;
  std::optional<Envelope> Receive(std::chrono::milliseconds aTimeout) override;
  void Reset(const std::string& aEndpoint) override;

  // Bytes sent and received, for the capacity page.
  std::uint64_t BytesSent() const;
  std::uint64_t BytesReceived() const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace plantainhaven
