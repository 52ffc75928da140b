#pragma once

#include "edge/net.h"

#include <cerrno>
#include <functional>
#include <memory>
#include <sys/socket.h>
#include <utility>

namespace plantainhaven::edge {

// Detects that a caller closes its connection while its request is in progress. Pipelined bytes end
// the detection, because a close after them can't be seen before they are read.
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

  // Must not be called while another operation on the socket is pending.
  void Stop()
  {
    if (this->state == nullptr || this->state->isStopped) {
      return;
    }
    this->state->isStopped = true;
    beast::error_code ignored;
    this->socket.cancel(ignored);
  }

  // Checks the connection immediately. When many events are queued, the caller may have
  // disconnected before its request was read, while the event of the disconnect is handled only
  // after the request was sent.
  void CheckNow()
  {
    if (this->state != nullptr && !this->state->isStopped && !this->state->hasDisconnected) {
      OnReadable(*this->state, this->socket);
    }
  }

  bool HasDisconnected() const { return this->state != nullptr && this->state->hasDisconnected; }
  // Sets the callback that runs once when the caller disconnects, in place of the previous one.
  // Does nothing before Start().
  void OnDisconnect(std::function<void()> aCallback)
  {
    if (this->state != nullptr) {
      this->state->callback = std::move(aCallback);
    }
  }

private:
  struct State
  {
    bool isStopped = false;
    bool hasDisconnected = false;
    std::function<void()> callback;
  };

  static void OnReadable(State& aState, Tcp::socket& aSocket)
  {
    char byte = 0;
    const auto size = ::recv(aSocket.native_handle(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
    const bool isOpen = size > 0 || (size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
    if (isOpen) {
      return;
    }
    aState.hasDisconnected = true;
    if (aState.callback) {
      aState.callback();
    }
  }

  Tcp::socket& socket;
  std::shared_ptr<State> state;
};

} // namespace plantainhaven::edge
