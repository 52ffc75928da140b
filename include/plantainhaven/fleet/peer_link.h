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
// delayed, duplicated or reordered, and the protocols above must tolerate that.
class PeerLink
{
public:
  virtual ~PeerLink() = default;

  // Queues a message to "tcp://ADDRESS:PORT". Never blocks; a full queue drops it
  // and returns false.
  virtual bool Send(const std::string& aEndpoint, const Envelope& aMessage) = 0;
  // Returns the next message, or nullopt after `aTimeout`. Drops malformed messages.
  virtual std::optional<Envelope> Receive(std::chrono::milliseconds aTimeout) = 0;
  // Drops the connection to an endpoint; the next Send opens a new one.
  virtual void Reset(const std::string& aEndpoint) = 0;
};

// PeerLink over ZeroMQ: one PULL socket for all incoming messages, one PUSH socket per
// endpoint. Must be used from one thread.
class ZmqPeerLink : public PeerLink
{
public:
  ZmqPeerLink();
  ~ZmqPeerLink() override;

  // Starts to listen on an address; returns kUnavailable when it can't be bound.
  Result<Done> Bind(const std::string& aAddress, std::uint16_t aPort);

  bool Send(const std::string& aEndpoint, const Envelope& aMessage) override;
  std::optional<Envelope> Receive(std::chrono::milliseconds aTimeout) override;
  void Reset(const std::string& aEndpoint) override;

  // Bytes sent and received, for capacity planning.
  std::uint64_t BytesSent() const;
  std::uint64_t BytesReceived() const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace plantainhaven
