#pragma once

#include "edge/net.h"

#include <cerrno>
#include <functional>
#include <memory>
#include <sys/socket.h>
#include <utility>

namespace plantainhaven::edge {

// Notices that a caller closes its connection while its request is at work. Bytes that the
// caller sends ahead end the watch, since a later close can't be told from them.
class CallerWatch
{
public:
  explicit CallerWatch(Tcp::socket& aSocket)
    : socket(aSocket)
  {
  }
  ~CallerWatch() { this->Stop(); }
  CallerWatch(const CallerWatch&) = delete;
  CallerWatch& operator=(const CallerWatch&) = delete;

  void Start()
  {
    this->state = std::make_shared<State>();
    this->socket.async_wait(
      Tcp::socket::wait_read,
      [state = this->state, &socket = this->socket](beast::error_code aFault) {
        if (!aFault && !state->isStopped) {
          OnReadable(*state, socket);
        }
      });
  }

  // Must be called while no other operation is under way on the socket.
  void Stop()
  {
    if (this->state == nullptr || this->state->isStopped) {
      return;
    }
    this->state->isStopped = true;
    beast::error_code ignored;
    this->socket.cancel(ignored);
  }

  // Looks at the connection at once. While many events wait, a caller may have left before its
  // request was read, and the event that tells so comes after the send.
  void Look()
  {
    if (this->state != nullptr && !this->state->isStopped && !this->state->hasLeft) {
      OnReadable(*this->state, this->socket);
    }
  }

  bool HasLeft() const { return this->state != nullptr && this->state->hasLeft; }
  // Called once when the caller leaves; replaces the previous reaction.
  // Does nothing before Start().
  void OnLeave(std::function<void()> aReaction)
  {
    if (this->state != nullptr) {
      this->state->reaction = std::move(aReaction);
    }
  }

private:
  struct State
  {
    bool isStopped = false;
    bool hasLeft = false;
    std::function<void()> reaction;
  };

  static void OnReadable(State& aState, Tcp::socket& aSocket)
  {
    char byte = 0;
    const auto size = ::recv(aSocket.native_handle(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
    const bool isOpen = size > 0 || (size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
    if (isOpen) {
      return;
    }
    aState.hasLeft = true;
    if (aState.reaction) {
      aState.reaction();
    }
  }

  Tcp::socket& socket;
  std::shared_ptr<State> state;
};

} // namespace plantainhaven::edge
