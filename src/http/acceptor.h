#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>

#include <httplib.h>

namespace plantainhaven {

// Listens and hands on accepted descriptors. The accept loop is cpp-httplib's.
class Acceptor : private httplib::Server
{
public:
  // `aAccepted` gets each descriptor, owns it and must not block.
  using Accepted = std::function<void(int)>;

  Acceptor(std::string aAddress, std::uint16_t aPort, Accepted aAccepted);
  // Closes at once.
  ~Acceptor() override;

  // Binds and starts the accepting thread. False when the address can't be bound.
  bool Start();
  // The port that is listened on.
  std::uint16_t Port() const { return this->boundPort; }
  // Lets handshakes under way complete, at most until `aDeadline`, then closes.
  // Closing at once would reset callers that may have sent a request.
  void CloseGently(std::chrono::steady_clock::time_point aDeadline);
  bool IsOpen() const { return this->thread.joinable(); }

private:
  // cpp-httplib calls the override below at once; its threads and queue stay unused.
  struct InlineQueue : public httplib::TaskQueue
  {
    void enqueue(std::function<void()> aTask) override { aTask(); }
    void shutdown() override {}
  };

  bool process_and_close_socket(socket_t aSocket) override;
  void Run();
  bool Bind(std::uint16_t aPort);
  void Close();

  std::string address;
  std::uint16_t wantedPort;
  Accepted accepted;
  std::atomic<std::uint16_t> boundPort{ 0 };
  std::atomic<bool> isStopping{ false };
  std::thread thread;
};

} // namespace plantainhaven
