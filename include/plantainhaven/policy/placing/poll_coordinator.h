#pragma once

#include "plantainhaven/common/time.h"

#include <chrono>
#include <cstddef>
#include <string>

namespace plantainhaven::placing {

// Decides when this VM reads a table of the store that the VMs of its region read for one
// another. Whoever has read tells the others; a VM reads itself when it has heard of no
// answer for the wait, the margin and a random part of the stagger. So one VM reads at a time,
// however many there are, and when it stops, another follows within the three. Not thread-safe;
// reads no clock.
class PollCoordinator
{
public:
  struct Timing
  {
    // Time that one long poll waits.
    std::chrono::milliseconds wait{ 700 };
    // Beyond the wait, before others take over: an answer's way here on a busy VM.
    std::chrono::milliseconds margin{ 100 };
    // Spread of the VMs that take over, so that one of them does.
    std::chrono::milliseconds stagger{ 300 };
  };

  // `aDraw`, 0 to 1, is this VM's part of the stagger until it has heard of another.
  PollCoordinator(std::string aSelf, Timing aPace, double aDraw);

  // The store has answered this VM.
  void OnOwnResponse(BootTime aNow);
  // The store didn't answer this VM. `aReaders` VMs, this one included, may be trying too.
  void OnOwnFailure(std::size_t aReaders, BootTime aNow);
  // Another VM tells of an answer. `aDraw`, 0 to 1, is this VM's part of the stagger.
  void OnPeerResponse(const std::string& aPeer, double aDraw, BootTime aNow);
  // What others told can't be used: read as soon as a failure allows.
  void OnMissedUpdate();

  // How long the call is to wait for a change: not at all when it is to find out quickly
  // what this VM has missed, so that the others hear of it before their turn comes.
  std::chrono::milliseconds LongPollWait(BootTime aNow) const;
  // When this VM is to read.
  BootTime NextPollAt() const;

private:
  void Stagger(double aDraw);

  std::string self;
  Timing pace;
  // This VM reads until a VM that goes before it does.
  bool isReader = false;
  bool hasGap = false;
  BootTime answeredAt{};
  // When a VM whose name comes before this one's last told of an answer.
  BootTime earlierNameAt{};
  BootTime pauseUntil{};
  std::chrono::milliseconds ownStagger{ 0 };
};

} // namespace plantainhaven::placing
