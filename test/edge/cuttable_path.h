#pragma once

#include <array>
#include <atomic>
#include <chrono>
#include <list>
#include <mutex>
#include <thread>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace plantainhaven::edge {

// How the path from one VM to a backend server is cut.
enum class CutForm
{
  kSilent,  // Open connections carry nothing any more, and new ones hang.
  kReset,   // Open connections are reset, and new ones hang.
  kRefused, // Open connections live on, and new ones are refused.
};

// The path from one VM to a backend server: passes TCP connections on to a port of loopback until
// it is cut.
class CuttablePath
{
public:
  explicit CuttablePath(std::uint16_t aTarget)
    : target(aTarget)
  {
    this->Open(0);
    sockaddr_in bound{};
    socklen_t size = sizeof(bound);
    ::getsockname(this->listener, reinterpret_cast<sockaddr*>(&bound), &size);
    this->port = ntohs(bound.sin_port);
    this->thread = std::thread([this] { this->Run(); });
  }
  ~CuttablePath()
  {
    this->isStopping = true;
    this->thread.join();
    this->Close();
    for (const Pair& pair : this->pairs) {
      ::close(pair.ends[0]);
      ::close(pair.ends[1]);
    }
  }
  CuttablePath(const CuttablePath&) = delete;
  CuttablePath& operator=(const CuttablePath&) = delete;

  std::uint16_t Port() const { return this->port; }

  void Cut(CutForm aForm)
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->isCut = true;
    this->isHeld = aForm == CutForm::kSilent;
    if (aForm == CutForm::kRefused) {
      this->Close();
      return;
    }
    // Once one connection fills the queue, the kernel drops further connection requests.
    ::listen(this->listener, 0);
    const sockaddr_in self = Address(this->port);
    for (int& filler : this->fillers) {
      filler = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      static_cast<void>(::connect(filler, reinterpret_cast<const sockaddr*>(&self), sizeof(self)));
    }
    if (aForm == CutForm::kReset) {
      for (const Pair& pair : this->pairs) {
        Reset(pair.ends[0]);
        Reset(pair.ends[1]);
      }
      this->pairs.clear();
    }
  }

  void Heal()
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->Close();
    this->Open(this->port);
    this->isCut = false;
    this->isHeld = false;
  }

private:
  struct Pair
  {
    std::array<int, 2> ends;
    bool hasEnded = false;
  };

  static sockaddr_in Address(std::uint16_t aPort)
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(aPort);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
  }

  static void Reset(int aSocket)
  {
    const linger now{ 1, 0 };
    ::setsockopt(aSocket, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    ::close(aSocket);
  }

  void Open(std::uint16_t aPort)
  {
    this->listener = ::socket(AF_INET, SOCK_STREAM, 0);
    const int yes = 1;
    ::setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    const sockaddr_in address = Address(aPort);
    ::bind(this->listener, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    ::listen(this->listener, 128);
  }

  void Close()
  {
    for (int& filler : this->fillers) {
      if (filler >= 0) {
        ::close(filler);
        filler = -1;
      }
    }
    if (this->listener >= 0) {
      ::close(this->listener);
      this->listener = -1;
    }
  }

  void Run()
  {
    while (!this->isStopping) {
      {
        const std::lock_guard<std::mutex> lock(this->mutex);
        if (!this->isCut) {
          this->Accept();
        }
        if (!this->isHeld) {
          for (Pair& pair : this->pairs) {
            Pass(pair);
          }
        }
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
  }

  void Accept()
  {
    pollfd waiting{ this->listener, POLLIN, 0 };
    while (::poll(&waiting, 1, 0) == 1) {
      const int caller = ::accept(this->listener, nullptr, nullptr);
      const int onward = ::socket(AF_INET, SOCK_STREAM, 0);
      const sockaddr_in address = Address(this->target);
      ::connect(onward, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
      this->pairs.push_back({ { caller, onward } });
    }
  }

  static void Pass(Pair& aPair)
  {
    for (std::size_t from = 0; from < 2 && !aPair.hasEnded; ++from) {
      std::array<char, 65536> bytes;
      const ssize_t count = ::recv(aPair.ends[from], bytes.data(), bytes.size(), MSG_DONTWAIT);
      if (count > 0) {
        ::send(aPair.ends[1 - from], bytes.data(), static_cast<std::size_t>(count), MSG_NOSIGNAL);
      }
      if (count == 0) {
        ::shutdown(aPair.ends[1 - from], SHUT_WR);
        aPair.hasEnded = true;
      }
    }
  }

  std::uint16_t target;
  std::uint16_t port = 0;
  int listener = -1;
  std::array<int, 2> fillers{ -1, -1 };
  std::mutex mutex;
  std::list<Pair> pairs;
  bool isCut = false;
  bool isHeld = false;
  std::atomic<bool> isStopping = false;
  std::thread thread;
};

} // namespace plantainhaven::edge
