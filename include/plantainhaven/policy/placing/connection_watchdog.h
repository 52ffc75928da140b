#pragma once

#include "plantainhaven/common/time.h"

#include <chrono>

namespace plantainhaven::placing {

// Decides when the connection that carries messages to another VM is to be opened anew.
// Connections may go silent for good while new ones work, so one that carried a message and
// brought no sign of its arrival for longer than the other VM needs to answer is given up.
// One that is still being opened carries nothing and is left alone: closing it then would
// drop each message that is sent less often than it takes to open a connection. Not
// thread-safe; reads no clock.
class ConnectionWatchdog
{
public:
  // Longest round trip between two regions, with the time that both processes may wait for
  // the processor.
  static constexpr std::chrono::milliseconds kMaxRoundTrip{ 500 };

  // A message was handed over to the connection, or found none that is open.
  void OnSent(bool aWasTaken, BootTime aNow);
  // The other VM has reported. `aHearsThisVm` tells whether it hears this one.
  void OnReport(bool aHearsThisVm);
  // Whether the last message found no open connection, so that the other VM still has to be
  // told.
  bool NeedsResend() const { return this->isOwed; }
  // True when the connection has to be opened anew; counts as done when it says so.
  // `aReportInterval` is the time between two reports of the other VM.
  bool TakeReconnect(std::chrono::milliseconds aReportInterval, BootTime aNow);

private:
  bool isOwed = false;
  // When the oldest message that may not have arrived was handed over.
  BootTime unansweredSince{};
};

} // namespace plantainhaven::placing
