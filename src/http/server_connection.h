#pragma once

#include "http/socket_stream.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace plantainhaven {

// One accepted connection. Owns the descriptor and closes it.
class ServerConnection
{
public:
  explicit ServerConnection(int aDescriptor);
  ~ServerConnection();
  ServerConnection(const ServerConnection&) = delete;
  ServerConnection& operator=(const ServerConnection&) = delete;

  int Descriptor() const { return this->descriptor; }
  const std::string& RemoteAddress() const { return this->remoteAddress; }
  std::uint16_t RemotePort() const { return this->remotePort; }
  // True when no part of a request has come.
  bool IsQuiet() const;
  // Sends what fits at once and ends the sending direction.
  void SendLast(const std::string& aBytes);
  // Reads and drops what is there. False when the other end closed.
  bool Discard();
  // Ends both directions; a thread that reads or writes sees it.
  void Cut();

  SocketStream stream;
  // Requests read so far.
  std::size_t requests = 0;
  // Time at which a parked connection is closed.
  SteadyTime expiry{};
  // True when only the other end's close is awaited.
  bool isClosing = false;

private:
  int descriptor;
  std::string remoteAddress;
  std::uint16_t remotePort;
};

} // namespace plantainhaven
