#pragma once

#include "edge/dispatcher.h"

#include <chrono>

namespace plantainhaven::edge {

// The slot of a backend server that Dispatcher::Acquire() has reserved for one attempt. The first
// call of End() releases it; it must be called.
class ReservedSlot
{
public:
  ReservedSlot(Dispatcher& aDispatcher, const BackendServer& aServer)
    : dispatcher(aDispatcher)
    , server(aServer)
    , startedAt(BootClock::Now())
  {
  }
  ReservedSlot(const ReservedSlot&) = delete;
  ReservedSlot& operator=(const ReservedSlot&) = delete;

  void End(SendOutcome aOutcome)
  {
    if (!this->hasEnded) {
      this->hasEnded = true;
      this->dispatcher.End(
        this->server, aOutcome, ToMilliseconds(BootClock::Now() - this->startedAt));
    }
  }
  BootTime StartedAt() const { return this->startedAt; }

private:
  Dispatcher& dispatcher;
  BackendServer server;
  BootTime startedAt;
  bool hasEnded = false;
};

} // namespace plantainhaven::edge
