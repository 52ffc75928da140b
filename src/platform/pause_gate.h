#pragma once

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <functional>
#include <mutex>

namespace plantainhaven {

// The waits of a stand-in's handlers, which a stop ends early. Safe for several
// threads.
class PauseGate
{
public:
  // At most `aMostHeld` threads are held at once, so that others stay free.
  explicit PauseGate(std::size_t aMostHeld);

  // Waits for the given time, or until Close().
  void Pause(std::chrono::milliseconds aTime);
  // Waits while the condition is true, until Close() or for ten seconds at most.
  // Returns at once when too many threads are held already.
  void HoldWhile(const std::function<bool()>& aCondition);
  // Ends all waits, present and future.
  void Close();

private:
  // Waits until Close() or the time is over; true when closed.
  bool WaitClosed(std::chrono::milliseconds aTime);

  const std::size_t mostHeld;
  std::mutex mutex;
  std::condition_variable changed;
  std::size_t held = 0;
  bool closed = false;
};

} // namespace plantainhaven
