#pragma once

#include "plantainhaven/common/time.h"

#include <chrono>
#include <cstddef>
#include <string>

namespace plantainhaven::placing {

// Decides when this VM polls a table of the store on behalf of the VMs of its region. The VM that
// polls forwards each response to the others. A VM starts to poll if neither the store nor
// another VM has delivered a response for wait + margin + a random fraction of stagger. So one
// VM polls at a time regardless of their number, and if it stops, another takes over within the
// sum of the three. Not thread-safe; reads no clock.
class PollCoordinator
{
public:
  struct Timing
  {
    // Duration of a long poll.
    std::chrono::milliseconds wait{ 700 };
    // Additional time before another VM takes over: the delay until a forwarded response is
    // processed on a busy VM.
    std::chrono::milliseconds margin{ 100 };
    // Range of the jitter between the VMs that may take over, so that only one of them does.
    std::chrono::milliseconds stagger{ 300 };
  };

  // `aJitter`, 0 to 1, is this VM's fraction of the stagger until another VM's response
  // arrives.
  PollCoordinator(std::string aSelf, Timing aTiming, double aJitter);

  // The store has responded to this VM's poll.
  void OnOwnResponse(BootTime aNow);
  // This VM's poll has failed. `aPollers` is the number of VMs that may be polling, including
  // this one.
  void OnOwnFailure(std::size_t aPollers, BootTime aNow);
  // Another VM has forwarded a response. `aJitter`, 0 to 1, is this VM's new fraction of the
  // stagger.
  void OnPeerResponse(const std::string& aPeer, double aJitter, BootTime aNow);
  // An update was missed or can't be applied: this VM polls as soon as the backoff after a
  // failure allows.
  void OnMissedUpdate();

  // Another VM has given this one what it missed. `aJitter` as above.
  void OnCopy(double aJitter, BootTime aNow);

  // How long the next long poll waits for a change. 0 unless this VM is the regular poller, so
  // that a missed update is fetched, and forwarded to the others, before they start to poll.
  std::chrono::milliseconds LongPollWait(BootTime aNow) const;
  // When this VM polls next.
  BootTime NextPollAt() const;

private:
  void SetStagger(double aJitter);

  std::string self;
  Timing timing;
  // This VM polls until a VM whose name sorts before its own does.
  bool isPoller = false;
  bool missedUpdate = false;
  BootTime respondedAt{};
  // When a VM whose name sorts before this one's last forwarded a response.
  BootTime precedingPeerAt{};
  BootTime backoffUntil{};
  std::chrono::milliseconds ownStagger{ 0 };
};

} // namespace plantainhaven::placing
