#pragma once

#include <chrono>
#include <functional>
#include <string>
#include <thread>

#include <arpa/inet.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

namespace plantainhaven {

// Waits until the condition holds. Returns false when that takes too long.
template<typename Condition>
bool
Await(Condition aCondition)
{
  const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(5);
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() > until) {
      return false;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return true;
}

// A TCP socket that tests speak through byte by byte.
class RawSocket
{
public:
  explicit RawSocket(int aDescriptor)
    : descriptor(aDescriptor)
  {
  }
  RawSocket(RawSocket&& aOther) noexcept
    : descriptor(aOther.descriptor)
  {
    aOther.descriptor = -1;
  }
  ~RawSocket() { this->Close(); }

  static RawSocket To(std::uint16_t aPort)
  {
    const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in address = Loopback(aPort);
    ::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    return RawSocket(descriptor);
  }

  static sockaddr_in Loopback(std::uint16_t aPort)
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(aPort);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
  }

  bool Send(const std::string& aBytes) const
  {
    return ::send(this->descriptor, aBytes.data(), aBytes.size(), MSG_NOSIGNAL) ==
           static_cast<ssize_t>(aBytes.size());
  }

  // Reads until the text holds `aEnd`; until the other end closes when it is empty.
  std::string ReadUntil(const std::string& aEnd) const
  {
    std::string text;
    char byte = 0;
    while ((aEnd.empty() || text.find(aEnd) == std::string::npos) &&
           ::recv(this->descriptor, &byte, 1, 0) == 1) {
      text += byte;
    }
    return text;
  }

  // Number of bytes that have arrived and weren't read.
  int Unread() const
  {
    int unread = 0;
    ::ioctl(this->descriptor, FIONREAD, &unread);
    return unread;
  }

  // Waits until the other end's machine has received all that was sent.
  bool AwaitSent() const
  {
    return Await([this] {
      int unsent = 0;
      ::ioctl(this->descriptor, SIOCOUTQ, &unsent);
      return unsent == 0;
    });
  }

  // Sends nothing more.
  void Finish() const { ::shutdown(this->descriptor, SHUT_WR); }

  // Ends with a reset in place of an orderly close.
  void Reset()
  {
    const linger hard{ 1, 0 };
    ::setsockopt(this->descriptor, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
    this->Close();
  }

  void Close()
  {
    if (this->descriptor >= 0) {
      ::close(this->descriptor);
    }
    this->descriptor = -1;
  }

private:
  int descriptor;
};

// A server whose every connection is handled by a script, one after another.
class ScriptedServer
{
public:
  using Script = std::function<void(RawSocket&)>;

  explicit ScriptedServer(Script aScript)
    : script(std::move(aScript))
    , listener(::socket(AF_INET, SOCK_STREAM, 0))
  {
    sockaddr_in address = RawSocket::Loopback(0);
    socklen_t size = sizeof(address);
    ::bind(this->listener, reinterpret_cast<sockaddr*>(&address), size);
    ::getsockname(this->listener, reinterpret_cast<sockaddr*>(&address), &size);
    this->port = ntohs(address.sin_port);
    ::listen(this->listener, 16);
    this->thread = std::thread([this] { this->Run(); });
  }

  ~ScriptedServer()
  {
    ::shutdown(this->listener, SHUT_RDWR);
    this->thread.join();
    ::close(this->listener);
  }

  std::uint16_t Port() const { return this->port; }

private:
  void Run()
  {
    for (;;) {
      const int descriptor = ::accept(this->listener, nullptr, nullptr);
      if (descriptor < 0) {
        return;
      }
      RawSocket socket(descriptor);
      this->script(socket);
    }
  }

  Script script;
  int listener;
  std::uint16_t port = 0;
  std::thread thread;
};

// A port on which nothing listens.
inline std::uint16_t
ClosedPort()
{
  return ScriptedServer([](RawSocket&) {}).Port();
}

} // namespace plantainhaven
