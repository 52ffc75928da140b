#pragma once

#include "plantainhaven/common/result.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include <google/protobuf/message_lite.h>
#include <zmq.hpp>

namespace plantainhaven {

// Options that differ between sockets.
struct ZmqSocketOptions
{
  // High-water mark: maximum number of messages queued in each direction.
  int queue = 64;
  // Maximum size of a received message; a larger one closes its connection.
  std::int64_t maxMessageBytes = 0;
  // Initial reconnect backoff; it doubles up to kMaxReconnectInterval.
  std::chrono::milliseconds reconnect{ 100 };
};

// Opens a socket that doesn't delay process exit (no linger), queues messages only for
// established connections and uses TCP keep-alive. Throws zmq::error_t.
zmq::socket_t
OpenZmqSocket(zmq::context_t& aContext, zmq::socket_type aType, const ZmqSocketOptions& aOptions);

// "tcp://ADDRESS:PORT", with brackets around an IPv6 address.
std::string
TcpEndpoint(const std::string& aAddress, std::uint16_t aPort);

// Returns true for "tcp://" followed by an IP address and a port. Host names, which would
// need a resolver, and other transports are rejected, since endpoints come from other VMs.
bool
IsTcpEndpoint(const std::string& aEndpoint);

// Binds a socket; returns kUnavailable when the address can't be bound.
Result<Done>
BindTcp(zmq::socket_t& aSocket, const std::string& aAddress, std::uint16_t aPort);

// Waits until a message can be read, at most `aTimeout`.
bool
WaitReadable(zmq::socket_t& aSocket, std::chrono::milliseconds aTimeout);

// Reads all parts of the next message; returns an empty vector when none is queued.
std::vector<zmq::message_t>
ReceiveParts(zmq::socket_t& aSocket);

// Parses a message part; returns false when it is malformed.
bool
ParsePart(const zmq::message_t& aPart, google::protobuf::MessageLite& aMessage);

// Serializes a message into a message part.
zmq::message_t
ToPart(const google::protobuf::MessageLite& aMessage);

} // namespace plantainhaven
