#pragma once

#include "plantainhaven/common/time.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace plantainhaven::placing {

// Decides how a VM that is behind others gets the rows that are too large to be sent to all: it
// asks a VM that has them for a compressed copy, and reads the store itself if none arrives in
// time. Whichever comes first counts. Not thread-safe; reads no clock.
class TableCatchUp
{
public:
  struct Timing
  {
    // Time without an answer after which another VM is asked.
    std::chrono::milliseconds askTimeout{ 300 };
    // How long this VM leaves reading the store to others.
    std::chrono::milliseconds maxHeadStart{ 300 };
  };

  explicit TableCatchUp(Timing aTiming)
    : timing(aTiming)
  {
  }

  // Another VM gives copies of a version that this VM lacks.
  void OnHolder(const std::string& aVm, BootTime aNow);
  // Another VM is reading an answer that takes this VM's link `aLinkTime`. This VM waits for that
  // long before it reads the answer too, so that VMs with wide links come first and give copies.
  void OnAnswerBegun(std::chrono::milliseconds aLinkTime, BootTime aNow);
  // The VM doesn't give a copy now.
  void OnRefused(const std::string& aVm);
  // This VM is up to date as far as it knows.
  void OnCaughtUp();

  // Returns the VM to ask now; nothing while an answer is outstanding or no VM is known.
  std::optional<std::string> NextAsk(BootTime aNow);
  // Whether this VM leaves reading the store to others for now, and until when.
  BootTime MayReadAt() const { return this->mayReadAt; }

private:
  void HoldReading(std::chrono::milliseconds aTime, BootTime aNow);

  Timing timing;
  // VMs that haven't been asked yet, the one heard last at the end.
  std::vector<std::string> holders;
  std::string asked;
  BootTime askedAt{};
  BootTime mayReadAt{};
};

// Bounds the copies that a VM sends, so that they don't crowd out its callers: in each window about
// a quarter of what its link carries, but at least one copy. Not thread-safe; reads no clock.
class CopyAllowance
{
public:
  explicit CopyAllowance(double aLinkBytesPerSecond)
    : linkBytesPerSecond(aLinkBytesPerSecond)
  {
  }

  // Returns whether a copy of this size may be sent, and counts it if so.
  bool TryTake(std::size_t aBytes, BootTime aNow);

private:
  double linkBytesPerSecond;
  BootTime windowAt{};
  double taken = 0;
};

} // namespace plantainhaven::placing
