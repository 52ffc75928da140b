#pragma once

#include "plantainhaven/common/result.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include <google/protobuf/message_lite.h>
#include <zmq.hpp>

namespace plantainhaven {

// Options that differ from socket to socket; the others are the same for all.
struct ZmqSocketOptions
{
  // Messages that may wait in each direction before more are dropped.
  int queue = 64;
  // A larger message closes the connection that brings it.
  std::int64_t maxMessageBytes = 0;
  // First wait before a lost connection is opened again; it doubles up to kMaxReconnect.
  std::chrono::milliseconds reconnect{ 100 };
};

// Opens a socket that never keeps a process from ending, queues only to connections
// that stand, and watches them with TCP keep-alive. Throws zmq::error_t.
zmq::socket_t
OpenZmqSocket(zmq::context_t& aContext, zmq::socket_type aType, const ZmqSocketOptions& aOptions);

// "tcp://ADDRESS:PORT", with brackets around an IPv6 address.
std::string
TcpEndpoint(const std::string& aAddress, std::uint16_t aPort);

// True for "tcp://" followed by an IP number and a port. Names, which would need a
// resolver, and other transports are refused, since endpoints come from other VMs.
bool
IsTcpEndpoint(const std::string& aEndpoint);

// Binds a socket; kUnavailable when the address can't be had.
Result<Done>
BindTcp(zmq::socket_t& aSocket, const std::string& aAddress, std::uint16_t aPort);

// Waits until a message can be read, at most `aTimeout`.
bool
WaitReadable(zmq::socket_t& aSocket, std::chrono::milliseconds aTimeout);

// Reads every part of the next message; empty when none waits.
std::vector<zmq::message_t>
ReceiveParts(zmq::socket_t& aSocket);

// Parses a part; false when the bytes aren't such a message.
bool
ParsePart(const zmq::message_t& aPart, google::protobuf::MessageLite& aMessage);

// Serialises into a part.
zmq::message_t
ToPart(const google::protobuf::MessageLite& aMessage);

} // namespace plantainhaven
