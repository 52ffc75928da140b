#pragma once

#include "fleet/link_support.h"

#include <array>
#include <atomic>
#include <list>
#include <thread>

#include <poll.h>

namespace plantainhaven {

// Passes TCP connections on to another port of loopback. Silence() plays a middlebox
// that drops its state of the connections open at that moment: they stay half-open and
// carry nothing any more, while new ones work.
class Relay
{
public:
  explicit Relay(std::uint16_t aTarget)
    : target(aTarget)
    , thread([this] { this->Run(); })
  {
  }
  ~Relay()
  {
    this->stopping = true;
    this->thread.join();
    for (const Pair& pair : this->pairs) {
      close(pair.ends[0]);
      close(pair.ends[1]);
    }
  }
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  std::uint16_t Port() const { return this->listener.Port(); }
  // Returns once every connection of the moment is silent.
  void Silence()
  {
    this->silence = true;
    while (this->silence) {
      std::this_thread::yield();
    }
  }

private:
  struct Pair
  {
    std::array<int, 2> ends;
    bool silent = false;
  };

  void Run()
  {
    while (!this->stopping) {
      if (this->silence) {
        for (Pair& pair : this->pairs) {
          pair.silent = true;
        }
        this->silence = false;
      }
      this->Accept();
      for (Pair& pair : this->pairs) {
        Pass(pair);
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
  }

  void Accept()
  {
    pollfd waiting{ this->listener.Descriptor(), POLLIN, 0 };
    if (poll(&waiting, 1, 0) != 1) {
      return;
    }
    const int caller = accept(this->listener.Descriptor(), nullptr, nullptr);
    const int onward = socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in address = LoopbackAddress(this->target);
    if (connect(onward, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
      close(caller);
      close(onward);
      return;
    }
    this->pairs.push_back({ { caller, onward } });
  }

  static void Pass(Pair& aPair)
  {
    for (std::size_t from = 0; from < 2 && !aPair.silent; ++from) {
      std::array<char, 65536> bytes;
      const ssize_t count = recv(aPair.ends[from], bytes.data(), bytes.size(), MSG_DONTWAIT);
      if (count > 0) {
        send(aPair.ends[1 - from], bytes.data(), static_cast<std::size_t>(count), MSG_NOSIGNAL);
      }
      if (count == 0) {
        shutdown(aPair.ends[1 - from], SHUT_WR);
        aPair.silent = true;
      }
    }
  }

  std::uint16_t target;
  SilentListener listener;
  std::list<Pair> pairs;
  std::atomic<bool> stopping = false;
  std::atomic<bool> silence = false;
  std::thread thread;
};

} // namespace plantainhaven
