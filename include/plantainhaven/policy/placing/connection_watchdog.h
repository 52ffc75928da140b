#pragma once

#include "plantainhaven/common/time.h"

#include <chrono>

namespace plantainhaven::placing {

// Decides when to reconnect the connection that carries messages to another VM. A connection may
// stall permanently while new connections work. So it is replaced if it accepted a message whose
// arrival the other VM hasn't confirmed within the time that it needs to respond. A connection
// that is still being established accepts no messages and is left alone: replacing it would lose
// every message that is sent at longer intervals than it takes to connect. Not thread-safe; reads
// no clock.
class ConnectionWatchdog
{
public:
  // Upper bound of the round trip between two regions, including scheduling delays of both
  // processes.
  static constexpr std::chrono::milliseconds kMaxRoundTrip{ 500 };

  // The connection accepted a message, or there was no established connection.
  void OnSent(bool aWasAccepted, BootTime aNow);
  // A report of the other VM has arrived. `aReceivesFromThisVm` tells whether that VM receives
  // the reports of this one.
  void OnReport(bool aReceivesFromThisVm);
  // Whether the last message was lost for lack of an established connection, so that the report
  // is to be sent again.
  bool NeedsResend() const { return this->needsResend; }
  // Returns true if the caller has to reconnect, and then resets the watchdog.
  // `aReportInterval` is the time between two reports of the other VM.
  bool TakeReconnect(std::chrono::milliseconds aReportInterval, BootTime aNow);

private:
  bool needsResend = false;
  // When the connection accepted the oldest message whose arrival isn't confirmed.
  BootTime unansweredSince{};
};

} // namespace plantainhaven::placing
