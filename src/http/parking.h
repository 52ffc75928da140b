#pragma once

#include "http/server_connection.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <unordered_map>

namespace plantainhaven {

// Holds connections that wait for a request, so that they take no worker thread,
// and connections that wait for the other end's close. One thread watches them all.
class Parking
{
public:
  using Ready = std::function<void(std::unique_ptr<ServerConnection>)>;

  // `aReady` gets each connection that holds a whole request head, at most `aMaxHead`
  // bytes of one, or the end. It is called on the watching thread and must not block.
  // A head must be whole `aHeadTime` after its first byte.
  Parking(std::size_t aMaxHead, std::chrono::milliseconds aHeadTime, Ready aReady);
  // Closes all connections.
  ~Parking();
  Parking(const Parking&) = delete;
  Parking& operator=(const Parking&) = delete;

  // Watches a connection until a request head came or its expiry passes.
  void Park(std::unique_ptr<ServerConnection> aConnection);
  // Ends the sending direction and closes once the other end has closed, or a
  // second later. Closing at once could destroy an answer still on its way.
  void CloseGently(std::unique_ptr<ServerConnection> aConnection, const std::string& aLastBytes);
  // Closes connections that wait for a request and have none arriving.
  void CloseIdle();
  // Connections that wait for a request.
  std::size_t Idle() const;
  // All connections held.
  std::size_t Size() const;
  // Ends the thread. No connection becomes ready afterwards.
  void Stop();

private:
  void Watch();
  void OnReadable(int aDescriptor);
  void CloseExpired();
  // True when the connection is to be watched on.
  bool KeepsWaiting(ServerConnection& aConnection) const;
  void Arm(int aDescriptor, int aOperation) const;

  std::size_t maxHead;
  std::chrono::milliseconds headTime;
  Ready ready;
  int poller;
  std::atomic<bool> stopping{ false };
  mutable std::mutex mutex;
  std::unordered_map<int, std::unique_ptr<ServerConnection>> connections;
  std::thread thread;
};

} // namespace plantainhaven
